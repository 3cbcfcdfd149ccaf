//! Settings of `silverstack-router`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::{
    check_address, check_base_url, check_bound, check_key, check_name, check_positive,
};
use crate::{Check, Error, Resources, resources};

/// The settings of a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// The router's name; part of every request id.
    pub name: Arc<str>,
    /// The address for callers: IP address and port.
    pub listen: Arc<str>,
    /// The key that all processes of the fleet share.
    pub link_key: Arc<str>,
    /// The URL of the platform's list of hosts.
    pub hosts_url: Arc<str>,
    /// The URL of the platform's key-value service, which assigns owners to
    /// idempotency keys that callers choose. Without one, only keys that the fleet
    /// generated are accepted.
    #[serde(default)]
    pub store_url: Option<Arc<str>>,
    /// The path of the file with the routing intents.
    pub intents: Arc<str>,
    /// The time between two reads of the list of hosts, in milliseconds.
    #[serde(default = "defaults::hosts_every_ms")]
    pub hosts_every_ms: u64,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
    /// The time limit for receiving a request body, in milliseconds.
    #[serde(default = "defaults::body_ms")]
    pub body_ms: u64,
    /// The memory of the host that the process may use, in MB.
    #[serde(default = "resources::default_memory_mb")]
    pub memory_mb: u64,
    /// The descriptors that the process may have open.
    #[serde(default = "resources::default_descriptors")]
    pub descriptors: usize,
    /// The time limit for establishing a link, in milliseconds.
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    /// The time limit for requests in flight during a planned stop, in milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// How long `/readyz` fails before a planned stop refuses new requests, in
    /// milliseconds.
    #[serde(default = "defaults::drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// The URL of the trace collector, such as `http://127.0.0.1:4318`; without one, no spans
    /// are recorded.
    #[serde(default)]
    pub traces_url: Option<Arc<str>>,
    /// Settings of routing decisions.
    #[serde(default)]
    pub routing: routing::Settings,
    /// The router's own failure domain, if it is known.
    #[serde(default)]
    pub domain: Arc<str>,
    /// Set by the adapter of a platform: upstreams are then reached directly, and
    /// the platform's store replaces the list of hosts and the file with the
    /// intents.
    #[serde(skip)]
    pub direct: Option<Direct>,
}

/// The settings of a router on a platform, which reaches upstreams without sidecars.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Direct {
    /// The address for `/metrics` and readiness checks: IP address and port.
    pub admin: Arc<str>,
    /// The address for other routers, for hints over UDP and queries over TCP.
    /// Without one, the router exchanges nothing with them and polls the store
    /// itself.
    pub hints: Option<Arc<str>>,
    /// The time between two polls of the platform's store, in milliseconds.
    pub poll_interval_ms: u64,
    /// How long a confirmation of the store's content is valid, in milliseconds.
    pub confirmation_ttl_ms: u64,
    /// The host's capacity for serving other routers, relative to other hosts.
    pub strength: u32,
    /// Whether this is the first start of the whole fleet.
    pub first_start: bool,
}

impl Router {
    /// What the process may use of its host.
    pub fn resources(&self) -> Resources {
        Resources { memory_mb: self.memory_mb, descriptors: self.descriptors }
    }

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
            memory_mb: resources::default_memory_mb(),
            descriptors: resources::default_descriptors(),
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

/// Upper bound of `body_bytes` with sidecars, as a request body has to fit into a frame of the link.
const MAX_BODY_BYTES: usize = 1024 * 1024;

impl Check for Router {
    fn check(&self) -> Result<(), Error> {
        check_name("name", &self.name)?;
        check_address("listen", &self.listen)?;
        check_key("link_key", &self.link_key)?;
        check_base_url("hosts_url", &self.hosts_url)?;
        if let Some(url) = &self.store_url {
            check_base_url("store_url", url)?;
        }
        if let Some(url) = &self.traces_url {
            check_base_url("traces_url", url)?;
        }
        check_positive("hosts_every_ms", self.hosts_every_ms)?;
        check_positive("body_bytes", self.body_bytes as u64)?;
        let holds = self.body_bytes <= MAX_BODY_BYTES;
        crate::check::check_rule(holds, "body_bytes", self.body_bytes, "at most 1048576")?;
        check_positive("body_ms", self.body_ms)?;
        check_positive("memory_mb", self.memory_mb)?;
        check_positive("descriptors", self.descriptors as u64)?;
        check_positive("connect_ms", self.connect_ms)?;
        check_bound("routing.bound", &self.routing.bound)?;
        for weight in self.routing.weights.values() {
            let holds = weight.is_finite() && *weight > 0.0;
            crate::check::check_rule(holds, "routing.weights", weight, "a number above 0")?;
        }
        let gives_back = self.routing.gives_back;
        let holds = (0.0..=10.0).contains(&gives_back);
        crate::check::check_rule(holds, "routing.gives_back", gives_back, "a number of 0 to 10")?;
        check_positive("routing.quarantine_ends", self.routing.quarantine_ends as u64)?;
        check_positive("routing.max_attempts", u64::from(self.routing.max_attempts))
    }
}
