//! Records of which software build began a stream of events.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The software of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Build {
    /// The upstream's pool.
    pub pool: Arc<str>,
    /// The version of its software; empty if unknown.
    pub version: Arc<str>,
}

/// The build that began a stream, sent to the routers that keep its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// The hash of the stream.
    pub stream: u64,
    /// The build.
    pub build: Build,
    /// How long the stream may still be continued, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer of a router that was asked which build began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the stream.
    pub stream: u64,
    /// The build; `None` if the router has no record.
    pub build: Option<Build>,
}
