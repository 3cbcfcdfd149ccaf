//! Settings of a router's decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use errors::Kind;
use placement::Bound;
use serde::{Deserialize, Serialize};

use crate::{Mechanisms, Path};

/// How an upstream is selected among the eligible ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Uniformly at random; for comparison.
    Random,
    /// The least loaded; for comparison.
    Lightest,
    /// First by rendezvous hashing, within the load bound.
    Ranked,
    /// Like `Ranked`, with a directory of moved chats at the first upstream in rank.
    #[default]
    Directory,
}

/// Settings of the reducer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Selection policy.
    pub policy: Policy,
    /// How upstreams are reached.
    pub path: Path,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Maximum age of the confirmation that the configuration is the newest, in milliseconds;
    /// authenticated requests are refused beyond it. Zero disables the check.
    pub current_ms: u64,
    /// The same for readiness: beyond it, callers should go to a router with a newer confirmation.
    pub ready_ms: u64,
    /// The same for answers that something is not in the configuration.
    pub unknown_ms: u64,
    /// Load bound that the router enforces before sending.
    pub bound: Bound,
    /// Load bound while other routers report their loads.
    pub known_bound: Bound,
    /// Multiple of the pool's `cold_per_s` that a cold upstream may get per second.
    pub cold_multiple: f64,
    /// Requests per second added to that.
    pub cold_extra: f64,
    /// Weights of workspaces in saturated pools; 1 if not listed.
    pub weights: BTreeMap<Arc<str>, f64>,
    /// Multiple of its excess by which a workspace over its share is reduced while others within
    /// their shares are refused; at zero, only its requests with long waits are refused first.
    pub gives_back: f64,
    /// Region of each failure domain, for intents that name regions.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Maximum age of a sidecar's load report, in milliseconds.
    pub fresh_ms: u64,
    /// Maximum number of attempts of a request, including the first.
    pub max_attempts: u32,
    /// Retries earned per request.
    pub retry_share: f64,
    /// Maximum number of saved retries.
    pub retry_burst: f64,
    /// Retries after refusals over load, earned per request.
    pub hop_share: f64,
    /// Maximum number of saved retries after refusals over load.
    pub hop_burst: f64,
    /// Time within which a sidecar must admit or refuse a request, in milliseconds.
    pub admit_ms: u64,
    /// Backoff after the first failure of an upstream, in milliseconds; doubled with each further
    /// failure.
    pub suspect_ms: u64,
    /// Maximum backoff of an upstream, in milliseconds.
    pub suspect_max_ms: u64,
    /// Number of crashed upstreams after which work is quarantined.
    pub quarantine_ends: usize,
    /// Number of crashed upstreams, one after the other, after which a prompt part is quarantined;
    /// zero disables that.
    pub quarantine_part_crashes: usize,
    /// Duration of the quarantine after the last crash, in milliseconds.
    pub quarantine_ms: u64,
    /// Maximum number of connections opened at a time in the background.
    pub connects: usize,
    /// Number of decisions kept for the explain endpoint.
    pub decisions: usize,
    /// Shortest time after which a refused caller may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The same where the configuration can't be confirmed.
    pub stale_retry_after_ms: u64,
    /// The same where another router has a confirmed configuration.
    pub elsewhere_retry_after_ms: u64,
    /// The same where all upstreams are in evacuated failure domains.
    pub evacuated_retry_after_ms: u64,
    /// Settings of permits for saturated pools.
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
            quarantine_part_crashes: 3,
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
    /// Shortest time after which a caller refused for `kind` may retry, in milliseconds.
    pub fn retry_after_ms(&self, kind: Kind) -> u64 {
        match kind {
            Kind::StaleConfiguration => self.stale_retry_after_ms,
            _ => self.retry_after_ms,
        }
    }
}
