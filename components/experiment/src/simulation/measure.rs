//! Measurements of a simulation.

use placement::{Bound, Pool};

use super::{CHAT_TOKENS, Simulation};

impl Simulation {
    pub(super) fn chat_of(&self, sidecar: usize, call: u64) -> Option<u64> {
        let origin = self.origins.get(&(sidecar, call))?;
        self.chats.get(&origin.id).copied()
    }

    /// Records whether the context of a returning chat is in the engine's cache.
    pub(super) fn record_lookup(&mut self, sidecar: usize, call: u64, weight: u64) {
        let Some(chat) = self.chat_of(sidecar, call) else { return };
        if !self.seen_chats.contains(&chat) {
            return;
        }
        self.outcome.returning += weight;
        let found = self.caches[sidecar].touch(chat);
        let findable = found || self.is_findable(sidecar, chat, weight);
        self.outcome.found += if found { weight } else { 0 };
        self.outcome.findable += if findable { weight } else { 0 };
    }

    /// Returns whether an engine other than that of `sidecar` has the chat in its
    /// cache and could have admitted the request under the bound, with the true
    /// load of the pool.
    pub(super) fn is_findable(&self, sidecar: usize, chat: u64, weight: u64) -> bool {
        let pool = self.true_pool();
        let without = Pool { load: pool.load.saturating_sub(weight), ..pool };
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        (0..self.sidecars.len()).any(|other| {
            other != sidecar
                && !self.down[other]
                && self.caches[other].contains(chat)
                && bound.admits(self.sidecars[other].load(), weight, without)
        })
    }

    /// Stores the context of a chat in the engine's cache.
    pub(super) fn store_context(&mut self, sidecar: usize, call: u64) {
        let Some(chat) = self.chat_of(sidecar, call) else { return };
        self.seen_chats.insert(chat);
        let capacity = self.setup.cache_tokens / CHAT_TOKENS;
        self.caches[sidecar].store(chat, usize::try_from(capacity).unwrap_or(usize::MAX));
    }

    pub(super) fn true_pool(&self) -> Pool {
        let up = || self.sidecars.iter().zip(&self.down).filter(|(_, down)| !**down);
        let load = up().map(|(sidecar, _)| sidecar.load()).sum();
        Pool { load, members: u32::try_from(up().count()).unwrap_or(u32::MAX) }
    }

    /// Compares the load of a sidecar just after it admitted `weight` with the true
    /// load of the pool.
    pub(super) fn measure(&mut self, sidecar: usize, weight: u64) {
        let load = self.sidecars[sidecar].load();
        if load == weight {
            return;
        }
        let Pool { load: total, members } = self.true_pool();
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        let ceiling = bound.ceiling(Pool { load: total - weight, members }, weight);
        let ceiling_ratio = ratio(load, ceiling);
        self.ceiling_ratios.push(ceiling_ratio);
        self.outcome.worst_over_rule = self.outcome.worst_over_rule.max(ceiling_ratio);
        if total / u64::from(members) > bound.floor {
            let skew = ratio(load * u64::from(members), total);
            self.outcome.worst_skew = self.outcome.worst_skew.max(skew);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
fn ratio(dividend: u64, divisor: u64) -> f64 {
    dividend as f64 / divisor.max(1) as f64
}
