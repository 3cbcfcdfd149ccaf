//! Who gets the places of a pool that is short of them.
//!
//! A pool of few slots that tells nothing of its load turns away what it has no room for, and
//! no router knows what the others have there. While it is short, one router, its owner, keeps
//! an [`Issuer`] of the pool: how much each upstream bears ([`Limit`]), which permits are out, who
//! waits in which order ([`Queue`]) and when callers that were refused come back ([`Retries`]).
//! The others ask it for a permit before they send ([`Requester`]).
//!
//! All of it is plain state: messages and the time in, messages and decisions out.

mod retries;
mod issuer;
mod limit;
mod decision;
mod owner;
mod requester;
mod settings;
mod queue;

pub use retries::{Retries, Timing};
pub use issuer::Issuer;
pub use limit::Limit;
pub use decision::{Decision, Snapshot};
pub use owner::owner;
pub use requester::{Resolution, Requester};
pub use settings::{Settings, Wait};
pub use queue::{Queue, Waiter};
