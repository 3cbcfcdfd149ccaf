//! Reducer that makes a router's decisions, without clocks or sockets.
//!
//! [`State::apply`] takes an [`Event`] and the current time, and returns [`Effect`]s for the
//! router process to carry out. Production, tests and capacity experiments use the same reducer.

mod admission;
mod effect;
mod event;
mod mechanisms;
mod path;
mod recovery;
mod requests;
mod selection;
mod settings;
mod state;
mod upstreams;

pub use effect::{Attempt, Effect};
pub use event::{Arrival, Continuation, Event, Host, IdempotencyKey, Lookup, Owner, Prefix, Reply};
pub use mechanisms::Mechanisms;
pub use path::Path;
pub use placement::Bound;
pub use recovery::budget::Budget;
pub use recovery::quarantine::{Crash, Interruption, Liveness};
pub use requests::continuation::{Binding, Source};
pub use requests::decision::{Decision, Exclusion, Part, Try};
pub use requests::unfinished::Unfinished;
pub use settings::{Policy, Settings};
pub use shares::{Rank, Standing};
pub use state::State;
pub use upstreams::listing::{Listing, MISSING_TTL};
pub use upstreams::upstream::Upstream;
