//! The parts of a request that all attempts share.

use std::sync::Arc;

use outbound::Body;

use crate::bodies::Held;

/// What every attempt sends, to the sidecar or straight to the upstream.
#[derive(Debug)]
pub(crate) struct Template {
    pub method: Arc<str>,
    pub path: Arc<str>,
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    pub body: Body,
    #[expect(dead_code, reason = "returned when dropped")]
    pub held: Held,
    /// The trace context that came with the request.
    pub traceparent: Option<Arc<str>>,
    /// Whether the response is a stream of events; used by direct attempts only.
    pub events: bool,
    /// Whether the caller has no workspace of its own.
    pub anonymous: bool,
}

impl Template {
    /// The fingerprint of the work that `workspace` asks for: method, path and body. Headers are
    /// excluded, since some differ with each attempt.
    pub(crate) fn fingerprint(&self, workspace: &str) -> u64 {
        let head = [workspace.as_bytes(), self.method.as_bytes(), self.path.as_bytes()];
        let parts: Vec<&[u8]> =
            head.into_iter().chain(self.body.segments().map(|segment| &**segment)).collect();
        placement::digest(&parts)
    }

    /// Sets the content type to JSON, as which the body was parsed.
    pub(crate) fn set_json_content_type(&mut self) {
        self.headers.retain(|(name, _)| &**name != "content-type");
        self.headers.push(("content-type".into(), "application/json".into()));
    }
}
