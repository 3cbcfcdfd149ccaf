//! Errors at startup.

use snafu::Snafu;

/// Why a router could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Listening on an address failed.
    #[snafu(display("{source}"))]
    Bind {
        /// The address and the system's error.
        source: process::Error,
    },
    /// A socket could not be used.
    #[snafu(display("a socket can't be used: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
    /// The HTTP service could not be created.
    #[snafu(display("the HTTP service can't be created"))]
    Service,
    /// The intents file could not be read.
    #[snafu(display("can't read the intents in {path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The routing intents are invalid.
    #[snafu(display("the intents in {path} are wrong: {source}"))]
    Intents {
        /// Path of the file.
        path: String,
        /// The first error found.
        source: intents::Error,
    },
}
