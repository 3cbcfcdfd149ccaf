//! Time in milliseconds.
//!
//! [`Millis`] is the only time type that crosses a component's boundary.
//! Reducers get the current time as an argument; only [`Clock`], at the edge of
//! a process, reads it.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// A monotonic clock that starts near the wall time of its creation.
///
/// Differences between two readings never go back, whatever happens to the
/// wall clock of the host.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    wall: Millis,
}

impl Clock {
    /// A clock set from the host's wall time.
    pub fn new() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        Self { started: Instant::now(), wall: Millis(wall) }
    }

    /// The current time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        let passed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.wall + Millis(passed)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
