//! How a router reaches its upstreams.

use serde::{Deserialize, Serialize};

/// How a router reaches its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Path {
    /// Through the sidecar on the upstream's host, which makes the final admission decision.
    #[default]
    Sidecar,
    /// Directly: the router knows only its own requests and what answers and other routers report.
    Direct,
}

/// Differences between paths, as predicates, so that other modules do not compare variants.
impl Path {
    /// Whether sidecars report the status of upstreams. Otherwise a router counts its own requests,
    /// uses loads reported in answers and by other routers, and enforces the load bound itself.
    pub(crate) fn has_sidecars(self) -> bool {
        match self {
            Self::Sidecar => true,
            Self::Direct => false,
        }
    }

    /// Whether a listed upstream counts as connected without a connection to its sidecar.
    pub(crate) fn trusts_listing(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether a single broken connection is tolerated. A broken connection to a sidecar, which is
    /// long-lived, is a stronger sign of a failure.
    pub(crate) fn tolerates_one_failure(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether routers track cached prompt prefixes; sidecars track whole chats instead.
    pub(crate) fn tracks_prefixes(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether candidates are ranked again after a failed attempt. Sidecars report leaving
    /// upstreams themselves and redirect a chat to its context.
    pub(crate) fn reranks_on_retry(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether routers detect failing, silent and replaced upstreams and reject requests that would
    /// be late; sidecars do so for themselves.
    pub(crate) fn monitors_upstreams(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether requests outside chats go to the least loaded upstream. With sidecars they are
    /// ranked, so that a key stays with its owner.
    pub(crate) fn balances_calls(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether retries after refusals have a separate budget; otherwise they count as retries, as
    /// the platform counts them.
    pub(crate) fn has_hop_budget(self) -> bool {
        self.has_sidecars()
    }
}
