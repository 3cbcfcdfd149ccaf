//! Errors of settings files.

use std::path::PathBuf;

use snafu::Snafu;

/// An error in a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
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
        path: &'static str,
        /// The value.
        value: String,
        /// The allowed values.
        rule: &'static str,
    },
}
