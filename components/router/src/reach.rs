//! What a router on a platform reaches the platform and upstreams with.

use std::sync::Arc;
use std::time::Duration;

use edge::{Adapter, Connect};
use outbound::Client;
use spdlog::error;

use crate::peers::Peers;

/// How long an idle connection to an upstream is kept, unless its answers tell of
/// less. Upstreams of the sites close theirs after 10 s.
const UPSTREAM_IDLE: Duration = Duration::from_secs(8);

/// What reaches the platform and upstreams directly.
pub(crate) struct Direct {
    pub edges: Adapter,
    /// Reaches upstreams.
    pub client: Client,
    /// The other routers, where hints are exchanged with them.
    pub peers: Option<Peers>,
}

impl Direct {
    /// Makes the platform's edges, the client that reaches upstreams and the socket
    /// for hints of other routers.
    ///
    /// # Errors
    ///
    /// The runtime can't make a client.
    pub(crate) async fn connect(
        connect: &Connect,
        settings: &settings::Router,
    ) -> Result<Self, String> {
        let edges = connect().await?;
        let limit = Duration::from_millis(process::CONNECT_TIMEOUT.0.into());
        let client = Client::new(UPSTREAM_IDLE, limit);
        let hints = settings.direct.as_ref().and_then(|it| it.hints.as_deref());
        Ok(Self { edges, client, peers: hints.and_then(|it| peers(&settings.name, it)) })
    }
}

/// The socket for hints; a router does without where it can't be had.
fn peers(name: &Arc<str>, address: &str) -> Option<Peers> {
    match Peers::bind(name.clone(), address) {
        Ok(peers) => Some(peers),
        Err(fault) => {
            error!("no hints are exchanged", kv: { address, fault = fault.to_string() });
            None
        }
    }
}
