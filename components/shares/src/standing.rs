//! How a workspace stands to its share.

use clock::Millis;
use serde::Serialize;

/// The part of its requests that a workspace may send however far it is over its share.
const LEAST: f64 = 0.4;

/// A workspace in a pool, for requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Standing {
    /// Whether it is over its share.
    pub rank: Rank,
    /// What it wants at this priority and at more urgent ones, in requests that fade.
    pub demand: f64,
    /// What of all its requests was sent.
    pub served: f64,
    /// Its share of what the pool serves.
    pub share: f64,
    /// The age of the oldest word of another router that counts, in milliseconds; none if no
    /// other router has told anything.
    pub age_ms: Option<u64>,
}

/// Where a workspace is beside its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// All that it wants is within its share.
    Below,
    /// It wants more, and so do the others: it gives way to nobody.
    #[default]
    At,
    /// Its share holds less of what it wants than the shares of all others do of what they want,
    /// by so many times.
    Over(f64),
}

impl Rank {
    /// Its name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Below => "below",
            Self::At => "at",
            Self::Over(_) => "over",
        }
    }

    /// How many times it is over; 1 if it isn't.
    pub fn excess_ratio(self) -> f64 {
        match self {
            Self::Over(times) => times.max(1.0),
            Self::Below | Self::At => 1.0,
        }
    }
}

impl Standing {
    /// The part of its requests that it may send, where waits allow it: less than 1 only while
    /// it has been served beyond its share, that is while others lack some of theirs. It gives
    /// that back `times` times, so that the others have theirs within a burst and not after it.
    pub fn admitted_ratio(&self, times: f64) -> f64 {
        if !matches!(self.rank, Rank::Over(_)) || self.served <= self.share {
            return 1.0;
        }
        (1.0 - times * (1.0 - self.share / self.served)).max(LEAST)
    }

    /// The age of what others told as a time.
    pub(crate) fn aged(mut self, age: Option<Millis>) -> Self {
        self.age_ms = age.map(|it| it.0);
        self
    }
}
