//! Finding out at a start who follows the store.

use clock::Millis;

use super::{Feed, PAUSE};

/// Over how long the routers of a fleet that starts for the first time follow the store, those
/// with the most to spare first: those that come later hear from these.
const FIRST_SPREAD: u64 = 1_000;

/// The same where callers wait already.
const HURRIED_SPREAD: u64 = 300;

impl Feed {
    /// Finds out who follows the store already. Where nobody does, or this router did in an
    /// earlier life, it does so itself.
    pub(super) async fn meet_fleet(&mut self) {
        let Some(direct) = self.core.settings.direct.clone() else { return };
        let shares = self.core.settings.routing.mechanisms.shared_looks;
        if !shares || self.core.peers().is_none() {
            return self.core.fleet().follow();
        }
        let (mut count, mut waited) = (self.announced(true).await, false);
        while count.is_none() {
            waited = true;
            tokio::time::sleep(PAUSE.duration()).await;
            count = self.announced(true).await;
        }
        // Many routers may start at the same moment, and find nobody.
        if count == Some(0) && (waited || direct.first_start) {
            count = self.wait_for_followers(direct.strength, waited).await;
        }
        let own = &self.core.settings.name;
        if count.is_none_or(|it| it == 0) || self.core.fleet().roster().is_announced(own) {
            self.core.fleet().follow();
        }
    }

    /// Waits until this router is to follow the store as long as nobody else does; returns how
    /// many do then. Where callers wait, it asks again and again meanwhile.
    async fn wait_for_followers(&mut self, strength: u32, hurries: bool) -> Option<usize> {
        let draw = placement::key("first start", &self.core.settings.name);
        let turn = if hurries {
            draw % HURRIED_SPREAD
        } else {
            draw % FIRST_SPREAD + FIRST_SPREAD / u64::from(strength.max(1))
        };
        let turn = self.core.clock.now() + Millis(turn);
        loop {
            let left = self.core.clock.now().until(turn);
            let pause = if hurries { left.min(PAUSE) } else { left };
            tokio::time::sleep(pause.duration()).await;
            let count = self.announced(true).await;
            if count != Some(0) {
                return count;
            }
            if self.core.clock.now() >= turn {
                return self.announced(false).await;
            }
        }
    }

    /// Reads who follows the store; returns how many do, or nothing where it does not answer.
    async fn announced(&mut self, old: bool) -> Option<usize> {
        match self.core.edges().store.announcements(old).await {
            Ok(announced) => {
                let count = announced.len();
                let mut roster = self.core.fleet().roster();
                for announcement in announced {
                    roster.insert(announcement);
                }
                Some(count)
            }
            Err(fault) => {
                self.failed(&fault);
                None
            }
        }
    }
}
