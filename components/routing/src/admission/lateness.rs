//! How late this router carries out its own work.
//!
//! A host without processor time to spare reads requests late and sends attempts late, whatever the
//! load at the upstreams. A probe, which passes through the same queues as the steps of an attempt,
//! measures it.

use clock::Millis;

/// Lateness by the last two probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lateness {
    /// Lateness of the last probe that ended.
    measured: Millis,
    /// When the current probe is due.
    due: Option<Millis>,
}

impl Lateness {
    /// Records the start of a probe that is due at `due`.
    pub(crate) fn start_probe(&mut self, due: Millis) {
        self.due = Some(due);
    }

    /// Records the end of the current probe.
    pub(crate) fn end_probe(&mut self, now: Millis) {
        if let Some(due) = self.due.take() {
            self.measured = due.until(now);
        }
    }

    /// The lateness of the last probe, or of the current one if it is later already.
    pub(crate) fn at(&self, now: Millis) -> Millis {
        let current = self.due.map_or(Millis::ZERO, |due| due.until(now));
        self.measured.max(current)
    }
}
