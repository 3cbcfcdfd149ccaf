//! Ranking of upstreams and the load bound.
//!
//! [`rank`] orders candidates by weighted rendezvous hashing, so that routers
//! agree without talking and a change of membership moves few chats.
//! [`Bound`] is the rule that keeps an upstream near its pool's mean.

mod bound;
mod rendezvous;

pub use bound::{Bound, Pool};
pub use rendezvous::{digest, key, rank, score, top};
