//! How the latest requests at an upstream ended, and whether it does worse than its
//! pool.
//!
//! An upstream that fails part of its requests answers the others in time, so that
//! nothing tells it from a sound one but the share of those that fail.

use clock::Millis;

/// After how long an outcome counts half, in milliseconds. A router sends an upstream
/// of the sites 2 to 4 requests a second, so that it has some to go by.
const HALF_LIFE_MS: f64 = 3_000.0;

/// How many failures more than the pool's share would bring say anything.
const EXCESS: f64 = 1.5;

/// How many standard deviations more, so that chance seldom does.
const DEVIATIONS: f64 = 2.0;

/// The share of failures of the pool beyond which nobody does worse: where most fail,
/// other upstreams promise nothing.
const MOST_USUAL: f64 = 0.25;

/// The outcomes of requests, fading with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    successes: f64,
    failures: f64,
    at: Millis,
    /// Own outcomes of which other routers have not been told, good and bad.
    unreported: (u32, u32),
}

/// Outcomes as they count at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub successes: f64,
    pub failures: f64,
}

impl Health {
    /// Takes an outcome.
    pub(crate) fn record(&mut self, good: bool, now: Millis) {
        let (good, bad) = if good { (1, 0) } else { (0, 1) };
        self.add(good, bad, now);
        self.unreported = (self.unreported.0 + good, self.unreported.1 + bad);
    }

    /// Takes outcomes that another router has told of.
    pub(crate) fn add(&mut self, good: u32, bad: u32, now: Millis) {
        let known = self.outcomes(now);
        self.successes = known.successes + f64::from(good);
        self.failures = known.failures + f64::from(bad);
        self.at = now;
    }

    /// The own outcomes since this was asked last, if there are any.
    pub(crate) fn take_unreported(&mut self) -> Option<(u32, u32)> {
        let unreported = std::mem::take(&mut self.unreported);
        (unreported != (0, 0)).then_some(unreported)
    }

    /// What the outcomes count at `now`.
    pub(crate) fn outcomes(&self, now: Millis) -> Outcomes {
        #[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
        let kept = 0.5_f64.powf(self.at.until(now).0 as f64 / HALF_LIFE_MS);
        Outcomes { successes: self.successes * kept, failures: self.failures * kept }
    }
}

impl Outcomes {
    /// These and `other`.
    pub(crate) fn merge(self, other: Self) -> Self {
        Self {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
        }
    }

    /// The share that failed; zero without any.
    fn failure_ratio(self) -> f64 {
        let all = self.successes + self.failures;
        if all > 0.0 { self.failures / all } else { 0.0 }
    }

    /// Whether these are clearly worse than those of the rest of `pool`, which holds
    /// these too.
    pub(crate) fn is_worse_than(self, pool: Self) -> bool {
        let rest = Self {
            successes: pool.successes - self.successes,
            failures: pool.failures - self.failures,
        };
        let (count, usual) = (self.successes + self.failures, rest.failure_ratio());
        if usual > MOST_USUAL {
            return false;
        }
        let spread = (count * usual * (1.0 - usual)).max(0.0).sqrt();
        self.failures >= count * usual + DEVIATIONS * spread + EXCESS
    }
}
