//! What can be wrong with a document.

use snafu::Snafu;

/// A fault of a document, with the path to it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The document is not JSON of the right shape.
    #[snafu(display("at {path}: {source}"))]
    Shape {
        /// Where in the document.
        path: String,
        /// What `serde_json` says.
        source: serde_json::Error,
    },
    /// A value breaks a rule.
    #[snafu(display("at {path}: {value} is not allowed: {rule}"))]
    Rule {
        /// Where in the document.
        path: String,
        /// The value, as JSON.
        value: String,
        /// What is allowed.
        rule: &'static str,
    },
}
