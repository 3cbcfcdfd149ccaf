//! Why a router can't start.

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
    /// The file of the routing intents can't be read.
    #[snafu(display("can't read the intents in {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The routing intents are wrong.
    #[snafu(display("the intents in {path} are wrong: {source}"))]
    Intents {
        /// The file.
        path: String,
        /// What is wrong.
        source: intents::Error,
    },
}
