//! The router's reducer: what a router decides, without clocks or sockets.
//!
//! [`State::apply`] takes one [`Event`] and the time, and returns [`Effect`]s
//! for the edge to carry out. The same reducer runs in production, in the
//! tests and in the capacity measurements.

mod admission;
mod ask;
mod budget;
mod choice;
mod cold;
mod decision;
mod effect;
mod ending;
mod evacuation;
mod event;
mod fleet;
mod health;
mod listing;
mod loads;
mod mechanisms;
mod need;
mod outlook;
mod ownership;
mod ranking;
mod reply;
mod request;
mod retry;
mod sending;
mod settings;
mod share;
mod silence;
mod state;
mod stopping;
mod upstream;
mod warmth;

pub use budget::Budget;
pub use decision::{Decision, Passed, Try};
pub use effect::{Attempt, Effect};
pub use event::{Ask, Event, Host, Once, Owner, Part, Reply};
pub use listing::{Listing, RETURN};
pub use mechanisms::Mechanisms;
pub use placement::Bound;
pub use settings::{Path, Policy, Settings};
pub use state::State;
pub use upstream::Upstream;
