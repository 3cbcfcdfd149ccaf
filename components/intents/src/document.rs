//! The operator's document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::ShapeSnafu;
use crate::{Error, Labels, Selector};

/// The deadline of a request whose intent sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Everything that operators decide, as one generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows with every accepted change; a process refuses a lower one.
    pub generation: u64,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The kinds of request.
    pub kinds: Vec<Kind>,
    /// The models that may be asked for.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Labels that operators add to upstreams.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// The intents.
    pub intents: Vec<Intent>,
}

/// A workspace and the digest of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: Arc<str>,
    /// SHA-256 of the workspace key, in hexadecimal.
    pub key_sha256: Arc<str>,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name.
    pub name: Arc<str>,
    /// Whether the fleet may run such a request again by itself.
    pub repeatable: bool,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
}

/// Labels of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The labels, added to those that its host reports.
    pub labels: Labels,
}

/// Which work may go where, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The name, for explaining.
    pub name: Arc<str>,
    /// Of the intents that match a request, the highest rank decides.
    #[serde(default)]
    pub rank: i32,
    /// Which workspaces; all, if empty.
    #[serde(default)]
    pub workspaces: Vec<Selector>,
    /// Which kinds of request; all, if empty.
    #[serde(default)]
    pub kinds: Vec<Selector>,
    /// Which models; all, if empty.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Which upstreams.
    pub upstreams: Vec<Selector>,
    /// Which failure domains; all, if empty.
    #[serde(default)]
    pub domains: Vec<Arc<str>>,
    /// Lower runs earlier.
    #[serde(default)]
    pub priority: i32,
    /// The time a request has, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

fn default_deadline() -> u64 {
    DEFAULT_DEADLINE_MS
}

impl Document {
    /// Reads a document; [`crate::Plan::compile`] checks it.
    ///
    /// # Errors
    ///
    /// The path of the first value that is not of the right shape.
    pub fn parse(json: &str) -> Result<Self, Error> {
        let mut reader = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut reader).map_err(|fault| {
            let path = fault.path().to_string();
            Err::<(), _>(fault.into_inner()).context(ShapeSnafu { path }).unwrap_err()
        })
    }
}
