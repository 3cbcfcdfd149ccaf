//! Time in milliseconds.
//!
//! [`Millis`] is the only time type that crosses a component's boundary.
//! Reducers get the current time as an argument; only [`Clock`], at the edge of
//! a process, reads it.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a length of time, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// The time left until `later`, zero when it has passed.
    #[must_use]
    pub fn until(self, later: Self) -> Self {
        Self(later.0.saturating_sub(self.0))
    }

    /// The same length as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// A clock that starts near the wall time of its creation and never goes back.
///
/// Differences between two readings are what has really passed, whatever happens to the wall
/// clock of the host, and also while the host was suspended: the runtime's timers do not count
/// that time. By a clock that leaves it out a router that wakes would take its configuration,
/// and keys that were taken away meanwhile, for as fresh as before.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// What the host's clock said at the start.
    started: Duration,
    wall: Millis,
}

impl Clock {
    /// A clock set from the host's wall time.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: since_boot(), wall: millis(wall) }
    }

    /// The current time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        self.wall + millis(since_boot().saturating_sub(self.started))
    }
}

/// The time since the host's start, suspension included where the host counts it.
fn since_boot() -> Duration {
    let told = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let told = told.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    told.map(Duration::from).unwrap_or_default()
}

fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Notices that the host was suspended, by the time that the runtime's timers leave out.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    clock: Clock,
    counted: Instant,
    real: Millis,
}

impl Suspension {
    /// Begins to watch.
    pub fn new(clock: Clock) -> Self {
        Self { clock, counted: Instant::now(), real: clock.now() }
    }

    /// For how long the host was suspended since this was asked last.
    pub fn take_elapsed(&mut self) -> Millis {
        let counted = millis(self.counted.elapsed());
        let slept = counted.until(self.real.until(self.clock.now()));
        *self = Self::new(self.clock);
        slept
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
