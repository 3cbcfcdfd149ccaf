//! What can be wrong with a settings file.

use std::path::PathBuf;

use snafu::Snafu;

/// A fault of a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
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
        path: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        rule: &'static str,
    },
}
