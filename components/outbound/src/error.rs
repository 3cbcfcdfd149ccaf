//! Why a request got no answer.

use std::io::ErrorKind;

use snafu::Snafu;

/// Why a request got no answer, or no whole one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request can't be written as HTTP; nothing was sent.
    #[snafu(display("the request can't be written: {source}"))]
    InvalidRequest {
        /// What is wrong with it.
        source: http::Error,
    },
    /// No connection could be opened; nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the system says.
        source: std::io::Error,
    },
    /// A new connection did not stand in time; nothing was sent.
    #[snafu(display("no connection in time"))]
    Timeout,
    /// The connection ended before the answer was whole.
    #[snafu(display("the connection ended: {source}"))]
    Interrupted {
        /// What the HTTP library says.
        source: hyper::Error,
    },
}

impl Error {
    /// Whether the host says that nobody listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect { source } if source.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether any byte of the request may have reached the upstream.
    pub fn may_have_been_sent(&self) -> bool {
        match self {
            Self::InvalidRequest { .. } | Self::Connect { .. } | Self::Timeout => false,
            Self::Interrupted { .. } => true,
        }
    }
}
