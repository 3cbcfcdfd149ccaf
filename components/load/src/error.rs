//! Why a caller did not get a whole answer.

use std::time::Duration;

use serde_json::Value;
use snafu::Snafu;

/// What came instead of a whole answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed, or broke off.
    #[snafu(display("the connection broke: {reason}"))]
    Connection {
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
        /// When to come back, if the body says so.
        retry_after: Option<Duration>,
    },
    /// The stream ended without its last event.
    #[snafu(display("the answer is not whole: {text}"))]
    Truncated {
        /// What came.
        text: String,
    },
    /// The answer can't be read.
    #[snafu(display("the answer can't be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

impl Error {
    /// The error in a body such as `{"error": …}`.
    pub(crate) fn read(status: u16, body: String) -> Self {
        let json: Value = serde_json::from_str(&body).unwrap_or_default();
        let error = &json["error"];
        let word = |name: &str| error[name].as_str().unwrap_or("").to_owned();
        Self::Refused {
            status,
            kind: word("kind"),
            outcome: word("outcome"),
            retry_after: error["retry_after_ms"].as_u64().map(Duration::from_millis),
            body,
        }
    }

    /// The outcome that the fleet named, if it did.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Refused { outcome, .. } => outcome,
            _ => "",
        }
    }

    /// When the fleet said to come back, if it did.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => *retry_after,
            _ => None,
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
