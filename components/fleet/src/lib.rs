//! How the routers of a fleet share what they read from the platform's store.
//!
//! A few routers of each failure domain, the pollers, poll the store. The others query a poller
//! or each other for changes, and for the age of the last confirmation that nothing newer
//! exists. [`Sources`] chooses where a router reads from, [`Roster`] holds the known routers,
//! [`Subscribers`] the routers that query this one, [`Mirror`] the store's content for them, and
//! [`Gossip`] forwards hints along the same connections. All are plain state without input and
//! output.
//!
//! A router without a usable source polls the store itself, so that isolated, suspended or
//! lagging routers only cause additional polls.

mod answers;
mod freshness;
mod gossip;
mod locality;
mod mirror;
mod referrals;
mod roster;
mod sources;
mod subscribers;

pub use answers::AnswerCache;
pub use freshness::{ANSWER_TIMEOUT, Freshness};
pub use gossip::{Gossip, Neighbours, Origin};
pub use mirror::{Mirror, Position};
pub use roster::Roster;
pub use sources::{Source, Sources};
pub use subscribers::Subscribers;
