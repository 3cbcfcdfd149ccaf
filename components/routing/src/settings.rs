//! What an operator may set about a router's decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use errors::Kind;
use placement::Bound;
use serde::{Deserialize, Serialize};

use crate::{Mechanisms, Path};

/// How an upstream is chosen among those that fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any; to compare with.
    Random,
    /// The one that is known to carry least; to compare with.
    Lightest,
    /// The first in rank by rendezvous hashing, under the load bound.
    Ranked,
    /// The same, and the first in rank knows where a chat went that could not
    /// be served there.
    #[default]
    Directory,
}

/// The settings of the reducer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How an upstream is chosen.
    pub policy: Policy,
    /// How upstreams are reached.
    pub path: Path,
    /// Which mechanisms are in use.
    pub mechanisms: Mechanisms,
    /// How old the proof may be that the configuration in force is the newest,
    /// in milliseconds; callers with a key are refused beyond it. Zero asks for
    /// no proof.
    pub current_ms: u64,
    /// The same for being ready: beyond it callers are better sent to a router
    /// that still hears from the store.
    pub ready_ms: u64,
    /// The same for an answer that something is unknown to the configuration.
    pub unknown_ms: u64,
    /// The load bound, as far as the router applies it beforehand.
    pub bound: Bound,
    /// The same while other routers tell their own loads, so that loads are known.
    pub known_bound: Bound,
    /// How many times its pool's rate of requests a cold upstream bears in a second.
    pub cold_multiple: f64,
    /// How many requests more it bears in a second.
    pub cold_extra: f64,
    /// What workspaces count where a pool is short; 1 for those that are not named.
    pub weights: BTreeMap<Arc<str>, f64>,
    /// How many times what it was sent beyond its share a workspace gives back while others
    /// lack room; at zero only what would wait for long is refused first.
    pub gives_back: f64,
    /// The region of each failure domain, where intents name regions.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// How long a sidecar's word on its load counts, in milliseconds.
    pub fresh_ms: u64,
    /// The most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Retries earned by each request, as a share of one.
    pub retry_share: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Hops to another upstream after a refusal over load, earned by each
    /// request, as a share of one.
    pub hop_share: f64,
    /// Hops that may be saved up.
    pub hop_burst: f64,
    /// How long a sidecar may take to say whether it takes a request, in
    /// milliseconds; it does so at once unless it is frozen or cut off.
    pub admit_ms: u64,
    /// How long an upstream is left alone after its first failure, in
    /// milliseconds; doubled with each further one.
    pub suspect_ms: u64,
    /// The longest an upstream is left alone, in milliseconds.
    pub suspect_max_ms: u64,
    /// After how many upstreams have ended under it work is held back.
    pub quarantine_ends: usize,
    /// For how long after the last of these ends, in milliseconds.
    pub quarantine_ms: u64,
    /// The most connections that are opened at a time in the background.
    pub connects: usize,
    /// How many decisions are kept for explaining.
    pub decisions: usize,
    /// When a refused caller is told to come back at the earliest, in
    /// milliseconds.
    pub retry_after_ms: u64,
    /// The same where the configuration can't be confirmed, which lasts as long
    /// as an outage of the store.
    pub stale_retry_after_ms: u64,
    /// The same where another router can confirm it, and a new connection leads
    /// there.
    pub elsewhere_retry_after_ms: u64,
    /// The same where all upstreams are in failure domains that are to take nothing: routers
    /// learn that one is taken back with a look at the store.
    pub evacuated_retry_after_ms: u64,
    /// What is set about the places of pools that are short of them.
    pub places: permits::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            path: Path::default(),
            mechanisms: Mechanisms::default(),
            current_ms: 0,
            ready_ms: 0,
            unknown_ms: 0,
            bound: Bound::default(),
            known_bound: Bound::default(),
            cold_multiple: 1.0,
            cold_extra: 0.0,
            weights: BTreeMap::new(),
            gives_back: 0.0,
            regions: BTreeMap::new(),
            fresh_ms: 300,
            max_attempts: 4,
            retry_share: 0.2,
            retry_burst: 20.0,
            hop_share: 1.0,
            hop_burst: 50.0,
            admit_ms: 1_000,
            suspect_ms: 250,
            suspect_max_ms: 10_000,
            quarantine_ends: 3,
            quarantine_ms: 600_000,
            connects: 64,
            decisions: 4_096,
            retry_after_ms: 250,
            stale_retry_after_ms: 3_000,
            elsewhere_retry_after_ms: 50,
            evacuated_retry_after_ms: 1_500,
            places: permits::Settings::default(),
        }
    }
}

impl Settings {
    /// When a caller that is refused for `kind` is told to come back at the
    /// earliest, in milliseconds.
    pub fn retry_after_ms(&self, kind: Kind) -> u64 {
        match kind {
            Kind::StaleConfiguration => self.stale_retry_after_ms,
            _ => self.retry_after_ms,
        }
    }
}
