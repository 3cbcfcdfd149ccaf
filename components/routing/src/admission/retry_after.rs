//! When callers are told to come back that were turned away.

use clock::Millis;

use crate::beliefs::outlook::millis_to_f64;

/// After how long a completion counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The share of what a pool completes that is booked for callers who come back; the rest is
/// for those who come for the first time.
const SHARE: f64 = 0.25;

/// The shortest time, in milliseconds, over which completions are taken for a rate.
const LEAST_AGE_MS: f64 = 100.0;

/// The longest that a caller is told to stay away, in milliseconds. Callers of the sites have
/// 10 to 12 s and honour a third of what is left.
const LONGEST: Millis = Millis(4_000);

/// The bookings of a router in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bookings {
    /// Completions, fading, as of `at`.
    completed: f64,
    at: Millis,
    /// When the first one was.
    since: Option<Millis>,
    /// The time of the latest booking.
    booked: Millis,
    /// The same for workspaces that are over their shares.
    booked_over: Millis,
}

impl Bookings {
    /// Takes that a request has ended.
    pub(crate) fn record_completion(&mut self, now: Millis) {
        self.completed = self.completed(now) + 1.0;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// Books a time to come back, `soonest` from now at the earliest; returns how long it is
    /// until then.
    ///
    /// Callers whose workspace is over its share, `times` times, come after all others that are
    /// booked, and that much further apart.
    pub(crate) fn book(&mut self, soonest: Millis, times: f64, now: Millis) -> Millis {
        let latest = now + LONGEST;
        let earliest = self.booked.max(now + soonest);
        if times <= 1.0 {
            self.booked = (earliest + self.gap(now)).min(latest);
            return now.until(self.booked);
        }
        let gap = millis_to_f64(self.gap(now)) * times;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let gap = Millis(gap as u64);
        self.booked_over = (earliest.max(self.booked_over) + gap).min(latest);
        now.until(self.booked_over)
    }

    /// How long after one booking the next one is. A router that has not seen a request
    /// end, as after its start, knows of no rate, and sends callers away for no longer than
    /// others wait.
    fn gap(&self, now: Millis) -> Millis {
        let Some(since) = self.since else {
            return Millis::ZERO;
        };
        let age = millis_to_f64(since.until(now)).max(LEAST_AGE_MS);
        let seen = 1.0 - 0.5_f64.powf(age / HALF_LIFE_MS);
        let rate = self.completed(now) / seen * std::f64::consts::LN_2 / HALF_LIFE_MS;
        let gap = (1.0 / (SHARE * rate)).min(millis_to_f64(LONGEST));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let gap = gap as u64;
        Millis(gap)
    }

    fn completed(&self, now: Millis) -> f64 {
        self.completed * 0.5_f64.powf(millis_to_f64(self.at.until(now)) / HALF_LIFE_MS)
    }
}
