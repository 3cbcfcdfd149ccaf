//! Requests that were asked for and that were sent, as they count at one time.

use clock::Millis;

/// After how long a request counts half, in milliseconds: as for waits, so that shares and
/// waits tell of the same load.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Requests that fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Count {
    pub asked: f64,
    pub served: f64,
    at: Millis,
}

impl Count {
    /// What counts of it at `now`.
    pub(crate) fn at(self, now: Millis) -> Self {
        let kept = kept(self.at.until(now));
        Self { asked: self.asked * kept, served: self.served * kept, at: now }
    }

    /// What was wanted: at least what was sent, as repeats are asked for once.
    pub(crate) fn demand(self) -> f64 {
        self.asked.max(self.served)
    }
}

/// The part of a request that counts `age` after it came.
pub(crate) fn kept(age: Millis) -> f64 {
    0.5_f64.powf(ms(age) / HALF_LIFE_MS)
}

#[expect(clippy::cast_precision_loss, reason = "ages are small beside 2^53")]
fn ms(time: Millis) -> f64 {
    time.0 as f64
}
