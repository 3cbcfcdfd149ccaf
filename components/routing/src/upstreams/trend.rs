//! How fast the load of a pool falls.
//!
//! Each upstream is observed only when one of its answers begins. While the load falls, earlier
//! observations are too high, and so would be the mean by which the bound goes.

use clock::Millis;

use crate::upstreams::estimate::{millis_to_f64, to_f64};

/// Half-life of observed changes, in milliseconds. About as long as a stream takes.
const HALF_LIFE_MS: f64 = 700.0;

/// Weight of an unchanged load, in requests times milliseconds: one request for a second.
const PRIOR_REQUEST_MS: f64 = 1_000.0;

/// Changes between consecutive observations of the same upstreams, decaying.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trend {
    /// Sum of changes, in requests.
    change: f64,
    /// Sum of loads over the time of these changes, in requests times milliseconds.
    exposure: f64,
    updated_at: Millis,
}

impl Trend {
    /// Records that an upstream's load was `before` and is `after` at `now`, `elapsed` later.
    pub(crate) fn record(&mut self, before: u64, after: u64, elapsed: Millis, now: Millis) {
        let decay = self.decay(now);
        let mean_load = f64::midpoint(to_f64(before), to_f64(after));
        self.change = self.change * decay + to_f64(after) - to_f64(before);
        self.exposure = self.exposure * decay + mean_load * millis_to_f64(elapsed);
        self.updated_at = now;
    }

    /// The part of the load that ends per millisecond; zero if the load does not fall.
    pub(crate) fn decline(&self, now: Millis) -> f64 {
        let decay = self.decay(now);
        (-self.change * decay / (self.exposure * decay + PRIOR_REQUEST_MS)).max(0.0)
    }

    fn decay(&self, now: Millis) -> f64 {
        0.5_f64.powf(millis_to_f64(self.updated_at.until(now)) / HALF_LIFE_MS)
    }
}
