//! Listening sockets.

use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// Listening on an address failed.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct Error {
    address: String,
    source: std::io::Error,
}

/// Binds a listening socket; returns it with its address. Port 0 selects a free port.
///
/// # Errors
///
/// The address is invalid, in use, or not an address of this host.
pub fn bind(address: &str) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).context(Snafu { address })?;
    let local = listener.local_addr().context(Snafu { address })?;
    Ok((listener, local))
}
