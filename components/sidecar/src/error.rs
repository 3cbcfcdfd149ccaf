//! Why a sidecar can't start.

use snafu::Snafu;

/// A fault at start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("{source}"))]
    Bind {
        /// The address and what the system says.
        source: process::Error,
    },
    /// A socket can't be used.
    #[snafu(display("a socket can't be used: {source}"))]
    Socket {
        /// What the system says.
        source: std::io::Error,
    },
    /// The HTTP client can't be made.
    #[snafu(display("the HTTP client can't be made: {reason}"))]
    Client {
        /// What the library says.
        reason: String,
    },
}
