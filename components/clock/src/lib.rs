//! Time in milliseconds.
//!
//! [`Millis`] is the time type of all interfaces between components. Reducers get the
//! current time as an argument; only [`Clock`] reads it from the host.

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
    /// The zero duration.
    pub const ZERO: Self = Self(0);

    /// The time from `self` to `later`, zero if `later` is in the past.
    #[must_use]
    pub fn until(self, later: Self) -> Self {
        Self(later.0.saturating_sub(self.0))
    }

    /// Converts to a [`Duration`].
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

/// A monotonic clock that starts at the wall time of its creation.
///
/// Changes of the host's wall clock don't affect it. Unlike the runtime's timers, it counts
/// time during which the host was suspended, so that after a resume a router recognizes
/// its configuration, which may hold revoked keys, as outdated.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time since boot at the clock's creation.
    started: Duration,
    wall_start: Millis,
}

impl Clock {
    /// Creates a clock set to the host's wall time.
    pub fn new() -> Self {
        let wall_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: since_boot(), wall_start: millis(wall_start) }
    }

    /// The current time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        self.wall_start + millis(since_boot().saturating_sub(self.started))
    }
}

/// The time since the host's boot, including suspension where the host supports it.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map(Duration::from).unwrap_or_default()
}

fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Detects suspensions of the host by the time that the runtime's timers don't count.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    clock: Clock,
    runtime_time: Instant,
    clock_time: Millis,
}

impl Suspension {
    /// Starts detecting at the current time.
    pub fn new(clock: Clock) -> Self {
        Self { clock, runtime_time: Instant::now(), clock_time: clock.now() }
    }

    /// Returns how long the host was suspended since the last call or the creation.
    pub fn take_elapsed(&mut self) -> Millis {
        let runtime_time = millis(self.runtime_time.elapsed());
        let suspended = runtime_time.until(self.clock_time.until(self.clock.now()));
        *self = Self::new(self.clock);
        suspended
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
