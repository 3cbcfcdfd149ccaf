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
    /// The HTTP client can't be created.
    #[snafu(display("can't create the HTTP client: {reason}"))]
    Client {
        /// The HTTP library's message.
        reason: String,
    },
}
