//! How much looks at the platform's store ask for.

use clock::Millis;
use spdlog::info;

/// The length of an answer, in bytes, from which on looks ask for less. A look brings
/// every configuration since the last one whole: on a grown site 1.4 MB, 1.2 s over
/// the 10 Mbit/s of its thinnest hosts. The newest one alone has a tenth of that.
const LONG: usize = 512 * 1024;

/// How long looks then ask for less; a storm of configurations lasts 4 s there.
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

    /// Has looks ask for less for a while after one that brought `bytes`. Returns
    /// whether that time is over: everything is to be read once then.
    pub(crate) fn take(&mut self, bytes: usize, now: Millis) -> bool {
        match self.until {
            None if bytes >= LONG => {
                info!("looks at the store ask for less", kv: { bytes });
                self.until = Some(now + LESS_FOR);
                false
            }
            Some(until) if now >= until => {
                info!("looks at the store ask for all again");
                self.until = None;
                true
            }
            _ => false,
        }
    }
}
