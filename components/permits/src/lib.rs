//! Permits for the slots of a saturated pool.
//!
//! Some upstreams have few slots, don't report their load and refuse requests when they are
//! full. While such a pool is saturated, one router, its [`owner`], issues permits with an
//! [`Issuer`]: it tracks the concurrency [`Limit`] of each upstream and the permits in use,
//! orders waiting requests in a [`Queue`] and spreads the retries of refused callers over time
//! ([`Retries`]). Each router requests permits through a [`Requester`].
//!
//! The crate does no I/O: messages and the current time go in, messages and decisions come out.

mod decision;
mod issuer;
mod limit;
mod owner;
mod queue;
mod requester;
mod retries;
mod settings;

pub use decision::{Decision, Snapshot};
pub use issuer::Issuer;
pub use limit::Limit;
pub use owner::owner;
pub use queue::{Queue, Waiter};
pub use requester::{Requester, Resolution};
pub use retries::{Retries, Timing};
pub use settings::{Settings, Wait};
