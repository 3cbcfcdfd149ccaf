//! Errors of a caller.

use std::time::Duration;

use serde_json::Value;
use snafu::Snafu;

/// The reason why there is no complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The HTTP client failed: connection, timeout or body.
    #[snafu(display("request failed: {reason}"))]
    Client {
        /// The message of the HTTP client.
        reason: String,
    },
    /// The fleet answered with an error.
    #[snafu(display("{status}: {body}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
        /// The kind of the error, empty if the body has none.
        kind: String,
        /// Whether the request ran, empty if the body does not say.
        outcome: String,
        /// When to retry, if the body says so.
        retry_after: Option<Duration>,
    },
    /// The stream ended without its last event.
    #[snafu(display("stream ended early after: {text}"))]
    Truncated {
        /// The text received.
        text: String,
    },
    /// The answer can't be parsed.
    #[snafu(display("invalid answer: {reason}"))]
    Malformed {
        /// The parse error or the body.
        reason: String,
    },
}

impl Error {
    /// Parses a body such as `{"error": …}`.
    pub(crate) fn parse(status: u16, body: String) -> Self {
        let json: Value = serde_json::from_str(&body).unwrap_or_default();
        let error = &json["error"];
        let field = |name: &str| error[name].as_str().unwrap_or("").to_owned();
        Self::Refused {
            status,
            kind: field("kind"),
            outcome: field("outcome"),
            retry_after: error["retry_after_ms"].as_u64().map(Duration::from_millis),
            body,
        }
    }

    /// The outcome in the answer, empty without one.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Refused { outcome, .. } => outcome,
            _ => "",
        }
    }

    /// When to retry, if the answer says so.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }

    /// The kind in the answer, empty without one.
    pub fn kind(&self) -> &str {
        match self {
            Self::Refused { kind, .. } => kind,
            _ => "",
        }
    }
}
