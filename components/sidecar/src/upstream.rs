//! The HTTP request to the upstream, and its answer.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use errors::Kind;
use futures_util::StreamExt;
use ntex::client::error::ClientError;
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::Method;
use wire::Open;

use crate::core::Core;

/// The last event of a complete streamed answer.
const FINAL_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Answer headers that are not forwarded to the router.
const HOP_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "date", "upgrade"];

/// A part of the upstream's answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// The status and headers.
    Head { status: u16, headers: Vec<(Arc<str>, Arc<str>)> },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    Ended,
    /// The request failed, or its body ended early.
    Failed(Kind),
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<ClientResponse, ClientError>>>>;

/// The upstream's answer; dropping it cancels the request.
pub(crate) enum Answer {
    /// No request was sent, or its answer has ended.
    Idle,
    /// The request is being sent, or its head is awaited.
    Pending(ResponseFuture),
    /// The body is being received.
    Body(Box<Body>),
}

/// A body, with its last bytes to check that an event stream is complete.
pub(crate) struct Body {
    response: ClientResponse,
    /// Whether the body must end with [`FINAL_EVENT`].
    is_event_stream: bool,
    tail: Vec<u8>,
}

impl Answer {
    /// Sends the request of `open` to the upstream.
    pub(crate) fn start(core: &Core, open: &Open) -> Self {
        let url = format!("{}{}", core.settings.upstream_url, open.path);
        let method = Method::from_bytes(open.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = core.client.request(method, url);
        for (name, value) in &open.headers {
            request = request.header(&**name, &**value);
        }
        request = add_headers(request, open);
        let body = ntex::util::Bytes::copy_from_slice(&open.body);
        Self::Pending(Box::pin(request.send_body(body)))
    }

    /// Waits for the next part; pends forever when idle.
    pub(crate) async fn next(&mut self) -> Part {
        match self {
            Self::Idle => std::future::pending().await,
            Self::Pending(response) => match response.await {
                Ok(response) => self.open(response),
                Err(error) => Part::Failed(error_kind(&error)),
            },
            Self::Body(body) => body.next().await,
        }
    }

    fn open(&mut self, response: ClientResponse) -> Part {
        let status = response.status().as_u16();
        let headers: Vec<(Arc<str>, Arc<str>)> = response
            .headers()
            .iter()
            .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let is_event_stream = headers.iter().any(|(name, value)| {
            &**name == "content-type" && value.starts_with("text/event-stream")
        });
        *self = Self::Body(Box::new(Body { response, is_event_stream, tail: Vec::new() }));
        Part::Head { status, headers }
    }
}

impl Body {
    async fn next(&mut self) -> Part {
        match self.response.next().await {
            Some(Ok(bytes)) => {
                if self.is_event_stream {
                    self.update_tail(&bytes);
                }
                Part::Chunk(Bytes::copy_from_slice(&bytes))
            }
            Some(Err(_)) => Part::Failed(Kind::Truncated),
            None if self.is_event_stream && self.tail != FINAL_EVENT => {
                Part::Failed(Kind::Truncated)
            }
            None => Part::Ended,
        }
    }

    fn update_tail(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        let surplus = self.tail.len().saturating_sub(FINAL_EVENT.len());
        self.tail.drain(..surplus);
    }
}

fn add_headers(mut request: ClientRequest, open: &Open) -> ClientRequest {
    request = request.header("x-request-id", &*open.request);
    if let Some(key) = &open.idempotency_key {
        request = request.header("idempotency-key", client_key(key));
    }
    if let Some(traceparent) = &open.traceparent {
        request = request.header("traceparent", &**traceparent);
    }
    request
}

/// The key as the caller sent it: the part after `workspace/`.
fn client_key(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, key)| key)
}

/// Returns the error kind for a failed request: only a failed connect guarantees that
/// nothing was sent.
fn error_kind(error: &ClientError) -> Kind {
    match error {
        ClientError::Connect(_) => Kind::UpstreamDown,
        _ => Kind::UpstreamLost,
    }
}
