//! Patterns of load, by name.

use clock::Millis;

/// Requests a second of the usual traffic; the engines complete about 90 when all their
/// slots are taken.
const USUAL: f64 = 40.0;

/// When the load begins, and when it is over.
const BEGINS: Millis = Millis(4_000);
const ENDS: Millis = Millis(10_000);

/// A pattern of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// The usual traffic.
    Calm,
    /// Four times the usual traffic for six seconds.
    Surge,
    /// Three times the usual traffic for six seconds, and half of the engines are gone
    /// meanwhile.
    EnginesLost,
    /// One engine in three takes five times as long, at one and a half times the usual
    /// traffic.
    SlowEngines,
    /// Twice the usual traffic, while requests that run take the memory of parts, so that
    /// engines drop parts that routers believe to be there.
    ShortMemory,
    /// The same, and engines do not tell how many requests they work on at once.
    ShortMemoryUntold,
}

impl Pattern {
    /// Every pattern.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::Surge,
        Self::EnginesLost,
        Self::SlowEngines,
        Self::ShortMemory,
        Self::ShortMemoryUntold,
    ];

    /// The name on a command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Surge => "surge",
            Self::EnginesLost => "engines-lost",
            Self::SlowEngines => "slow-engines",
            Self::ShortMemory => "short-memory",
            Self::ShortMemoryUntold => "short-memory-untold",
        }
    }

    /// The pattern of that name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.name() == name)
    }

    /// Requests a second at `now`.
    pub(crate) fn rate(self, now: Millis) -> f64 {
        let times = match self {
            _ if !under_load(now) => 1.0,
            Self::Calm => 1.0,
            Self::Surge => 4.0,
            Self::EnginesLost => 3.0,
            Self::SlowEngines => 1.5,
            Self::ShortMemory | Self::ShortMemoryUntold => 2.0,
        };
        times * USUAL
    }

    /// Whether engine number `engine` is gone at `now`.
    pub(crate) fn is_gone(self, engine: usize, now: Millis) -> bool {
        self == Self::EnginesLost && under_load(now) && engine.is_multiple_of(2)
    }

    /// How many times as long as usual engine number `engine` takes at `now`.
    pub(crate) fn slowness(self, engine: usize, now: Millis) -> f64 {
        let slow = self == Self::SlowEngines && under_load(now) && engine.is_multiple_of(3);
        if slow { 5.0 } else { 1.0 }
    }

    /// Whether requests that run take the memory of parts.
    pub(crate) fn is_short_of_memory(self) -> bool {
        matches!(self, Self::ShortMemory | Self::ShortMemoryUntold)
    }

    /// Whether engines tell how many requests they work on at once.
    pub(crate) fn tells_slots(self) -> bool {
        self == Self::ShortMemory
    }

    /// When engines come or go.
    pub(crate) fn changes(self) -> Vec<Millis> {
        if self == Self::EnginesLost { vec![BEGINS, ENDS] } else { Vec::new() }
    }
}

fn under_load(now: Millis) -> bool {
    (BEGINS..ENDS).contains(&now)
}
