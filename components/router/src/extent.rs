//! How much looks at the platform's store ask for.

use clock::Millis;
use spdlog::info;

/// How long looks ask for less after a history that was too long for one; a storm of
/// configurations lasts 4 s there.
const LESS_FOR: Millis = Millis(6_000);

/// Whether looks ask for all that has changed, or for less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Extent {
    /// Until when looks ask for less; `None` if they ask for all.
    until: Option<Millis>,
}

impl Extent {
    /// Whether looks ask for less.
    pub(crate) fn is_narrow(self) -> bool {
        self.until.is_some()
    }

    /// Has looks ask for less for a while, as the history since the last one is long.
    pub(crate) fn narrow(&mut self, now: Millis) {
        info!("looks at the store ask for less");
        self.until = Some(now + LESS_FOR);
    }

    /// Whether that time is over just now: everything is to be read once then.
    pub(crate) fn ends(&mut self, now: Millis) -> bool {
        let ends = self.until.take_if(|it| *it <= now).is_some();
        if ends {
            info!("looks at the store ask for all again");
        }
        ends
    }
}
