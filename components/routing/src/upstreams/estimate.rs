//! Estimates of the load that other routers cause at upstreams that are reached directly.

use clock::Millis;

use crate::{Path, Settings};

/// Half-life of an observation of other routers' requests, in milliseconds. About as long as a
/// stream takes.
const HALF_LIFE_MS: f64 = 700.0;

/// How long an observation counts in full in the mean of a pool. It exceeds the interval at
/// which routers pass observations on.
const MEAN_FULL_WEIGHT: Millis = Millis(1_000);

/// Weight of the latest answer in the exponential moving average of the load.
const MEAN_SMOOTHING: f64 = 0.1;

/// Shape of the gamma distribution that is assumed for the request rates of upstreams before any
/// observation. A low value is a wide spread. Some prompts are requested far more often than
/// others.
const GAMMA_SHAPE: f64 = 0.4;

/// The assumptions of a router about one pool at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub path: Path,
    pub now: Millis,
    /// How many routers share the upstreams.
    pub routers: f64,
    /// A hash of this router's name, once it is known.
    pub router_key: Option<u64>,
    /// The mean load of the pool's upstreams, as answers report it.
    pub mean_load: f64,
    /// The part of the pool's load that ends per millisecond while it falls.
    pub decline: f64,
    /// Whether any other router has recently sent its loads.
    pub loads_known: bool,
    /// Whether any other router has recently sent load observations.
    pub observations_shared: bool,
    /// Whether this router may use its quotas for cold upstreams.
    pub quota_valid: bool,
}

impl Estimate {
    /// Whether the free capacity of upstreams is divided among the routers: all share the same
    /// observations, and none has reports of the requests that the others have sent since.
    pub(crate) fn is_allocating(&self, settings: &Settings) -> bool {
        let is_shared = self.observations_shared && !self.loads_known && !self.path.has_sidecars();
        settings.mechanisms.dealt_room && is_shared && self.router_key.is_some()
    }

    /// How many routers share the upstreams.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a whole number of routers"
    )]
    pub(crate) fn router_count(&self) -> u64 {
        self.routers.max(1.0) as u64
    }

    /// The load of other routers at an upstream where this router has the load `own`, and
    /// `observed` at `observed_at` is the latest observation. The observation decays to the
    /// expected load, which grows with this router's own.
    pub(crate) fn other_load(&self, own: f64, observed: f64, observed_at: Millis) -> f64 {
        let weight = self.weight(observed_at);
        weight * observed + (1.0 - weight) * self.expected(own)
    }

    /// The remainder of an observation of waiting load, which decays to zero.
    pub(crate) fn remaining(&self, observed: f64, observed_at: Millis) -> f64 {
        self.weight(observed_at) * observed
    }

    /// The load of other routers that enters the mean of a pool: the observation counts in full
    /// for a while, less what has ended since if the pool's load falls, and then decays to zero.
    /// The expected load of idle upstreams would raise the mean and with it the load bound.
    pub(crate) fn load_for_mean(&self, observed: f64, observed_at: Millis) -> f64 {
        let age_ms = millis_to_f64(observed_at.until(self.now));
        let remaining = observed * (-self.decline * age_ms).exp();
        self.weight(observed_at + MEAN_FULL_WEIGHT) * remaining
    }

    /// The weight of an observation by its age.
    fn weight(&self, observed_at: Millis) -> f64 {
        0.5_f64.powf(millis_to_f64(observed_at.until(self.now)) / HALF_LIFE_MS)
    }

    /// The expected load of other routers at an upstream where this router has the load `own`.
    fn expected(&self, own: f64) -> f64 {
        if self.mean_load <= 0.0 {
            return 0.0;
        }
        let rate = (GAMMA_SHAPE + own) / (GAMMA_SHAPE * self.routers / self.mean_load + 1.0);
        (self.routers - 1.0) * rate
    }
}

/// The moving average after one more answer that reported `load`. The answered request itself is
/// not counted.
pub(crate) fn update_mean(mean: f64, load: u64) -> f64 {
    mean + MEAN_SMOOTHING * (to_f64(load.saturating_sub(1)) - mean)
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
pub(crate) fn to_f64(load: u64) -> f64 {
    load as f64
}

#[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
pub(crate) fn millis_to_f64(age: Millis) -> f64 {
    age.0 as f64
}
