//! Evacuated failure domains: their upstreams get no requests until the operator restores them.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;

use crate::Effect;
use crate::state::State;

impl State {
    /// Replaces the set of evacuated failure domains. Upstreams of restored domains have had no
    /// requests and may be cold.
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

    /// The evacuated failure domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(AsRef::as_ref)
    }

    /// Updates the evacuation flag of all upstreams.
    pub(crate) fn mark_evacuated(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.evacuated = self.evacuated.contains(&upstream.host.domain);
        }
    }
}
