//! A request as every attempt sends it.

use std::sync::Arc;

use bytes::Bytes;

/// What every attempt sends of the request: to the sidecar, or straight to the
/// upstream.
#[derive(Debug)]
pub(crate) struct Template {
    pub method: Arc<str>,
    pub path: Arc<str>,
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    pub body: Bytes,
    /// The trace context that came with the request.
    pub traceparent: Option<Arc<str>>,
    /// Whether the answer is a stream of events; of concern to direct sendings.
    pub events: bool,
    /// Whether the caller has no workspace of its own.
    pub anonymous: bool,
}

impl Template {
    /// The hash of the work that `workspace` asks for: method, path and body. Headers are
    /// left out, since some differ with each sending.
    pub(crate) fn content(&self, workspace: &str) -> u64 {
        placement::digest(&[
            workspace.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }

    /// Says that the body is JSON, whatever the caller said: it was read as such.
    pub(crate) fn say_json(&mut self) {
        self.headers.retain(|(name, _)| &**name != "content-type");
        self.headers.push(("content-type".into(), "application/json".into()));
    }
}
