//! The HTTP client for connections within the fleet.

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};

/// Maximum number of a client's connections. Not zero, which the library takes as no
/// limit: requests that arrive while a connection to the same host is being opened
/// would then never be sent.
const MAX_CONNECTIONS: usize = 1 << 20;

/// Time limit for opening a connection within the fleet. Below TCP's first retransmission
/// timeout, as a new attempt is faster than waiting for the retransmission. The library
/// opens one connection to a host at a time, so one that hangs delays all later ones.
pub const CONNECT_TIMEOUT: Millis = Millis(500);

/// Creates a client without timeouts for requests and answers. It does not follow
/// redirects, which would send a request twice.
///
/// `keep_alive` limits how long an idle connection is kept, `connect_timeout` how long
/// opening one may take; zero means no limit.
///
/// # Errors
///
/// The connector can't be created.
pub async fn client(
    keep_alive: Seconds,
    connect_timeout: Millis,
) -> Result<Client, ClientBuilderError> {
    let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(keep_alive);
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("client").add(IoConfig::new().set_connect_timeout(connect_timeout)))
        .await
}
