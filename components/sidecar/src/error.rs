//! Errors of a sidecar.

use snafu::Snafu;

/// An error at the start of a sidecar.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The sidecar can't listen on an address.
    #[snafu(display("{source}"))]
    Bind {
        /// The address and the operating system's error.
        source: process::Error,
    },
    /// Setting up a socket failed.
    #[snafu(display("can't set up a socket: {source}"))]
    Socket {
        /// The operating system's error.
        source: std::io::Error,
    },
}
