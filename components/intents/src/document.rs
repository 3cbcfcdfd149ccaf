//! The operator's document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::ShapeSnafu;
use crate::{Error, Labels, Selector};

/// The deadline of a request whose intent sets none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Everything that operators decide, as one generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows with every accepted change; a process refuses a lower one.
    pub generation: u64,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The kinds of request.
    pub kinds: Vec<Arc<Kind>>,
    /// The models that may be asked for.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Labels that operators add to upstreams.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// What is known of pools of upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<Pool>,
    /// The intents.
    pub intents: Vec<Arc<Intent>>,
}

/// A pool of upstreams: those whose label `service` is its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name.
    pub name: Arc<str>,
    /// How long an upstream is cold after it has started, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// How many requests a second a cold one bears; zero sets no limit.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// A workspace and the digest of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: Arc<str>,
    /// SHA-256 of the workspace key, in hexadecimal; a list while keys are
    /// being replaced. A workspace without a key is that of anonymous callers.
    #[serde(with = "crate::keys")]
    pub key_sha256: Vec<Arc<str>>,
    /// Goes before the priority of the intents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
    /// Which upstreams its work may go to, beside what the intents say; all, if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Selector>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is a word of the operator's document")]
pub struct Kind {
    /// The name.
    pub name: Arc<str>,
    /// Whether the fleet may run such a request again by itself.
    pub repeatable: bool,
    /// Whether a request that may not be repeated is taken without an
    /// idempotency key; it then goes to another upstream only if it has not run.
    #[serde(default)]
    pub keyless: bool,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub events: bool,
    /// Whether a broken stream may be continued at another upstream.
    #[serde(default)]
    pub resumable: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub anonymous: bool,
    /// Where callers find it, beside the fleet's own paths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paths: Vec<Location>,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A host and a path prefix. Of a host's prefixes the longest that begins the
/// path counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// The prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
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
    /// The most upstreams that one request may be sent to; the router's own
    /// setting, if none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// The time to an answer, or to its first event, that callers hope for, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Shares of the requests that go to further sets of upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
}

/// A share of an intent's requests. The upstreams of the intent itself take
/// what is left of 100 after all shares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Of 100 requests.
    pub percent: f64,
    /// Which upstreams.
    pub upstreams: Vec<Selector>,
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
