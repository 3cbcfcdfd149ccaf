//! The router's reducer: what a router decides, without clocks or sockets.
//!
//! [`State::apply`] takes one [`Event`] and the time, and returns [`Effect`]s
//! for the edge to carry out. The same reducer runs in production, in the
//! tests and in the capacity measurements.

mod admission;
mod beliefs;
mod effect;
mod event;
mod mechanisms;
mod path;
mod recovery;
mod requests;
mod selection;
mod settings;
mod state;

pub use beliefs::listing::{Listing, MISSING_TTL};
pub use beliefs::upstream::Upstream;
pub use effect::{Attempt, Effect};
pub use event::{Arrival, Event, Host, IdempotencyKey, Owner, Prefix, Reply};
pub use mechanisms::Mechanisms;
pub use path::Path;
pub use placement::Bound;
pub use recovery::budget::Budget;
pub use recovery::quarantine::{Crash, Liveness};
pub use requests::decision::{Decision, Exclusion, Try};
pub use settings::{Policy, Settings};
pub use shares::{Rank, Standing};
pub use state::State;
