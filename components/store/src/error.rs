//! Errors of the platform's services.

use snafu::Snafu;

/// An error of one of the platform's services.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The HTTP client can't be created.
    #[snafu(display("the client of the platform's service can't be created: {reason}"))]
    Client {
        /// The runtime's error.
        reason: String,
    },
    /// The service did not answer; a write may have taken effect.
    #[snafu(display("the platform's service did not answer: {reason}"))]
    Unreachable {
        /// The client's error.
        reason: String,
    },
    /// The answer broke off or is too long; a write may have taken effect.
    #[snafu(display("the answer of the platform's service is incomplete: {reason}"))]
    Incomplete {
        /// The client's error.
        reason: String,
    },
    /// The service answered with an error.
    #[snafu(display("the platform's service answered {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be read.
    #[snafu(display("the answer can't be read"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The answer lacks a required value.
    #[snafu(display("the answer holds no value"))]
    MissingValue,
}
