//! When callers are told to come back that were turned away.

use clock::Millis;

use crate::outlook::ms;

/// After how long a completion counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The share of what a pool completes that is booked for callers who come back; the rest is
/// for those who come for the first time.
const SHARE: f64 = 0.25;

/// The least rate of completions that is reckoned with, a second.
const LEAST_RATE: f64 = 1.0;

/// The longest that a caller is told to stay away, in milliseconds. Callers of the sites have
/// 10 to 12 s and honour a third of what is left.
const LONGEST: Millis = Millis(4_000);

/// The bookings of a router in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returns {
    /// Completions, fading, as of `at`.
    completed: f64,
    at: Millis,
    /// The time of the latest booking.
    booked: Millis,
}

impl Returns {
    /// Takes that a request has ended.
    pub(crate) fn ended(&mut self, now: Millis) {
        self.completed = self.completed(now) + 1.0;
        self.at = now;
    }

    /// Books a time to come back, `soonest` from now at the earliest; returns how long it is
    /// until then.
    pub(crate) fn book(&mut self, soonest: Millis, now: Millis) -> Millis {
        let latest = now + LONGEST;
        let earliest = self.booked.max(now + soonest);
        self.booked = (earliest + self.gap(now)).min(latest);
        now.until(self.booked)
    }

    /// How long after one booking the next one is.
    fn gap(&self, now: Millis) -> Millis {
        let rate = self.completed(now) * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most a few seconds"
        )]
        let gap = (1_000.0 / (SHARE * rate.max(LEAST_RATE))) as u64;
        Millis(gap)
    }

    fn completed(&self, now: Millis) -> f64 {
        self.completed * 0.5_f64.powf(ms(self.at.until(now)) / HALF_LIFE_MS)
    }
}
