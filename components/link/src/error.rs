//! What can go wrong on a link.

use snafu::Snafu;

/// A fault of the link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The other side can't be reached; nothing was sent.
    #[snafu(display("can't connect to {address}"))]
    Connect {
        /// Where to.
        address: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The other side took too long to connect or to greet; no request was sent.
    #[snafu(display("{address} took too long to connect"))]
    Timeout {
        /// Where to.
        address: String,
    },
    /// The stream could not be opened; no byte of the request was sent.
    #[snafu(display("no stream could be opened"))]
    StreamNotOpened {
        /// What `h2` says.
        source: h2::Error,
    },
    /// The connection or stream broke.
    #[snafu(display("the link broke"))]
    Broken {
        /// What `h2` says.
        source: h2::Error,
    },
    /// The stream ended within a frame, or before the frame that must come.
    #[snafu(display("the stream ended too early"))]
    UnexpectedEnd,
    /// The frame is not one that may come here.
    #[snafu(display("an unexpected frame came"))]
    Unexpected,
    /// The link key is wrong.
    #[snafu(display("the link key was refused"))]
    InvalidKey,
    /// The process at the address is not the one that was looked for.
    #[snafu(display("{found} answered in place of {expected}"))]
    WrongPeer {
        /// Whom the list names.
        expected: String,
        /// Who answered.
        found: String,
    },
    /// A frame can't be read or written.
    #[snafu(display("a bad frame"))]
    Frame {
        /// What the codec says.
        source: wire::Error,
    },
}

impl Error {
    /// Whether no byte of a request can have reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Timeout { .. }
                | Self::StreamNotOpened { .. }
                | Self::InvalidKey
                | Self::WrongPeer { .. }
        )
    }
}
