//! Estimates how much slower than usual an upstream processes requests.
//!
//! Upstreams of one pool differ in speed, and each slows down briefly when other work runs on
//! its host. Upstreams report the current processing time as a percentage of the usual one. The
//! value changes many times per second and reaches a router late, so the latest report decays
//! quickly toward the upstream's usual value.

use clock::Millis;

/// The percentage that an upstream reports at its usual speed.
pub const NOMINAL_PERCENT: u32 = 100;

/// The bounds to which reports are clamped. Values beyond them indicate a fault, which the
/// outcomes of requests show more reliably.
const MIN_PERCENT: u32 = 20;
const MAX_PERCENT: u32 = 1_000;

/// The weight of a report in the usual value if it is faster, and if it is slower. The usual
/// value is the one between slow periods.
const FASTER_WEIGHT: f64 = 0.2;
const SLOWER_WEIGHT: f64 = 0.02;

/// The half-life of the latest report, in milliseconds.
const HALF_LIFE_MS: f64 = 200.0;

/// The pace of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    estimate: Option<Estimate>,
}

/// Processing times as multiples of the usual time.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Between slow periods.
    usual: f64,
    /// In the latest report, and when it was made.
    latest: f64,
    at: Millis,
}

impl Pace {
    /// Records a report that was made at `at`, as a percentage of the usual processing time.
    /// Ignores it if a later one is known.
    pub fn record(&mut self, percent: u32, at: Millis) {
        let latest = multiple(percent);
        let Some(known) = self.estimate else {
            self.estimate = Some(Estimate { usual: latest, latest, at });
            return;
        };
        if at < known.at {
            return;
        }
        let weight = if latest < known.usual { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        let usual = known.usual + weight * (latest - known.usual);
        self.estimate = Some(Estimate { usual, latest, at });
    }

    /// The expected processing time at `now` as a multiple of the usual one, 1 without reports.
    pub fn factor(&self, now: Millis) -> f64 {
        let Some(known) = self.estimate else { return 1.0 };
        #[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
        let age = known.at.until(now).0 as f64;
        let weight = 0.5_f64.powf(age / HALF_LIFE_MS);
        known.usual + weight * (known.latest - known.usual)
    }

    /// The expected time to the start of an answer beyond `base_ms`. At the usual pace the
    /// answer takes `base_ms` without a queue, and `wait_ms` more with the current queue.
    pub fn expected_wait_ms(&self, base_ms: f64, wait_ms: f64, now: Millis) -> f64 {
        let factor = self.factor(now);
        (factor * (base_ms + wait_ms) - base_ms).max(0.0)
    }
}

fn multiple(percent: u32) -> f64 {
    f64::from(percent.clamp(MIN_PERCENT, MAX_PERCENT)) / f64::from(NOMINAL_PERCENT)
}
