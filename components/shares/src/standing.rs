//! How a workspace's demand compares to its share.

use clock::Millis;
use serde::Serialize;

/// The smallest fraction of its requests that a workspace may send.
const MIN_ADMITTED_RATIO: f64 = 0.4;

/// A workspace's demand and share in a pool, for requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Standing {
    /// Whether the workspace is over its share.
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

/// The demand of a workspace relative to its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// The demand is within the share.
    Below,
    /// The demand exceeds the share, and the other workspaces are no better off.
    #[default]
    At,
    /// The share covers a smaller part of the demand than the shares of the other workspaces do,
    /// by this ratio.
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
    /// The fraction of its requests that the workspace may send if waits permit. Below 1 only
    /// while it is served beyond its share. The excess is reduced by `factor` times, so that the
    /// other workspaces get their shares while the burst lasts.
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
