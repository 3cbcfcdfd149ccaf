//! Fair shares of the capacity of a pool of upstreams, by workspace.
//!
//! A [`Pool`] counts the requests that this router received and sent, and receives a
//! [`Summary`] of the same counts from each other router. From these it computes max-min fair
//! shares of the requests that the pool serves ([`max_min_level`]) and the [`Standing`] of a
//! workspace relative to its share. It refuses nothing itself.
//!
//! A request counts as served once it is sent to the pool. A pool is starving while workspaces
//! within their shares are refused.
//!
//! The unit is the request. Counts decay and stand for rates: all counts of a pool decay alike,
//! so only their proportions matter.

mod count;
mod fill;
mod ledger;
mod pool;
mod standing;
mod summary;
mod view;

pub use fill::{Group, max_min_level};
pub use pool::Pool;
pub use standing::{Rank, Standing};
pub use summary::{Demand, MAX_DEMANDS, Remainder, Summary};
