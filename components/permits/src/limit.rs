//! How many requests one upstream bears at once.

use clock::Millis;

/// How many are taken to be borne where no slots are listed.
const UNLISTED: f64 = 4.0;

/// How much the latest answer counts in the mean of how long answers take.
const NEWEST: f64 = 0.05;

/// By how much the mean may exceed the least mean before work is taken to queue.
const QUEUES: f64 = 1.5;

/// How fast the least mean gives way to a higher one, for each answer.
const RISES: f64 = 0.001;

/// What is left of the limit after a refusal for lack of room.
const AFTER_REFUSAL: f64 = 0.85;

/// What is left of it for each answer while work queues.
const WHILE_QUEUEING: f64 = 0.98;

/// How much the limit grows while as many are answered as it allows: below the slots, and above.
const RECOVERS: f64 = 0.5;
const GROWS: f64 = 0.25;

/// After how many refusals without an answer an upstream is taken to take nothing.
const MOST_REFUSALS: u32 = 6;

/// The part of an objective that may be waited at an upstream, if all that is under way came
/// there at once.
const WAITS: f64 = 0.4;

/// The longest back-off after a failure, in milliseconds, and the first one.
const LONGEST_BACK_OFF: u64 = 4_000;
const FIRST_BACK_OFF: u64 = 250;

/// The most doublings of the back-off.
const MOST_DOUBLINGS: u32 = 5;

/// What one upstream bears.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: f64,
    listed: bool,
    bears: f64,
    /// How long answers take, in milliseconds; none before the first.
    took: Option<f64>,
    /// The least that this mean has been.
    least: f64,
    /// How long a permit is out, in milliseconds.
    out: Option<f64>,
    /// When the limit was lowered for a refusal last.
    lowered: Millis,
    failures: u32,
    /// Refusals since the last answer.
    refusals: u32,
    shut_until: Millis,
}

impl Limit {
    /// An upstream that lists so many slots; zero if it lists none.
    pub fn new(slots: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let listed = slots as f64;
        let slots = if slots > 0 { listed } else { UNLISTED };
        Self {
            slots,
            listed: listed > 0.0,
            bears: slots,
            took: None,
            least: f64::MAX,
            out: None,
            lowered: Millis::ZERO,
            failures: 0,
            refusals: 0,
            shut_until: Millis::ZERO,
        }
    }

    /// Whether it is of an upstream that lists so many slots.
    pub(crate) fn is_for(&self, slots: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let listed = slots as f64;
        if slots == 0 { !self.listed } else { self.listed && (self.slots - listed).abs() < 0.5 }
    }

    /// A permit came back with an answer: the upstream `took` so long, and the permit was `out`
    /// for so long; `full` says whether all places were in use.
    pub fn answered(&mut self, took: Millis, out: Millis, full: bool) {
        self.failures = 0;
        self.refusals = 0;
        self.shut_until = Millis::ZERO;
        self.took = Some(mean(self.took, ms(took)));
        self.out = Some(mean(self.out, ms(out.max(took))));
        let took = self.took_ms();
        self.least = (self.least * (1.0 + RISES)).min(took);
        if took > self.least * QUEUES {
            // Listed slots are borne; what is above them may queue.
            let floor = if self.listed { self.slots.min(self.bears) } else { 1.0 };
            self.bears = (self.bears * WHILE_QUEUEING).max(floor);
        } else if self.bears < self.slots {
            self.bears += RECOVERS / self.bears;
        } else if full {
            self.bears += GROWS / self.bears;
        }
        let most = if self.listed { self.slots } else { f64::MAX };
        self.bears = self.bears.min(most);
    }

    /// The upstream had no room while `in_flight` permits were out, this one included. It counts
    /// once for all that were sent before the first was heard of. One that has no room for a
    /// single request takes nothing.
    pub fn refused(&mut self, in_flight: usize, now: Millis) {
        self.refusals = self.refusals.saturating_add(1);
        if in_flight <= 1 || self.refusals > MOST_REFUSALS {
            return self.failed(now);
        }
        let round = Millis(whole(self.out.unwrap_or(100.0)));
        if self.lowered.until(now) < round && self.lowered > Millis::ZERO {
            return;
        }
        self.lowered = now;
        let seen = f64::from(u32::try_from(in_flight).unwrap_or(u32::MAX));
        // What was sent before the pool was known to be short is there too.
        let least = if self.listed { self.slots / 2.0 } else { 1.0 };
        self.bears = (self.bears.min(seen) * AFTER_REFUSAL).max(least);
    }

    /// The upstream failed or could not be reached.
    pub fn failed(&mut self, now: Millis) {
        if self.shut_until > now {
            return;
        }
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let pause = (FIRST_BACK_OFF << doublings).min(LONGEST_BACK_OFF);
        self.failures = self.failures.saturating_add(1);
        self.shut_until = now + Millis(pause);
    }

    /// How many permits may be out at once. Above what is borne there are as many as are under
    /// way to the upstream or back, so that no slot is free between an answer and the next
    /// request, and a few more, as answers do not come evenly. Never more than a part of the objective is waited there.
    pub fn permits(&self, objective: Millis, now: Millis) -> usize {
        if self.shut_until > now {
            return 0;
        }
        if self.failures > 0 {
            return 1;
        }
        let turnover = self.rate_per_ms() * (self.out_ms() - self.took_ms()).max(0.0);
        let queue = self.rate_per_ms() * ms(objective) * WAITS;
        let above = (turnover + self.bears.sqrt()).min(queue);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "few")]
        let permits = (self.bears + above).max(1.0) as usize;
        permits
    }

    /// How many it answers in a millisecond.
    pub fn rate_per_ms(&self) -> f64 {
        self.bears / self.took_ms().max(1.0)
    }

    /// How long an answer takes, in milliseconds.
    pub fn took_ms(&self) -> f64 {
        self.took.unwrap_or(60.0)
    }

    fn out_ms(&self) -> f64 {
        self.out.unwrap_or_else(|| self.took_ms())
    }
}

fn mean(before: Option<f64>, new: f64) -> f64 {
    before.map_or(new, |it| it + NEWEST * (new - it))
}

#[expect(clippy::cast_precision_loss, reason = "times of a request are short")]
fn ms(time: Millis) -> f64 {
    time.0 as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short, positive")]
fn whole(ms: f64) -> u64 {
    ms as u64
}
