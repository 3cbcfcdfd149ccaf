//! How a workspace's demand compares to its share.

use clock::Millis;
use serde::Serialize;

/// The smallest fraction of its requests that a workspace may send.
const MIN_ADMITTED_RATIO: f64 = 0.4;

/// A workspace's demand and share in a pool, for requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Standing {
    /// The demand relative to the share and to other workspaces.
    pub rank: Rank,
    /// Its demand at this and more urgent priorities, as a decaying count of requests.
    pub demand: f64,
    /// Its requests sent to the pool, at all priorities.
    pub served: f64,
    /// Its share of the requests that the pool serves.
    pub share: f64,
    /// The age of the oldest summary in use, in milliseconds; `None` without summaries.
    pub age_ms: Option<u64>,
}

/// The demand of a workspace relative to its share and to other workspaces. A workspace is over
/// its share if it is ranked [`Rank::Over`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// The share covers the demand.
    Below,
    /// The demand exceeds the share, but no more than that of other workspaces, or it is too small
    /// to compare.
    #[default]
    At,
    /// The share covers a smaller part of the demand than the shares of other workspaces do. The
    /// value is the ratio of the two parts, above 1.
    Over(f64),
}

impl Rank {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Below => "below",
            Self::At => "at",
            Self::Over(_) => "over",
        }
    }

    /// The ratio by which the workspace is over its share, 1 if it is not.
    pub fn excess_ratio(self) -> f64 {
        match self {
            Self::Over(ratio) => ratio.max(1.0),
            Self::Below | Self::At => 1.0,
        }
    }
}

impl Standing {
    /// The fraction of the workspace's requests to admit. Below 1 only while it is over its share
    /// and served beyond it: the fraction served beyond the share is subtracted `factor` times,
    /// down to a lower bound.
    pub fn admitted_ratio(&self, factor: f64) -> f64 {
        if !matches!(self.rank, Rank::Over(_)) || self.served <= self.share {
            return 1.0;
        }
        (1.0 - factor * (1.0 - self.share / self.served)).max(MIN_ADMITTED_RATIO)
    }

    /// Sets the age of the oldest summary.
    pub(crate) fn with_age(mut self, age: Option<Millis>) -> Self {
        self.age_ms = age.map(|age| age.0);
        self
    }
}
