//! Settings of `silverstack-sidecar`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::{address, base, bound, key, name, positive};
use crate::{Check, Error};

/// The settings of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// The upstream's name, as the platform's list has it.
    pub name: Arc<str>,
    /// Where routers connect: IP number and port.
    pub listen: Arc<str>,
    /// Where operators connect: IP number and port.
    pub admin: Arc<str>,
    /// The key that all processes of the fleet share.
    pub link_key: Arc<str>,
    /// The upstream's own address.
    pub upstream_url: Arc<str>,
    /// What the upstream is.
    pub service: Service,
    /// The platform's list of hosts.
    pub hosts_url: Arc<str>,
    /// The labels that tell which upstreams belong to the same pool.
    #[serde(default)]
    pub pool: BTreeMap<Arc<str>, Arc<str>>,
    /// How often the list of hosts is read, in milliseconds.
    #[serde(default = "defaults::hosts_every_ms")]
    pub hosts_every_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
    /// The collector of traces, such as `http://127.0.0.1:4318`; no spans are
    /// made without one.
    #[serde(default)]
    pub traces_url: Option<Arc<str>>,
    /// The decisions' settings.
    #[serde(default)]
    pub admission: admission::Settings,
}

/// What an upstream is.
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

impl Check for Sidecar {
    fn check(&self) -> Result<(), Error> {
        name("name", &self.name)?;
        address("listen", &self.listen)?;
        address("admin", &self.admin)?;
        key("link_key", &self.link_key)?;
        base("upstream_url", &self.upstream_url)?;
        base("hosts_url", &self.hosts_url)?;
        if let Some(url) = &self.traces_url {
            base("traces_url", url)?;
        }
        positive("hosts_every_ms", self.hosts_every_ms)?;
        bound("admission.bound", &self.admission.bound)?;
        positive("admission.slots", self.admission.slots as u64)
    }
}
