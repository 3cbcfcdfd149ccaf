//! How long requests of one priority wait in a pool of upstreams.
//!
//! Upstreams let the more urgent in first, so that each priority has waits of its own.

use clock::Millis;

use crate::beliefs::outlook::{millis_to_f64, to_f64};

/// How much the latest answer counts in the time that one takes without a queue, if it took
/// less, and if it took more: prompts that must be read first say little of it.
const FASTER: f64 = 0.2;
const SLOWER: f64 = 0.02;

/// After how long a wait counts half, in milliseconds: a few times as long as answers of the
/// sites take, so that there are some to go by, and short beside a burst of 3 to 6 s.
const HALF_LIFE_MS: f64 = 2_000.0;

/// For how many requests waited for the wait for one counts that was seen before.
const PRIOR: f64 = 20.0;

/// The waits of one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimator {
    /// The shortest objective of its requests, in milliseconds.
    objective_ms: Option<u64>,
    /// How long an answer takes to begin where nothing waits, in milliseconds.
    base_ms: Option<f64>,
    /// What was waited beyond that, in milliseconds, and for how many requests; both fade.
    waited: Waits,
    at: Millis,
    /// The wait for one request, in milliseconds, as it was when many had been seen.
    before_ms: f64,
    /// The own ones of which other routers have not been told.
    untold: (u32, u32),
}

#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    ms: f64,
    queued: f64,
}

impl Estimator {
    /// Takes the objective of a request.
    pub(crate) fn expect(&mut self, objective_ms: u64) {
        let least = self.objective_ms.map_or(objective_ms, |it| it.min(objective_ms));
        self.objective_ms = Some(least);
    }

    /// The shortest objective, in milliseconds.
    pub(crate) fn objective_ms(&self) -> Option<u64> {
        self.objective_ms
    }

    /// Takes that an answer took `took` to begin with `queued` requests before it.
    pub(crate) fn began(&mut self, took: Millis, queued: u64, now: Millis) {
        let took = millis_to_f64(took);
        let base = self.base_ms.unwrap_or(took);
        if queued == 0 {
            let part = if took < base { FASTER } else { SLOWER };
            self.base_ms = Some(base + part * (took - base));
            return;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "no request waits for weeks"
        )]
        let waited = (took - base).max(0.0) as u32;
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        self.hear(waited, queued, now);
        self.untold.0 = self.untold.0.saturating_add(waited);
        self.untold.1 = self.untold.1.saturating_add(queued);
    }

    /// Takes what was waited, by this router or by another one.
    pub(crate) fn hear(&mut self, waited_ms: u32, queued: u32, now: Millis) {
        let known = self.waits(now);
        self.waited =
            Waits { ms: known.ms + f64::from(waited_ms), queued: known.queued + f64::from(queued) };
        self.at = now;
        if self.waited.queued >= PRIOR {
            self.before_ms = self.waited.ms / self.waited.queued;
        }
    }

    /// The own waits since this was asked last, in milliseconds and requests; none without
    /// any.
    pub(crate) fn tell(&mut self) -> Option<(u32, u32)> {
        let untold = std::mem::take(&mut self.untold);
        (untold.1 > 0).then_some(untold)
    }

    /// How long an answer takes to begin where nothing waits, in milliseconds.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms.unwrap_or_default()
    }

    /// How long one more request waits for `queued` requests, in milliseconds.
    pub(crate) fn wait_ms(&self, queued: u64, now: Millis) -> f64 {
        let known = self.waits(now);
        let each = (known.ms + PRIOR * self.before_ms) / (known.queued + PRIOR);
        to_f64(queued) * each
    }

    fn waits(&self, now: Millis) -> Waits {
        let kept = 0.5_f64.powf(millis_to_f64(self.at.until(now)) / HALF_LIFE_MS);
        Waits { ms: self.waited.ms * kept, queued: self.waited.queued * kept }
    }
}
