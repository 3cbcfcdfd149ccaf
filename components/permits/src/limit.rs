//! An adaptive concurrency limit for one upstream.
//!
//! The number of permits is the estimated concurrency of the upstream plus a margin for requests
//! in transit and uneven arrivals.

use clock::Millis;

/// The initial concurrency of an upstream that lists no slots.
const DEFAULT_SLOTS: f64 = 4.0;

/// The weight of the latest value in a moving average.
const SMOOTHING: f64 = 0.05;

/// The ratio of the mean to the lowest mean latency above which the upstream is queueing.
const QUEUEING_RATIO: f64 = 1.5;

/// How fast the lowest mean latency rises per answer, so that an outdated minimum is dropped.
const MIN_LATENCY_RISE: f64 = 0.001;

/// The factor applied to the concurrency after a refusal for lack of slots.
const REFUSAL_FACTOR: f64 = 0.85;

/// The factor applied to the concurrency for each answer while the upstream is queueing.
const QUEUEING_FACTOR: f64 = 0.98;

/// The increase of the concurrency over as many answers as its value: below the slots, and above
/// them if the upstream lists none.
const RECOVERY_STEP: f64 = 0.5;
const GROWTH_STEP: f64 = 0.25;

/// The number of refusals without an answer after which the upstream counts as failing.
const MAX_REFUSALS: u32 = 6;

/// The part of an objective that requests may queue at the upstream.
const QUEUE_RATIO: f64 = 0.4;

/// The longest and the first backoff after a failure, in milliseconds.
const MAX_BACKOFF_MS: u64 = 4_000;
const INITIAL_BACKOFF_MS: u64 = 250;

/// How many times the backoff may double.
const MAX_DOUBLINGS: u32 = 5;

/// How many requests one upstream may have in flight.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: f64,
    listed: bool,
    /// The requests that the upstream is estimated to process at a time.
    concurrency: f64,
    /// Mean time to an answer, in milliseconds; `None` before the first.
    latency: Option<f64>,
    /// The lowest value of `latency`.
    min_latency: f64,
    /// Mean time that a permit is held, in milliseconds.
    held: Option<f64>,
    /// When the concurrency was last lowered for a refusal.
    lowered: Millis,
    failures: u32,
    /// Refusals since the last answer.
    refusals: u32,
    backoff_until: Millis,
}

impl Limit {
    /// Creates the limit of an upstream that lists `slots`, zero if it lists none.
    pub fn new(slots: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let listed = slots as f64;
        let slots = if slots > 0 { listed } else { DEFAULT_SLOTS };
        Self {
            slots,
            listed: listed > 0.0,
            concurrency: slots,
            latency: None,
            min_latency: f64::MAX,
            held: None,
            lowered: Millis::ZERO,
            failures: 0,
            refusals: 0,
            backoff_until: Millis::ZERO,
        }
    }

    /// Whether this is the limit of an upstream that lists `slots`.
    pub(crate) fn is_for(&self, slots: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let listed = slots as f64;
        if slots == 0 { !self.listed } else { self.listed && (self.slots - listed).abs() < 0.5 }
    }

    /// Records an answer: the upstream's latency, how long the permit was held, and whether all
    /// permits were in use.
    pub fn record_answer(&mut self, latency: Millis, held: Millis, full: bool) {
        self.failures = 0;
        self.refusals = 0;
        self.backoff_until = Millis::ZERO;
        self.latency = Some(smooth(self.latency, ms(latency)));
        self.held = Some(smooth(self.held, ms(held.max(latency))));
        let latency = self.latency_ms();
        self.min_latency = (self.min_latency * (1.0 + MIN_LATENCY_RISE)).min(latency);
        if latency > self.min_latency * QUEUEING_RATIO {
            // Queueing does not lower the concurrency below the listed slots.
            let floor = if self.listed { self.slots.min(self.concurrency) } else { 1.0 };
            self.concurrency = (self.concurrency * QUEUEING_FACTOR).max(floor);
        } else if self.concurrency < self.slots {
            self.concurrency += RECOVERY_STEP / self.concurrency;
        } else if full {
            self.concurrency += GROWTH_STEP / self.concurrency;
        }
        let max = if self.listed { self.slots } else { f64::MAX };
        self.concurrency = self.concurrency.min(max);
    }

    /// Records a refusal for lack of slots while `in_flight` permits were in use, including the
    /// refused one. Lowers the concurrency at most once per mean time that a permit is held. A
    /// refusal of the only request, or too many in a row, count as a failure.
    pub fn record_refusal(&mut self, in_flight: usize, now: Millis) {
        self.refusals = self.refusals.saturating_add(1);
        if in_flight <= 1 || self.refusals > MAX_REFUSALS {
            return self.record_failure(now);
        }
        let interval = Millis(whole(self.held.unwrap_or(100.0)));
        if self.lowered.until(now) < interval && self.lowered > Millis::ZERO {
            return;
        }
        self.lowered = now;
        let in_flight = f64::from(u32::try_from(in_flight).unwrap_or(u32::MAX));
        // The upstream may also be busy with requests that were sent without permits.
        let min = if self.listed { self.slots / 2.0 } else { 1.0 };
        self.concurrency = (self.concurrency.min(in_flight) * REFUSAL_FACTOR).max(min);
    }

    /// Records that the upstream failed or was unreachable.
    pub fn record_failure(&mut self, now: Millis) {
        if self.backoff_until > now {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + Millis(backoff);
    }

    /// The number of permits that may be in use at once: the concurrency, plus the requests in
    /// transit, plus a margin for uneven arrivals. The sum of the latter two is bounded so that the
    /// queue at the upstream takes no more than a fixed part of the objective.
    pub fn permits(&self, objective: Millis, now: Millis) -> usize {
        if self.backoff_until > now {
            return 0;
        }
        if self.failures > 0 {
            return 1;
        }
        let in_transit = self.rate_per_ms() * (self.held_ms() - self.latency_ms()).max(0.0);
        let max_queue = self.rate_per_ms() * ms(objective) * QUEUE_RATIO;
        let excess = (in_transit + self.concurrency.sqrt()).min(max_queue);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "few")]
        let permits = (self.concurrency + excess).max(1.0) as usize;
        permits
    }

    /// The estimated rate at full use, in requests per millisecond.
    pub fn rate_per_ms(&self) -> f64 {
        self.concurrency / self.latency_ms().max(1.0)
    }

    /// The mean time to an answer, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency.unwrap_or(60.0)
    }

    fn held_ms(&self) -> f64 {
        self.held.unwrap_or_else(|| self.latency_ms())
    }
}

/// Updates an exponential moving average.
fn smooth(mean: Option<f64>, value: f64) -> f64 {
    mean.map_or(value, |mean| mean + SMOOTHING * (value - mean))
}

#[expect(clippy::cast_precision_loss, reason = "times of a request are short")]
fn ms(time: Millis) -> f64 {
    time.0 as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short, positive")]
fn whole(ms: f64) -> u64 {
    ms as u64
}
