//! Why a caller did not get a whole answer.

use snafu::Snafu;

/// What came instead of a whole answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed, or broke off.
    #[snafu(display("the connection broke: {reason}"))]
    Broken {
        /// What the client says.
        reason: String,
    },
    /// The fleet answered with an error.
    #[snafu(display("{status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
        /// The error's kind, if the body names one.
        kind: String,
        /// What is known about the run, if the body says so.
        outcome: String,
    },
    /// The stream ended without its last event.
    #[snafu(display("the answer is not whole: {text}"))]
    Short {
        /// What came.
        text: String,
    },
    /// The answer can't be read.
    #[snafu(display("the answer can't be read: {reason}"))]
    Shape {
        /// What is wrong.
        reason: String,
    },
}

impl Error {
    /// The outcome that the fleet named, if it did.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Refused { outcome, .. } => outcome,
            _ => "",
        }
    }

    /// The kind that the fleet named, if it did.
    pub fn kind(&self) -> &str {
        match self {
            Self::Refused { kind, .. } => kind,
            _ => "",
        }
    }
}
