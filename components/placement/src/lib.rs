//! Ranking of upstreams and the load bound.
//!
//! [`rank`] orders candidates by weighted rendezvous hashing: routers agree without
//! communication, and a change of membership moves few chats. [`Bound`] limits the load of an
//! upstream relative to its pool's mean.

mod bound;
mod rendezvous;

pub use bound::{Bound, Pool};
pub use rendezvous::{digest, key, rank, score, top};
