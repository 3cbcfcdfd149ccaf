//! What the reducers' decisions amount to.

use placement::{Bound, Pool};

use super::{CHAT_TOKENS, World};

impl World {
    pub(super) fn chat_of(&self, place: usize, call: u64) -> Option<u64> {
        let origin = self.origins.get(&(place, call))?;
        self.chats.get(&origin.id).copied()
    }

    /// Counts whether a returning chat is found in the engine's cache.
    pub(super) fn look_up(&mut self, place: usize, call: u64, weight: u64) {
        let Some(chat) = self.chat_of(place, call) else { return };
        if !self.seen.contains(&chat) {
            return;
        }
        self.outcome.returning += weight;
        let found = self.caches[place].touch(chat);
        let findable = found || self.is_findable(place, chat, weight);
        self.outcome.found += if found { weight } else { 0 };
        self.outcome.findable += if findable { weight } else { 0 };
    }

    /// Whether an engine other than `place` holds the chat and could have taken
    /// it under the bound, with the pool's true load: what a placer would do
    /// that knows everything.
    pub(super) fn is_findable(&self, place: usize, chat: u64, weight: u64) -> bool {
        let pool = self.true_pool();
        let without = Pool { load: pool.load.saturating_sub(weight), ..pool };
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        (0..self.sidecars.len()).any(|it| {
            it != place
                && !self.gone[it]
                && self.caches[it].holds(chat)
                && bound.admits(self.sidecars[it].load(), weight, without)
        })
    }

    /// Puts a chat's context into the engine's cache.
    pub(super) fn keep(&mut self, place: usize, call: u64) {
        let Some(chat) = self.chat_of(place, call) else { return };
        self.seen.insert(chat);
        let most = self.setup.cache_tokens / CHAT_TOKENS;
        self.caches[place].store(chat, usize::try_from(most).unwrap_or(usize::MAX));
    }

    pub(super) fn true_pool(&self) -> Pool {
        let living = || self.sidecars.iter().zip(&self.gone).filter(|(_, gone)| !**gone);
        let load = living().map(|(it, _)| it.load()).sum();
        Pool { load, members: u32::try_from(living().count()).unwrap_or(u32::MAX) }
    }

    /// Compares the load of a sidecar that has just admitted `weight` with the
    /// true load of the pool.
    pub(super) fn measure(&mut self, sidecar: usize, weight: u64) {
        let load = self.sidecars[sidecar].load();
        if load == weight {
            return;
        }
        let Pool { load: total, members } = self.true_pool();
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        let ceiling = bound.ceiling(Pool { load: total - weight, members }, weight);
        let over = ratio(load, ceiling);
        self.over_rule.push(over);
        self.outcome.worst_over_rule = self.outcome.worst_over_rule.max(over);
        if total / u64::from(members) > bound.floor {
            let skew = ratio(load * u64::from(members), total);
            self.outcome.worst_skew = self.outcome.worst_skew.max(skew);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
fn ratio(one: u64, other: u64) -> f64 {
    one as f64 / other.max(1) as f64
}
