//! Fair shares of what a pool of upstreams serves, by workspace.
//!
//! A [`Pool`] is told what is asked of the pool and what is sent to it, by this router exactly
//! and by other routers as far as one [`Summary`] of each holds it. From that it works out
//! max-min shares of what the pool serves ([`max_min_level`]), and says of a workspace whether it is
//! below its share, at it or over it ([`Standing`]). It decides nothing: who is refused, and
//! when, is the reducer's matter.
//!
//! The unit is the request, as for waits. Sums of requests fade, and stand for rates: those of
//! one pool fade alike, so that only their proportions count.

mod count;
mod fill;
mod ledger;
mod pool;
mod standing;
mod view;
mod summary;

pub use fill::{Group, max_min_level};
pub use pool::Pool;
pub use standing::{Rank, Standing};
pub use summary::{Demand, MAX_DEMANDS, Remainder, Summary};
