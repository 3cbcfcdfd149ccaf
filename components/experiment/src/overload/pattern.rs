//! Named patterns of load.

use clock::Millis;

/// The usual traffic, in requests per second.
const USUAL_RATE: f64 = 40.0;

/// The start and the end of the overload.
const OVERLOAD_START: Millis = Millis(4_000);
const OVERLOAD_END: Millis = Millis(10_000);

/// A pattern of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// The usual traffic.
    Calm,
    /// Four times the usual traffic for six seconds.
    Surge,
    /// Three times the usual traffic for six seconds, while half of the engines are down.
    EnginesLost,
    /// One and a half times the usual traffic, while one engine in three is five times
    /// slower.
    SlowEngines,
    /// Twice the usual traffic, while running requests reduce the cache, so that engines
    /// evict prefixes that the routers assume to be cached.
    ShortMemory,
    /// The same, with engines that do not publish their number of slots.
    ShortMemoryHiddenSlots,
}

impl Pattern {
    /// Every pattern.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::Surge,
        Self::EnginesLost,
        Self::SlowEngines,
        Self::ShortMemory,
        Self::ShortMemoryHiddenSlots,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Surge => "surge",
            Self::EnginesLost => "engines-lost",
            Self::SlowEngines => "slow-engines",
            Self::ShortMemory => "short-memory",
            Self::ShortMemoryHiddenSlots => "short-memory-untold",
        }
    }

    /// Returns the pattern with the given name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|pattern| pattern.name() == name)
    }

    /// Returns the requests per second at `now`.
    pub(crate) fn rate(self, now: Millis) -> f64 {
        let factor = match self {
            _ if !is_overload(now) => 1.0,
            Self::Calm => 1.0,
            Self::Surge => 4.0,
            Self::EnginesLost => 3.0,
            Self::SlowEngines => 1.5,
            Self::ShortMemory | Self::ShortMemoryHiddenSlots => 2.0,
        };
        factor * USUAL_RATE
    }

    /// Returns whether `engine` is down at `now`.
    pub(crate) fn is_down(self, engine: usize, now: Millis) -> bool {
        self == Self::EnginesLost && is_overload(now) && engine.is_multiple_of(2)
    }

    /// Returns the factor by which steps of `engine` take longer at `now`.
    pub(crate) fn step_factor(self, engine: usize, now: Millis) -> f64 {
        let slow = self == Self::SlowEngines && is_overload(now) && engine.is_multiple_of(3);
        if slow { 5.0 } else { 1.0 }
    }

    /// Returns whether running requests reduce the cache.
    pub(crate) fn has_short_memory(self) -> bool {
        matches!(self, Self::ShortMemory | Self::ShortMemoryHiddenSlots)
    }

    /// Returns whether engines publish their number of slots.
    pub(crate) fn publishes_slots(self) -> bool {
        self == Self::ShortMemory
    }

    /// Returns the times at which engines start or stop.
    pub(crate) fn engine_changes(self) -> Vec<Millis> {
        if self == Self::EnginesLost { vec![OVERLOAD_START, OVERLOAD_END] } else { Vec::new() }
    }
}

fn is_overload(now: Millis) -> bool {
    (OVERLOAD_START..OVERLOAD_END).contains(&now)
}
