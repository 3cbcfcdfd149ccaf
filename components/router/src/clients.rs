//! Clients for the platform, the upstreams and the other routers.

use std::sync::Arc;
use std::time::Duration;

use edge::{Adapter, Connect};
use outbound::Client;
use spdlog::error;

use crate::peers::Peers;

/// How long an idle connection to an upstream is kept, unless the upstream announces less. Shorter
/// than the time after which upstreams close idle connections.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Everything that a router on a platform connects to.
pub(crate) struct Clients {
    pub edges: Adapter,
    pub client: Client,
    /// Set where hints are exchanged with other routers.
    pub peers: Option<Peers>,
}

impl Clients {
    /// Creates the platform's adapter, the client for upstreams and the socket for hints.
    ///
    /// # Errors
    ///
    /// The runtime can't create a client.
    pub(crate) async fn connect(
        connect: &Connect,
        settings: &settings::Router,
    ) -> Result<Self, String> {
        let edges = connect().await?;
        let connect_timeout = Duration::from_millis(process::CONNECT_TIMEOUT.0.into());
        let client = Client::new(UPSTREAM_IDLE_TIMEOUT, connect_timeout);
        let hints = settings.direct.as_ref().and_then(|direct| direct.hints.as_deref());
        Ok(Self {
            edges,
            client,
            peers: hints.and_then(|address| bind_peers(&settings.name, address)),
        })
    }
}

/// The socket for hints. Without one the router runs without hints.
fn bind_peers(name: &Arc<str>, address: &str) -> Option<Peers> {
    match Peers::bind(name.clone(), address) {
        Ok(peers) => Some(peers),
        Err(error) => {
            error!("no hints are exchanged", kv: { address, fault = error.to_string() });
            None
        }
    }
}
