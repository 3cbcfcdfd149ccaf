//! Errors of a link.

use snafu::Snafu;

/// An error of a link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("can't connect to {address}"))]
    Connect {
        /// The address of the other process.
        address: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Connecting and greeting took too long; no request was sent.
    #[snafu(display("timed out connecting to {address}"))]
    Timeout {
        /// The address of the other process.
        address: String,
    },
    /// The stream could not be opened; no byte of the request was sent.
    #[snafu(display("can't open a stream"))]
    StreamNotOpened {
        /// The error of `h2`.
        source: h2::Error,
    },
    /// The connection or stream failed.
    #[snafu(display("the connection failed"))]
    Broken {
        /// The error of `h2`.
        source: h2::Error,
    },
    /// The stream ended within a frame or before an expected frame, or that frame did not
    /// arrive in time.
    #[snafu(display("the stream ended unexpectedly"))]
    UnexpectedEnd,
    /// The type of the frame is not allowed at this point.
    #[snafu(display("unexpected frame"))]
    Unexpected,
    /// The other process rejected the link key.
    #[snafu(display("the link key was rejected"))]
    InvalidKey,
    /// The greeting was not sent or not answered; no request was sent.
    #[snafu(display("the greeting of {address} failed: {source}"))]
    Greeting {
        /// The address of the other process.
        address: String,
        /// Why it failed.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },
    /// The process at the address has another name than expected.
    #[snafu(display("{found} answered instead of {expected}"))]
    WrongPeer {
        /// The name that was expected at the address.
        expected: String,
        /// The name in the answer to the greeting.
        found: String,
    },
    /// A frame can't be encoded or decoded.
    #[snafu(display("invalid frame"))]
    Frame {
        /// The error of the codec.
        source: wire::Error,
    },
}

impl Error {
    /// Whether the other side reset the stream.
    pub(crate) fn is_reset_by_peer(&self) -> bool {
        matches!(self, Self::Broken { source } if source.is_reset() && source.is_remote())
    }

    /// Whether no byte of a request can have reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Timeout { .. }
                | Self::StreamNotOpened { .. }
                | Self::InvalidKey
                | Self::Greeting { .. }
                | Self::WrongPeer { .. }
        )
    }
}
