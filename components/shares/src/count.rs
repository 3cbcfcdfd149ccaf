//! A decaying counter of requests.

use clock::Millis;

/// The half-life of a counted request, in milliseconds. Equal to that of the wait estimates in the
/// crate `routing`.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Requested and served requests, as decaying sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counter {
    pub requested: f64,
    pub served: f64,
    at: Millis,
}

impl Counter {
    /// The counter as of `now`.
    pub(crate) fn at(self, now: Millis) -> Self {
        let factor = decay(self.at.until(now));
        Self { requested: self.requested * factor, served: self.served * factor, at: now }
    }

    /// The demand in requests. At least what was served, as retries are not counted as requested.
    pub(crate) fn demand(self) -> f64 {
        self.requested.max(self.served)
    }
}

/// The factor by which a count decays in `age`.
pub(crate) fn decay(age: Millis) -> f64 {
    0.5_f64.powf(ms(age) / HALF_LIFE_MS)
}

#[expect(clippy::cast_precision_loss, reason = "ages are far below 2^53")]
fn ms(time: Millis) -> f64 {
    time.0 as f64
}
