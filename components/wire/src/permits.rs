//! Claims of permits for a saturated pool, and the answers of the pool's owner.
//!
//! The owner is the router that issues the permits of the pool.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Claims, releases and held permits of a router, sent to the owner of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The pool.
    pub pool: Arc<str>,
    /// The sending router.
    pub router: Arc<str>,
    /// Requests that need a permit.
    pub claims: Vec<Claim>,
    /// Returned permits and withdrawn claims.
    pub releases: Vec<Release>,
    /// The permits that the router holds.
    pub held: Vec<Held>,
}

/// One request that needs a permit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The number that the router gave the claim, and its permit; never reused.
    pub number: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The hash of the work, by which retries of the same request are recognized.
    pub fingerprint: u64,
    /// Lower runs earlier.
    pub priority: i32,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// The target for the time to an answer, in milliseconds.
    pub objective_ms: u32,
    /// How long the request has been at the router, in milliseconds.
    pub age_ms: u32,
    /// The upstreams that it has already been sent to.
    pub avoid: Vec<Arc<str>>,
}

/// A returned permit or a withdrawn claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The number of the claim.
    pub number: u64,
    /// The upstream of the permit; empty if no permit is known to be granted.
    pub upstream: Arc<str>,
    /// How the permit was used.
    pub end: Finish,
    /// How long the upstream had the request, in milliseconds.
    pub elapsed_ms: u32,
}

/// How a permit was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The upstream answered.
    Answered,
    /// The upstream had no free slot.
    Full,
    /// The upstream failed or could not be reached.
    Failed,
    /// The attempt says nothing about the upstream: the request was not sent, was cancelled or has
    /// expired, for example.
    Unused,
}

/// The permits that a router holds at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The numbers of the permits.
    pub numbers: Vec<u64>,
}

/// The answer of a pool's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    /// The pool.
    pub pool: Arc<str>,
    /// One verdict for each claim.
    pub verdicts: Vec<Verdict>,
}

/// The answer to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The number of the claim.
    pub number: u64,
    /// The new state of the claim.
    pub state: ClaimState,
}

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request may be sent to this upstream.
    Granted(Arc<str>),
    /// The request is refused; the caller may retry after this time in milliseconds.
    Refused(u32),
    /// The claim waits at the owner.
    Queued,
}

/// The saturation of a pool. While it lasts, routers need permits of the pool's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saturated {
    /// The pool.
    pub pool: Arc<str>,
    /// The owner.
    pub owner: Arc<str>,
    /// How many requests the pool answers in 1,000 s.
    pub rate: u32,
    /// How long this is valid, in milliseconds; zero ends the saturation.
    pub ttl_ms: u32,
}
