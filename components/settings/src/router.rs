//! Settings of `silverstack-router`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::{address, base, bound, key, name, positive};
use crate::{Check, Error};

/// The settings of a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// The router's name; part of every request id.
    pub name: Arc<str>,
    /// Where callers connect: IP number and port.
    pub listen: Arc<str>,
    /// The key that all processes of the fleet share.
    pub link_key: Arc<str>,
    /// The platform's list of hosts.
    pub hosts_url: Arc<str>,
    /// The platform's key-value service; without it, a call that may not be
    /// repeated needs a key from this fleet.
    #[serde(default)]
    pub store_url: Option<Arc<str>>,
    /// The file of the routing intents.
    pub intents: Arc<str>,
    /// How often the list of hosts is read, in milliseconds.
    #[serde(default = "defaults::hosts_every_ms")]
    pub hosts_every_ms: u64,
    /// The largest request body, in bytes.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
    /// How long a request body may take to come, in milliseconds.
    #[serde(default = "defaults::body_ms")]
    pub body_ms: u64,
    /// How long a link may take to stand, in milliseconds.
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// How long `/readyz` says no before a planned stop refuses new requests,
    /// in milliseconds.
    #[serde(default = "defaults::drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// The collector of traces, such as `http://127.0.0.1:4318`; no spans are
    /// made without one.
    #[serde(default)]
    pub traces_url: Option<Arc<str>>,
    /// The decisions' settings.
    #[serde(default)]
    pub routing: routing::Settings,
    /// The router's own failure domain, if it is known.
    #[serde(default)]
    pub domain: Arc<str>,
    /// Set where a platform's adapter makes the settings: upstreams are reached
    /// directly, and the platform's store takes the place of the list of hosts
    /// and of the file of the intents.
    #[serde(skip)]
    pub direct: Option<Direct>,
}

/// The settings of a router without sidecars.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Direct {
    /// Where operators and the platform ask for `/metrics` and whether the
    /// router is ready: IP number and port.
    pub admin: Arc<str>,
    /// Where hints of other routers come in: IP number and UDP port. Without it
    /// the router neither takes nor gives any.
    pub hints: Option<Arc<str>>,
    /// How long to wait between two looks at the platform's store, in
    /// milliseconds.
    pub poll_interval_ms: u64,
    /// How old the proof may get of what a router hears from others, in milliseconds.
    pub confirmation_ttl_ms: u64,
    /// How much the host has to spare for other routers; only the order among hosts counts.
    pub strength: u32,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

impl Router {
    /// The settings of a router that reaches its upstreams directly.
    pub fn direct(name: &Arc<str>, listen: &Arc<str>, domain: &Arc<str>, direct: Direct) -> Self {
        Self {
            name: name.clone(),
            listen: listen.clone(),
            link_key: Arc::default(),
            hosts_url: Arc::default(),
            store_url: None,
            intents: Arc::default(),
            hosts_every_ms: defaults::hosts_every_ms(),
            body_bytes: defaults::body_bytes(),
            body_ms: defaults::body_ms(),
            connect_ms: defaults::connect_ms(),
            drain_ms: defaults::drain_ms(),
            drain_notice_ms: defaults::drain_notice_ms(),
            traces_url: None,
            routing: routing::Settings::default(),
            domain: domain.clone(),
            direct: Some(direct),
        }
    }
}

mod defaults {
    pub(super) fn hosts_every_ms() -> u64 {
        500
    }

    pub(super) fn body_bytes() -> usize {
        1024 * 1024
    }

    pub(super) fn body_ms() -> u64 {
        10_000
    }

    pub(super) fn connect_ms() -> u64 {
        500
    }

    pub(super) fn drain_ms() -> u64 {
        60_000
    }

    pub(super) fn drain_notice_ms() -> u64 {
        1_000
    }
}

/// The largest request body that a frame of the link has room for, in bytes.
const MAX_BODY: usize = 1024 * 1024;

impl Check for Router {
    fn check(&self) -> Result<(), Error> {
        name("name", &self.name)?;
        address("listen", &self.listen)?;
        key("link_key", &self.link_key)?;
        base("hosts_url", &self.hosts_url)?;
        if let Some(url) = &self.store_url {
            base("store_url", url)?;
        }
        if let Some(url) = &self.traces_url {
            base("traces_url", url)?;
        }
        positive("hosts_every_ms", self.hosts_every_ms)?;
        positive("body_bytes", self.body_bytes as u64)?;
        let fits = self.body_bytes <= MAX_BODY;
        crate::check::rule(fits, "body_bytes", self.body_bytes, "at most 1048576")?;
        positive("body_ms", self.body_ms)?;
        positive("connect_ms", self.connect_ms)?;
        bound("routing.bound", &self.routing.bound)?;
        for weight in self.routing.weights.values() {
            let holds = weight.is_finite() && *weight > 0.0;
            crate::check::rule(holds, "routing.weights", weight, "a number above 0")?;
        }
        let gives_back = self.routing.gives_back;
        let holds = (0.0..=10.0).contains(&gives_back);
        crate::check::rule(holds, "routing.gives_back", gives_back, "a number of 0 to 10")?;
        positive("routing.quarantine_ends", self.routing.quarantine_ends as u64)?;
        positive("routing.max_attempts", u64::from(self.routing.max_attempts))
    }
}
