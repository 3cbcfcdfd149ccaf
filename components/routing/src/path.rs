//! How a router reaches its upstreams, and what differs with it.

use serde::{Deserialize, Serialize};

/// How a router reaches its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Path {
    /// Through the sidecar on the upstream's host, which has the last word.
    #[default]
    Sidecar,
    /// Directly: the router knows its own requests and what answers tell.
    Direct,
}

/// What differs; each is asked for by its name, so that no other module compares paths.
impl Path {
    /// Whether upstreams' sidecars tell their status. Without them a router counts its own
    /// requests, goes by what answers and other routers tell, and keeps the bound itself.
    pub(crate) fn has_sidecars(self) -> bool {
        match self {
            Self::Sidecar => true,
            Self::Direct => false,
        }
    }

    /// Whether an upstream that is listed counts as connected: no connection to a sidecar has
    /// to stand first.
    pub(crate) fn trusts_listing(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether one broken connection is forgiven: it says little of an upstream, and much of
    /// a sidecar, whose connection is kept.
    pub(crate) fn tolerates_one_failure(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether routers follow where parts of prompts are warm; sidecars follow whole chats.
    pub(crate) fn tracks_prefixes(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether a request is ranked anew after a failed attempt. Sidecars say themselves who
    /// leaves, and send a chat back to where it has been.
    pub(crate) fn reranks_on_retry(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether a router looks for upstreams that fail in part, say nothing or have been
    /// replaced, and turns away what would be late; sidecars do so for themselves.
    pub(crate) fn monitors_upstreams(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether calls that are no chats go to the upstream with the least load; with sidecars
    /// they are ranked, so that a key stays with its owner.
    pub(crate) fn balances_calls(self) -> bool {
        !self.has_sidecars()
    }

    /// Whether hops after refusals have a budget of their own; else all that is sent again
    /// counts as a retry, as the platform counts it.
    pub(crate) fn has_hop_budget(self) -> bool {
        self.has_sidecars()
    }
}
