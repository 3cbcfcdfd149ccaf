//! How the routers of a fleet share looks at the platform's store.
//!
//! A few routers of each failure domain look at the store by themselves; the others hear from
//! them what has changed and how old the proof is that nothing newer is there. [`Sources`]
//! decides whom a router asks, [`Roster`] keeps who is there, [`Subscribers`] who hears from this router, and [`Mirror`] keeps what the
//! store holds for those that ask; [`Gossip`] sends hints the same way. All are plain state
//! without input and output.
//!
//! Nobody has to be right: a router that is cut off, suspended or behind makes others look by
//! themselves sooner, and whoever hears nothing looks at the store.

mod answers;
mod freshness;
mod gossip;
mod hearers;
mod home;
mod mirror;
mod referrals;
mod roster;
mod sources;

pub use answers::AnswerCache;
pub use freshness::{ANSWER_TIMEOUT, Freshness};
pub use gossip::{Gossip, Neighbours, Origin};
pub use hearers::Subscribers;
pub use mirror::{Mirror, Position};
pub use roster::Roster;
pub use sources::{Source, Sources};
