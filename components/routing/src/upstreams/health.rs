//! Outlier detection: recent outcomes of an upstream, compared with those of its pool.
//!
//! It finds upstreams that fail only part of their requests and answer the others in time.

use clock::Millis;

/// Half-life of the weight of an outcome, in milliseconds. Long enough for several outcomes of each
/// upstream at a usual rate.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Failures beyond the expected number and its deviation that make an outlier.
const MIN_EXCESS_FAILURES: f64 = 1.5;

/// Standard deviations beyond the expected number of failures.
const MIN_DEVIATIONS: f64 = 2.0;

/// Failure ratio of the rest of the pool above which no upstream is an outlier, as the others
/// are no better.
const MAX_POOL_FAILURE_RATIO: f64 = 0.25;

/// Exponentially decaying counts of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    successes: f64,
    failures: f64,
    at: Millis,
    /// Successes and failures of own requests that are not yet reported to other routers. The
    /// successes are negative if reported ones were replaced by failures; later ones make up for
    /// them.
    unreported: (i32, u32),
}

/// Decayed counts of outcomes at one point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub successes: f64,
    pub failures: f64,
}

impl Health {
    /// Records the outcome of an own request.
    pub(crate) fn record(&mut self, success: bool, now: Millis) {
        let (successes, failures) = if success { (1, 0) } else { (0, 1) };
        self.add(successes, failures, now);
        self.unreported.0 += i32::from(success);
        self.unreported.1 += failures;
    }

    /// Replaces the success of an own request, recorded at `recorded_at`, by a failure.
    pub(crate) fn replace_success(&mut self, recorded_at: Millis, now: Millis) {
        let known = self.outcomes(now);
        self.successes = (known.successes - decay(recorded_at, now)).max(0.0);
        self.failures = known.failures;
        self.at = now;
        self.unreported.0 -= 1;
        self.record(false, now);
    }

    /// Adds outcomes of this or another router.
    pub(crate) fn add(&mut self, successes: u32, failures: u32, now: Millis) {
        let known = self.outcomes(now);
        self.successes = known.successes + f64::from(successes);
        self.failures = known.failures + f64::from(failures);
        self.at = now;
    }

    /// Takes the unreported successes and failures, if there are any.
    pub(crate) fn take_unreported(&mut self) -> Option<(u32, u32)> {
        let successes = u32::try_from(self.unreported.0).unwrap_or_default();
        let failures = std::mem::take(&mut self.unreported.1);
        self.unreported.0 = self.unreported.0.min(0);
        ((successes, failures) != (0, 0)).then_some((successes, failures))
    }

    /// The counts decayed to `now`.
    pub(crate) fn outcomes(&self, now: Millis) -> Outcomes {
        let decay = decay(self.at, now);
        Outcomes { successes: self.successes * decay, failures: self.failures * decay }
    }
}

/// The weight at `now` of an outcome recorded at `at`.
fn decay(at: Millis, now: Millis) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
    let age = at.until(now).0 as f64;
    0.5_f64.powf(age / HALF_LIFE_MS)
}

impl Outcomes {
    /// The sums of both.
    pub(crate) fn merge(self, other: Self) -> Self {
        Self {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
        }
    }

    /// The share that failed; zero if there are no outcomes.
    fn failure_ratio(self) -> f64 {
        let total = self.successes + self.failures;
        if total > 0.0 { self.failures / total } else { 0.0 }
    }

    /// Whether these outcomes are significantly worse than those of the rest of `pool`, which
    /// includes them.
    pub(crate) fn is_worse_than(self, pool: Self) -> bool {
        let rest = Self {
            successes: pool.successes - self.successes,
            failures: pool.failures - self.failures,
        };
        let (count, ratio) = (self.successes + self.failures, rest.failure_ratio());
        if ratio > MAX_POOL_FAILURE_RATIO {
            return false;
        }
        let deviation = (count * ratio * (1.0 - ratio)).max(0.0).sqrt();
        self.failures >= count * ratio + MIN_DEVIATIONS * deviation + MIN_EXCESS_FAILURES
    }
}
