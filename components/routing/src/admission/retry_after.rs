//! Retry times for refused callers.

use clock::Millis;

use crate::upstreams::estimate::millis_to_f64;

/// Half-life of completions, in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;

/// Fraction of a pool's completion rate that is booked for returning callers; the rest is for new
/// requests.
const RETRY_RATIO: f64 = 0.25;

/// Shortest time over which a completion rate is measured, in milliseconds.
const MIN_AGE_MS: f64 = 100.0;

/// Longest retry time given to a caller. Callers wait for at most a third of the time that they
/// have left.
const MAX_RETRY_AFTER: Millis = Millis(4_000);

/// Retry bookings of a router in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bookings {
    /// Completions, decaying, as of `updated_at`.
    completions: f64,
    updated_at: Millis,
    /// Time of the first completion.
    first_at: Option<Millis>,
    /// Time of the latest booking.
    latest_booking: Millis,
    /// The same for workspaces over their share.
    latest_over_share: Millis,
}

impl Bookings {
    /// Records the end of a request.
    pub(crate) fn record_completion(&mut self, now: Millis) {
        self.completions = self.completions(now) + 1.0;
        self.updated_at = now;
        self.first_at.get_or_insert(now);
    }

    /// Books a retry time, at least `min_delay` from now, and returns the delay.
    ///
    /// Callers of workspaces over their share come after all other bookings, with gaps larger by
    /// `excess_ratio`.
    pub(crate) fn book(&mut self, min_delay: Millis, excess_ratio: f64, now: Millis) -> Millis {
        let limit = now + MAX_RETRY_AFTER;
        let earliest = self.latest_booking.max(now + min_delay);
        if excess_ratio <= 1.0 {
            self.latest_booking = (earliest + self.gap(now)).min(limit);
            return now.until(self.latest_booking);
        }
        let gap = millis_to_f64(self.gap(now)) * excess_ratio;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let gap = Millis(gap as u64);
        self.latest_over_share = (earliest.max(self.latest_over_share) + gap).min(limit);
        now.until(self.latest_over_share)
    }

    /// Gap between two bookings; zero before the first completion, when the rate is unknown.
    fn gap(&self, now: Millis) -> Millis {
        let Some(first_at) = self.first_at else {
            return Millis::ZERO;
        };
        let age = millis_to_f64(first_at.until(now)).max(MIN_AGE_MS);
        let weight = 1.0 - 0.5_f64.powf(age / HALF_LIFE_MS);
        let rate = self.completions(now) / weight * std::f64::consts::LN_2 / HALF_LIFE_MS;
        let gap = (1.0 / (RETRY_RATIO * rate)).min(millis_to_f64(MAX_RETRY_AFTER));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let gap = gap as u64;
        Millis(gap)
    }

    fn completions(&self, now: Millis) -> f64 {
        self.completions * 0.5_f64.powf(millis_to_f64(self.updated_at.until(now)) / HALF_LIFE_MS)
    }
}
