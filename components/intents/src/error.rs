//! Errors of documents.

use snafu::Snafu;

/// An error in a document, with its path.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The document is not JSON, or a value has a wrong type.
    #[snafu(display("at {path}: {source}"))]
    Shape {
        /// The path in the document.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A value breaks a rule.
    #[snafu(display("at {path}: {value} is not allowed: {rule}"))]
    Rule {
        /// The path in the document.
        path: String,
        /// The value, as JSON.
        value: String,
        /// The allowed values.
        rule: &'static str,
    },
}
