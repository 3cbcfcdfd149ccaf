//! A planned stop: which requests are still taken.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;

use crate::Effect;
use crate::state::State;

/// How much of the longest answer seen lately, in hundredths, a request of its kind is
/// given, as the next one may be longer than all of them. In 144 days of faults that were
/// played no stop cut more requests than it may.
const ROOM_HUNDREDTHS: u64 = 150;

/// How much of the longest answer is kept with each further one, in thousandths, so
/// that it is the longest of the last few hundred.
const KEPT_THOUSANDTHS: u64 = 998;

/// For how many times the time that is left answers must have been seen for the longest of them
/// to count. One that lasts longer than they have been looked at can't be among them: a router
/// that was stopped a second after the first traffic took a stream of 4.9 s 4.4 s before its end.
const LOOKED_TIMES: u64 = 2;

/// The answers of one kind of request.
#[derive(Clone, Copy, Debug)]
struct Answers {
    /// The longest of the last few hundred.
    longest: Millis,
    /// When the first of them began.
    since: Millis,
}

/// How long answers take, by kind of request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durations {
    answers: HashMap<Arc<str>, Answers>,
}

impl Durations {
    /// Takes a whole answer to a request that came at `came` and ended at `ended`.
    pub(crate) fn record(&mut self, kind: &Arc<str>, came: Millis, ended: Millis) {
        let took = came.until(ended);
        if let Some(answers) = self.answers.get_mut(kind) {
            answers.longest = took.max(Millis(answers.longest.0 * KEPT_THOUSANDTHS / 1_000));
            return;
        }
        self.answers.insert(kind.clone(), Answers { longest: took, since: came });
    }

    /// How long a request of `kind` may take that comes `left` before the end; none if too
    /// little has been seen to say so.
    fn expected(&self, kind: &str, left: Millis, now: Millis) -> Option<Millis> {
        let answers = self.answers.get(kind)?;
        let looked = answers.since.until(now);
        let enough = looked.0 >= left.0 * LOOKED_TIMES;
        enough.then_some(Millis(answers.longest.0 * ROOM_HUNDREDTHS / 100))
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drain {
    /// Requests are taken that will have ended by then.
    Draining { until: Millis },
    /// Nothing is in flight any more, and nothing is taken.
    Drained,
}

impl State {
    /// Whether a request of `kind` with `deadline` from now may be taken. While this
    /// router stops, those are that will be answered in time: on a day on which four
    /// routers were stopped in turn, 168 requests were refused and had to come back.
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

    /// Takes only requests that will have ended by `until`; those under way are
    /// finished.
    pub(crate) fn drain(&mut self, until: Millis) -> Vec<Effect> {
        self.drain = Some(Drain::Draining { until });
        self.finish_drain().into_iter().collect()
    }

    /// The end of a planned stop, once nothing is in flight.
    pub(crate) fn finish_drain(&mut self) -> Option<Effect> {
        let drains = matches!(self.drain, Some(Drain::Draining { .. }));
        if !drains || !self.requests.is_empty() {
            return None;
        }
        self.drain = Some(Drain::Drained);
        Some(Effect::Drained)
    }
}
