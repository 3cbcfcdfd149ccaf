//! Listening sockets.

use std::net::{SocketAddr, TcpListener};

use nix::sys::socket::{setsockopt, sockopt};
use snafu::{ResultExt, Snafu};

/// The receive buffer of a connection, in bytes: bounds what arrives and is not read. The system
/// doubles it, and enlarges buffers without a size as data comes.
const RECEIVE_BUFFER: usize = 32 * 1024;

/// Listening on an address failed.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct Error {
    address: String,
    source: std::io::Error,
}

/// Binds a listening socket; returns it with its address. Port 0 selects a free port. Its connections
/// have a small receive buffer.
///
/// # Errors
///
/// The address is invalid, in use, or not an address of this host.
pub fn bind(address: &str) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address).context(Snafu { address })?;
    // A system that refuses the size keeps its own.
    let _ = setsockopt(&listener, sockopt::RcvBuf, &RECEIVE_BUFFER);
    let local = listener.local_addr().context(Snafu { address })?;
    Ok((listener, local))
}
