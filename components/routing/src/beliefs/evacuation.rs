//! Failure domains that the operator has left: they take nothing until that is taken back.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;

use crate::Effect;
use crate::state::State;

impl State {
    /// Takes the failure domains that are to take nothing; all others may take work. Upstreams
    /// of those that come back have had no requests and may be cold.
    pub(crate) fn set_evacuated(
        &mut self,
        domains: BTreeSet<Arc<str>>,
        now: Millis,
    ) -> Vec<Effect> {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let restored = before.difference(&self.evacuated).cloned().collect();
        self.mark_evacuated();
        self.mark_domains_cold(&restored, now);
        Vec::new()
    }

    /// The failure domains that are to take nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(AsRef::as_ref)
    }

    /// Marks the upstreams of failure domains that are to take nothing.
    pub(crate) fn mark_evacuated(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.evacuated = self.evacuated.contains(&upstream.host.domain);
        }
    }
}
