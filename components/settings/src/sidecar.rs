//! Settings of `silverstack-sidecar`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::{
    check_address, check_base_url, check_bound, check_key, check_name, check_positive,
};
use crate::{Check, Error, Resources, resources};

/// The settings of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// The upstream's name in the platform's list of hosts.
    pub name: Arc<str>,
    /// The address for routers: IP address and port.
    pub listen: Arc<str>,
    /// The address for operators: IP address and port.
    pub admin: Arc<str>,
    /// The key that all processes of the fleet share.
    pub link_key: Arc<str>,
    /// The base URL of the upstream.
    pub upstream_url: Arc<str>,
    /// The type of the upstream.
    pub service: Service,
    /// The URL of the platform's list of hosts.
    pub hosts_url: Arc<str>,
    /// The labels that all upstreams of the same pool have.
    #[serde(default)]
    pub pool: BTreeMap<Arc<str>, Arc<str>>,
    /// The time between two reads of the list of hosts, in milliseconds.
    #[serde(default = "defaults::hosts_every_ms")]
    pub hosts_every_ms: u64,
    /// The time limit for requests in flight during a planned stop, in milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// The memory of the host that the process may use, in MB.
    #[serde(default = "resources::default_memory_mb")]
    pub memory_mb: u64,
    /// The descriptors that the process may have open.
    #[serde(default = "resources::default_descriptors")]
    pub descriptors: usize,
    /// The URL of the trace collector, such as `http://127.0.0.1:4318`; without one, no spans
    /// are recorded.
    #[serde(default)]
    pub traces_url: Option<Arc<str>>,
    /// Settings of admission decisions.
    #[serde(default)]
    pub admission: admission::Settings,
}

/// The type of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

mod defaults {
    pub(super) fn hosts_every_ms() -> u64 {
        500
    }

    pub(super) fn drain_ms() -> u64 {
        60_000
    }
}

impl Sidecar {
    /// What the process may use of its host.
    pub fn resources(&self) -> Resources {
        Resources { memory_mb: self.memory_mb, descriptors: self.descriptors }
    }
}

impl Check for Sidecar {
    fn check(&self) -> Result<(), Error> {
        check_name("name", &self.name)?;
        check_address("listen", &self.listen)?;
        check_address("admin", &self.admin)?;
        check_key("link_key", &self.link_key)?;
        check_base_url("upstream_url", &self.upstream_url)?;
        check_base_url("hosts_url", &self.hosts_url)?;
        if let Some(url) = &self.traces_url {
            check_base_url("traces_url", url)?;
        }
        check_positive("hosts_every_ms", self.hosts_every_ms)?;
        check_positive("memory_mb", self.memory_mb)?;
        check_positive("descriptors", self.descriptors as u64)?;
        check_bound("admission.bound", &self.admission.bound)?;
        check_positive("admission.slots", self.admission.slots as u64)
    }
}
