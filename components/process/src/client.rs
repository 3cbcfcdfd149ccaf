//! The HTTP client.

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};

/// The most connections of a client. The library's own word for no limit,
/// zero, leaves requests waiting for ever that came while a connection to the
/// same host was being opened.
const MAX_CONNECTIONS: usize = 1 << 20;

/// How long a connection within the fleet may take to stand, in milliseconds.
/// Hosts are a few milliseconds apart; a lost opening packet is sent again after
/// a second or more, later each time, so that a fresh try is sooner there. The
/// library opens one connection to a host at a time: without a limit, one that
/// hangs would hold up all that come after it.
pub const CONNECT_TIMEOUT: Millis = Millis(500);

/// A client for answers of any length: without a time limit of its own, without
/// a limit on connections that matters, and without following redirects, which
/// would send a request twice.
///
/// `keep_alive` is how long an idle connection is kept for the next request,
/// `connect` how long a new one may take to stand; zero sets no limit.
///
/// # Errors
///
/// The runtime can't make a connector.
pub async fn client(keep_alive: Seconds, connect: Millis) -> Result<Client, ClientBuilderError> {
    let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(keep_alive);
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("client").add(IoConfig::new().set_connect_timeout(connect)))
        .await
}
