//! The HTTP client.

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;

/// The most connections of a client. The library's own word for no limit,
/// zero, leaves requests waiting for ever that came while a connection to the
/// same host was being opened.
const MAX_CONNECTIONS: usize = 1 << 20;

/// A client for answers of any length: without a time limit of its own, without
/// a limit on connections that matters, and without following redirects, which would send a
/// request twice.
///
/// `keep_alive` is how long an idle connection is kept for the next request.
///
/// # Errors
///
/// The runtime can't make a connector.
pub async fn client(keep_alive: Seconds) -> Result<Client, ClientBuilderError> {
    let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(keep_alive);
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_timeout(ntex::time::Millis::ZERO)
        .build(SharedCfg::default())
        .await
}
