//! Decides at startup whether this router polls the store.

use clock::Millis;

use super::{Feed, RETRY_INTERVAL};

/// Spread of the routers' turns to become pollers in a new fleet; stronger routers have an earlier
/// minimum. Later routers subscribe to earlier ones.
const FIRST_SPREAD_MS: u64 = 1_000;

/// Spread of the turns after the store was unreachable at startup, whatever the strength.
const RECOVERY_SPREAD_MS: u64 = 300;

impl Feed {
    /// Looks up the current pollers. Becomes one if there is none, or if this router was one before
    /// its restart.
    pub(super) async fn choose_role(&mut self) {
        let Some(direct) = self.core.settings.direct.clone() else { return };
        let is_shared = self.core.settings.routing.mechanisms.shared_looks;
        if !is_shared || self.core.peers().is_none() {
            return self.core.fleet().become_poller();
        }
        let (mut count, mut waited) = (self.read_announcements(true).await, false);
        while count.is_none() {
            waited = true;
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
            count = self.read_announcements(true).await;
        }
        // Routers that start at the same time don't see each other yet.
        if count == Some(0) && (waited || direct.first_start) {
            count = self.wait_for_pollers(direct.strength, waited).await;
        }
        let own = &self.core.settings.name;
        if count.is_none_or(|count| count == 0) || self.core.fleet().roster().is_announced(own) {
            self.core.fleet().become_poller();
        }
    }

    /// Waits for this router's turn to become a poller; returns how many pollers there are then.
    /// Checks for pollers repeatedly meanwhile if the store was unreachable at startup.
    async fn wait_for_pollers(&mut self, strength: u32, was_unreachable: bool) -> Option<usize> {
        let hash = placement::key("first start", &self.core.settings.name);
        let turn = if was_unreachable {
            hash % RECOVERY_SPREAD_MS
        } else {
            hash % FIRST_SPREAD_MS + FIRST_SPREAD_MS / u64::from(strength.max(1))
        };
        let turn = self.core.clock.now() + Millis(turn);
        loop {
            let left = self.core.clock.now().until(turn);
            let pause = if was_unreachable { left.min(RETRY_INTERVAL) } else { left };
            tokio::time::sleep(pause.duration()).await;
            let count = self.read_announcements(true).await;
            if count != Some(0) {
                return count;
            }
            if self.core.clock.now() >= turn {
                return self.read_announcements(false).await;
            }
        }
    }

    /// Reads the announced pollers; returns their number, or `None` if the store does not answer.
    async fn read_announcements(&mut self, allow_stale: bool) -> Option<usize> {
        match self.core.edges().store.announcements(allow_stale).await {
            Ok(announced) => {
                let count = announced.len();
                let mut roster = self.core.fleet().roster();
                for announcement in announced {
                    roster.insert(announcement);
                }
                Some(count)
            }
            Err(error) => {
                self.record_failure(&error);
                None
            }
        }
    }
}
