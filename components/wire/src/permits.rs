//! What routers tell each other while a pool is short of places.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a router asks of the owner of a pool, and tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The pool.
    pub pool: Arc<str>,
    /// The router that asks.
    pub router: Arc<str>,
    /// Requests that ask for a place.
    pub claims: Vec<Claim>,
    /// Permits that are given back, and asks that are taken back.
    pub releases: Vec<Release>,
    /// Permits that are held.
    pub held: Vec<Held>,
}

/// One request that asks for a place.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The router's number for it, never used twice; the permit has the same.
    pub number: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The hash of the work, by which a caller that comes back is known.
    pub fingerprint: u64,
    /// Lower goes first.
    pub urgency: i32,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// The time to an answer that callers hope for, in milliseconds.
    pub objective_ms: u32,
    /// How long it has been at the router, in milliseconds.
    pub age_ms: u32,
    /// The upstreams that it has been to.
    pub avoid: Vec<Arc<str>>,
}

/// A permit that is given back, or an ask that is taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Its number.
    pub number: u64,
    /// Where it led; empty if it is not known to be granted.
    pub upstream: Arc<str>,
    /// What became of it.
    pub end: Finish,
    /// How long the upstream had it, in milliseconds.
    pub took_ms: u32,
}

/// What became of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The upstream answered.
    Answered,
    /// The upstream had no room.
    Full,
    /// The upstream failed, or could not be reached.
    Failed,
    /// It says nothing of the upstream: nothing was sent, or its caller left.
    Unused,
}

/// Permits that a router holds at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The numbers of the permits.
    pub numbers: Vec<u64>,
}

/// What the owner of a pool has decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    /// The pool.
    pub pool: Arc<str>,
    /// One for each request.
    pub verdicts: Vec<Verdict>,
}

/// What is decided on one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The router's number for it.
    pub number: u64,
    /// The decision.
    pub state: ClaimState,
}

/// A decision on a request that asks for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be sent to this upstream.
    Granted(Arc<str>),
    /// It is not to be sent; its caller may come back in so many milliseconds.
    Refused(u32),
    /// It waits at the owner.
    Queued,
}

/// A pool is short of places: routers ask its owner before they send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saturated {
    /// The pool.
    pub pool: Arc<str>,
    /// The owner.
    pub owner: Arc<str>,
    /// How many requests the pool answers in 1,000 s.
    pub rate: u32,
    /// For how long this counts, in milliseconds; zero once the pool is short no more.
    pub ttl_ms: u32,
}
