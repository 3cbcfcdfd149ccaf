//! How much of the history a watch of the platform's store asks for.

use clock::Millis;
use spdlog::info;

/// How long watches stay reduced after a long history.
const REDUCED_DURATION: Millis = Millis(6_000);

/// Whether watches ask for all changes or only for a part of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WatchScope {
    /// When watches return to full scope; `None` if they have it.
    until: Option<Millis>,
}

impl WatchScope {
    pub(crate) fn is_reduced(self) -> bool {
        self.until.is_some()
    }

    /// Reduces the scope for a while, since the history after the last poll is long.
    pub(crate) fn reduce(&mut self, now: Millis) {
        info!("store polls are reduced");
        self.until = Some(now + REDUCED_DURATION);
    }

    /// Widens the scope again when that is due; returns whether it did. The caller then
    /// reads everything once.
    pub(crate) fn widen_if_due(&mut self, now: Millis) -> bool {
        let is_due = self.until.take_if(|until| *until <= now).is_some();
        if is_due {
            info!("store polls are complete again");
        }
        is_due
    }
}
