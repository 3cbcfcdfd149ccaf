//! Estimates how much slower than nominal an upstream processes requests.
//!
//! Upstreams report their current processing time as a percentage of the nominal one. Each has a
//! baseline, from which it deviates for short periods. Reports are delayed relative to these
//! periods, so the latest report decays quickly toward the baseline.

use clock::Millis;

/// The percentage that an upstream reports at its nominal speed.
pub const NOMINAL_PERCENT: u32 = 100;

/// The bounds to which reports are clamped. Faults are detected from the outcomes of requests
/// instead.
const MIN_PERCENT: u32 = 20;
const MAX_PERCENT: u32 = 1_000;

/// The weight of a report in the baseline if it is faster, and if it is slower. The baseline
/// follows faster reports sooner, as it is the pace between slow periods.
const FASTER_WEIGHT: f64 = 0.2;
const SLOWER_WEIGHT: f64 = 0.02;

/// The half-life of the latest report, in milliseconds. The pace changes many times a second, so
/// that a report says little about the next second.
const HALF_LIFE_MS: f64 = 200.0;

/// How much longer than nominal one upstream takes; above 1 is slower.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    estimate: Option<Estimate>,
}

/// Processing times as multiples of the nominal time.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// The moving baseline of the reports.
    baseline: f64,
    /// The value of the latest report.
    latest: f64,
    /// When the latest report was made.
    at: Millis,
}

impl Pace {
    /// Records a report that was made at `at`, as a percentage of the nominal processing time.
    /// Ignores it if a later one is known.
    pub fn record(&mut self, percent: u32, at: Millis) {
        let latest = multiple(percent);
        let Some(known) = self.estimate else {
            self.estimate = Some(Estimate { baseline: latest, latest, at });
            return;
        };
        if at < known.at {
            return;
        }
        let weight = if latest < known.baseline { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        let baseline = known.baseline + weight * (latest - known.baseline);
        self.estimate = Some(Estimate { baseline, latest, at });
    }

    /// The expected processing time at `now` as a multiple of the nominal one, 1 without reports.
    pub fn factor(&self, now: Millis) -> f64 {
        let Some(known) = self.estimate else { return 1.0 };
        #[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
        let age = known.at.until(now).0 as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE_MS);
        known.baseline + weight * (known.latest - known.baseline)
    }

    /// The expected time to the start of an answer in excess of `base_ms`, which it takes at the
    /// nominal pace without a queue. `wait_ms` is the wait in the queue at the nominal pace.
    pub fn expected_wait_ms(&self, base_ms: f64, wait_ms: f64, now: Millis) -> f64 {
        let factor = self.factor(now);
        (factor * (base_ms + wait_ms) - base_ms).max(0.0)
    }
}

fn multiple(percent: u32) -> f64 {
    f64::from(percent.clamp(MIN_PERCENT, MAX_PERCENT)) / f64::from(NOMINAL_PERCENT)
}
