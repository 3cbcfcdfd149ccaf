//! The document in which operators configure routing.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::ShapeSnafu;
use crate::{Error, Labels, Selector};

/// The deadline of requests whose intent sets none.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Upper bound of an intent's deadline: a day.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// One generation of the operators' routing configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows with each accepted change; processes refuse a lower one.
    pub generation: u64,
    /// Whether there are no keys, so that callers' keys mean nothing to the router.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub ignores_keys: bool,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The kinds of requests.
    pub kinds: Vec<Arc<Kind>>,
    /// The models that may be requested.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Labels that operators add to upstreams.
    #[serde(default)]
    pub upstreams: Vec<UpstreamLabels>,
    /// Properties of pools of upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<Pool>,
    /// The intents.
    pub intents: Vec<Arc<Intent>>,
}

/// A pool of upstreams. Its members are the upstreams whose label `service` is the pool's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name.
    pub name: Arc<str>,
    /// How long an upstream is cold after it has started, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Requests per second that a cold upstream may get; zero sets no limit.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// A workspace and the digests of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: Arc<str>,
    /// The SHA-256 of the workspace key, in hexadecimal; several while the key is
    /// being replaced. The first workspace without a key is used for anonymous callers.
    #[serde(with = "crate::keys")]
    pub key_sha256: Vec<Arc<str>>,
    /// Overrides the priority of intents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
    /// Further conditions on the upstreams of its requests, beside those of the intents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Selector>,
}

/// A kind of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is a field of the operators' document")]
pub struct Kind {
    /// The name.
    pub name: Arc<str>,
    /// Whether the fleet may retry such requests on its own.
    pub repeatable: bool,
    /// Whether requests that may not be repeated are accepted without an
    /// idempotency key; they are then retried only if they have not run.
    #[serde(default)]
    pub keyless: bool,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub events: bool,
    /// Whether another upstream may continue an interrupted stream.
    #[serde(default)]
    pub resumable: bool,
    /// Whether callers need no workspace key.
    #[serde(default)]
    pub anonymous: bool,
    /// The hosts and paths of these requests, in addition to the fleet's own paths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paths: Vec<Location>,
    /// The labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A host and a path prefix. The longest matching prefix of a host applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// The host name in the URL, in lower case and without a port.
    pub host: Arc<str>,
    /// The prefix. Paths are compared as text, so it should begin and end with a slash.
    pub prefix: Arc<str>,
}

/// Labels that operators add to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamLabels {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The labels, in addition to those that the platform reports for the upstream.
    pub labels: Labels,
}

/// Which requests may go to which upstreams, with their priority and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The name, as shown in explanations.
    pub name: Arc<str>,
    /// Of the intents that match a request, the one with the highest rank applies.
    #[serde(default)]
    pub rank: i32,
    /// Conditions on the workspace; any if empty.
    #[serde(default)]
    pub workspaces: Vec<Selector>,
    /// Conditions on the kind of request; any if empty.
    #[serde(default)]
    pub kinds: Vec<Selector>,
    /// The models; any if empty.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Conditions on the upstreams.
    pub upstreams: Vec<Selector>,
    /// The failure domains of the upstreams; any if empty.
    #[serde(default)]
    pub domains: Vec<Arc<str>>,
    /// Requests with a lower number run earlier, unlike `rank`.
    #[serde(default)]
    pub priority: i32,
    /// The time limit of a request, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// The maximum number of upstreams that a request is sent to; the router's
    /// setting if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// The target time to an answer, or to the first event of a stream, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Shares of the requests that go to other upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
}

/// A share of an intent's requests. The intent's own upstreams get the rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The percentage of the requests.
    pub percent: f64,
    /// Conditions on the upstreams.
    pub upstreams: Vec<Selector>,
}

fn default_deadline() -> u64 {
    DEFAULT_DEADLINE_MS
}

impl Document {
    /// Parses a document; [`crate::Plan::compile`] validates it.
    ///
    /// # Errors
    ///
    /// The first value of a wrong type, with its path.
    pub fn parse(json: &str) -> Result<Self, Error> {
        let mut deserializer = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = error.path().to_string();
            Err::<(), _>(error.into_inner()).context(ShapeSnafu { path }).unwrap_err()
        })
    }
}
