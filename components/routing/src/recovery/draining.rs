//! Draining: which requests are still accepted before a planned stop.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;

use crate::Effect;
use crate::state::State;

/// Expected duration of an answer as a percentage of the longest recent one. The next answer may be
/// longer than all of them.
const DURATION_MARGIN_PERCENT: u64 = 150;

/// Factor by which the longest duration decays with each further answer, in thousandths. The
/// longest duration is thus that of the last few hundred answers.
const DECAY_PER_MILLE: u64 = 998;

/// How long answers of a kind must have been observed before their longest duration counts, as a
/// multiple of the time that is left. Shorter observation misses the long answers.
const MIN_OBSERVED_MULTIPLE: u64 = 2;

/// Observed answers to one kind of request.
#[derive(Clone, Copy, Debug)]
struct Answers {
    /// The longest duration, which decays with each further answer.
    longest: Millis,
    /// When the first answered request arrived.
    since: Millis,
}

/// Durations of answers by kind of request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durations {
    answers: HashMap<Arc<str>, Answers>,
}

impl Durations {
    /// Records a complete answer to a request that arrived at `arrived` and ended at `ended`.
    pub(crate) fn record(&mut self, kind: &Arc<str>, arrived: Millis, ended: Millis) {
        let duration = arrived.until(ended);
        if let Some(answers) = self.answers.get_mut(kind) {
            answers.longest = duration.max(Millis(answers.longest.0 * DECAY_PER_MILLE / 1_000));
            return;
        }
        self.answers.insert(kind.clone(), Answers { longest: duration, since: arrived });
    }

    /// The expected duration of a request of `kind` that arrives `remaining` before the end of the
    /// drain; `None` if too little has been observed.
    fn expected(&self, kind: &str, remaining: Millis, now: Millis) -> Option<Millis> {
        let answers = self.answers.get(kind)?;
        let observed = answers.since.until(now);
        let is_enough = observed.0 >= remaining.0 * MIN_OBSERVED_MULTIPLE;
        is_enough.then_some(Millis(answers.longest.0 * DURATION_MARGIN_PERCENT / 100))
    }
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drain {
    /// Requests that are expected to end by `until` are accepted.
    Draining { until: Millis },
    /// No request is in flight, and none is accepted.
    Drained,
}

impl State {
    /// Whether a request of `kind` that may take up to `deadline` is accepted. While this router
    /// drains, the request must be expected to end in time.
    pub(crate) fn has_time_for(&self, kind: &str, deadline: Millis, now: Millis) -> bool {
        match self.drain {
            None => true,
            Some(Drain::Drained) => false,
            Some(Drain::Draining { .. }) if !self.settings.mechanisms.late_takes => false,
            Some(Drain::Draining { until }) => {
                let expected = self.durations.expected(kind, now.until(until), now);
                let expected = expected.unwrap_or(deadline);
                now + expected.min(deadline) <= until
            }
        }
    }

    /// Begins a drain that ends at `until`; requests in flight are finished.
    pub(crate) fn drain(&mut self, until: Millis) -> Vec<Effect> {
        self.drain = Some(Drain::Draining { until });
        self.finish_drain().into_iter().collect()
    }

    /// Ends a drain once no request is in flight.
    pub(crate) fn finish_drain(&mut self) -> Option<Effect> {
        let is_draining = matches!(self.drain, Some(Drain::Draining { .. }));
        if !is_draining || !self.requests.is_empty() {
            return None;
        }
        self.drain = Some(Drain::Drained);
        Some(Effect::Drained)
    }
}
