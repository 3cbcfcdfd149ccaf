//! Errors of requests.

use std::io::ErrorKind;

use snafu::Snafu;

/// Why a request got no answer, or an incomplete one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request is not valid HTTP; nothing was sent.
    #[snafu(display("invalid request: {source}"))]
    InvalidRequest {
        /// What is invalid.
        source: http::Error,
    },
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The connection was not opened in time; nothing was sent.
    #[snafu(display("timed out connecting"))]
    Timeout,
    /// The answer has a status that no final answer has.
    #[snafu(display("{status} is no status of an answer"))]
    Status {
        /// The number in its place.
        status: u16,
    },
    /// The connection ended before the answer was complete.
    #[snafu(display("the connection ended: {source}"))]
    Interrupted {
        /// The HTTP library's error.
        source: hyper::Error,
    },
}

impl Error {
    /// Whether the host refused the connection: no process listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether any byte of the request may have reached the upstream.
    pub fn may_have_been_sent(&self) -> bool {
        match self {
            Self::InvalidRequest { .. } | Self::Connect { .. } | Self::Timeout => false,
            Self::Status { .. } | Self::Interrupted { .. } => true,
        }
    }
}
