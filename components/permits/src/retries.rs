//! When callers that were refused are to come back.

use std::collections::HashMap;

use clock::Millis;

/// The share of a pool's rate for callers that come back; the rest is for new ones.
const SHARE: f64 = 0.25;

/// The longest that a caller is told to stay away.
pub(crate) const LONGEST: Millis = Millis(4_000);

/// How long before its time a caller may be back, since clocks and ways differ.
const EARLY: Millis = Millis(20);

/// How long after its time a booking is kept.
const KEPT: Millis = Millis(2_000);

/// The most bookings that are kept.
const MOST: usize = 4_096;

/// How a caller stands to the time that it was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timing {
    /// It comes at its time.
    OnTime,
    /// It was told none.
    #[default]
    New,
    /// It comes before its time.
    Early,
}

/// The times that callers were told.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    times: HashMap<u64, Millis>,
    latest: Millis,
}

impl Retries {
    /// Books a time for the caller with `content`, `soonest` from now at the earliest, in a pool
    /// that answers `rate_per_ms`. Returns how long it is until then. A caller that comes
    /// before its time keeps it.
    pub fn book(&mut self, content: u64, soonest: Millis, rate_per_ms: f64, now: Millis) -> Millis {
        if let Some(time) = self.times.get(&content).filter(|it| **it > now) {
            return now.until(*time);
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let gap = (1.0 / (SHARE * rate_per_ms).max(0.001)).min(1_000.0) as u64;
        self.latest = (self.latest.max(now + soonest) + Millis(gap)).min(now + LONGEST);
        if self.times.len() >= MOST {
            self.times.retain(|_, it| *it + KEPT > now);
        }
        if self.times.len() < MOST {
            self.times.insert(content, self.latest);
        }
        now.until(self.latest)
    }

    /// How a caller stands that comes now; the booking of one that keeps its time is used up.
    pub fn standing(&mut self, content: u64, now: Millis) -> Timing {
        let Some(time) = self.times.get(&content).copied() else { return Timing::New };
        if time > now + EARLY {
            return Timing::Early;
        }
        self.times.remove(&content);
        if time + KEPT > now { Timing::OnTime } else { Timing::New }
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
