//! Draining: which requests are still accepted before a planned stop, and how the others end.

use clock::Millis;
use errors::Kind;

use crate::Effect;
use crate::requests::request::Phase;
use crate::state::State;

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drain {
    /// Requests whose deadline is not after `until` are accepted.
    Draining { until: Millis },
    /// No request is in flight, and none is accepted.
    Drained,
}

impl State {
    /// Whether a request that may take up to `duration` is accepted. While this router drains, the
    /// request's deadline must pass before the end: durations of earlier answers don't bound it.
    pub(crate) fn has_time_for(&self, duration: Millis, now: Millis) -> bool {
        match self.drain {
            None => true,
            Some(Drain::Drained) => false,
            Some(Drain::Draining { until }) => {
                self.settings.mechanisms.late_takes && now + duration <= until
            }
        }
    }

    /// Begins a drain that ends at `until`; requests in flight are finished.
    pub(crate) fn drain(&mut self, until: Millis) -> Vec<Effect> {
        self.drain = Some(Drain::Draining { until });
        self.finish_drain().into_iter().collect()
    }

    /// Ends a request that is unfinished at the end of the drain, so that its caller gets an answer
    /// before the process is gone.
    pub(crate) fn interrupt(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding | Phase::Postponed | Phase::Claiming | Phase::Locating => Kind::Draining,
            Phase::Sent | Phase::Admitted => Kind::Interrupted,
            Phase::Answering { .. } => Kind::InterruptedRunning,
        };
        self.cancel_and_fail(id, kind, now)
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
