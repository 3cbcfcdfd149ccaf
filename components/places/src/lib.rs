//! Who gets the places of a pool that is short of them.
//!
//! A pool of few slots that tells nothing of its load turns away what it has no room for, and
//! no router knows what the others have there. While it is short, one router, its owner, keeps
//! a [`Ledger`] of the pool: how much each upstream bears ([`Limit`]), which permits are out, who
//! waits in which order ([`Queue`]) and when callers that were refused come back ([`Bookings`]).
//! The others ask it for a permit before they send ([`Requester`]).
//!
//! All of it is plain state: messages and the time in, messages and decisions out.

mod bookings;
mod ledger;
mod limit;
mod look;
mod owner;
mod requester;
mod settings;
mod turns;

pub use bookings::{Bookings, Standing};
pub use ledger::Ledger;
pub use limit::Limit;
pub use look::{Line, Look};
pub use owner::owner;
pub use requester::{Answer, Requester};
pub use settings::{Settings, Wait};
pub use turns::{Queue, Waiter};
