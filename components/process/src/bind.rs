//! Listening sockets.

use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// An address that can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct Error {
    address: String,
    source: std::io::Error,
}

/// A listening socket and its address; port 0 takes any free port.
///
/// # Errors
///
/// The address is taken or not of this host.
pub fn bind(address: &str) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).context(Snafu { address })?;
    let local = listener.local_addr().context(Snafu { address })?;
    Ok((listener, local))
}
