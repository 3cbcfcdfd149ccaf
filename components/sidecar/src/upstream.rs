//! The request as the upstream sees it, and its answer.

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

/// The last event of a whole streamed answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Headers of an answer that concern one hop only.
const HOP_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "date", "upgrade"];

/// A part of the upstream's answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// The status and headers.
    Head { status: u16, headers: Vec<(Arc<str>, Arc<str>)> },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is whole.
    Ended,
    /// There will be no whole answer.
    Failed(Kind),
}

type Sending = Pin<Box<dyn Future<Output = Result<ClientResponse, ClientError>>>>;

/// The upstream's answer; dropping it cancels the request.
pub(crate) enum Answer {
    /// Nothing was asked, or nothing more will come.
    None,
    /// The request is being sent, or its head is waited for.
    Sending(Sending),
    /// The body comes.
    Body(Box<Body>),
}

/// A body, and what tells that it is whole.
pub(crate) struct Body {
    response: ClientResponse,
    /// Whether the body must end with [`DONE`].
    events: bool,
    tail: Vec<u8>,
}

impl Answer {
    /// Hands `open` to the upstream.
    pub(crate) fn start(core: &Core, open: &Open) -> Self {
        let url = format!("{}{}", core.settings.upstream_url, open.path);
        let method = Method::from_bytes(open.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = core.client.request(method, url);
        for (name, value) in &open.headers {
            request = request.header(&**name, &**value);
        }
        request = add_own_headers(request, open);
        let body = ntex::util::Bytes::copy_from_slice(&open.body);
        Self::Sending(Box::pin(request.send_body(body)))
    }

    /// The next part; for ever when nothing was asked.
    pub(crate) async fn next(&mut self) -> Part {
        match self {
            Self::None => std::future::pending().await,
            Self::Sending(sending) => match sending.await {
                Ok(response) => self.open(response),
                Err(fault) => Part::Failed(kind(&fault)),
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
        let events = headers.iter().any(|(name, value)| {
            &**name == "content-type" && value.starts_with("text/event-stream")
        });
        *self = Self::Body(Box::new(Body { response, events, tail: Vec::new() }));
        Part::Head { status, headers }
    }
}

impl Body {
    async fn next(&mut self) -> Part {
        match self.response.next().await {
            Some(Ok(bytes)) => {
                if self.events {
                    self.keep_tail(&bytes);
                }
                Part::Chunk(Bytes::copy_from_slice(&bytes))
            }
            Some(Err(_)) => Part::Failed(Kind::Truncated),
            None if self.events && self.tail != DONE => Part::Failed(Kind::Truncated),
            None => Part::Ended,
        }
    }

    fn keep_tail(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        let surplus = self.tail.len().saturating_sub(DONE.len());
        self.tail.drain(..surplus);
    }
}

fn add_own_headers(mut request: ClientRequest, open: &Open) -> ClientRequest {
    request = request.header("x-request-id", &*open.request);
    if let Some(key) = &open.idempotency_key {
        request = request.header("idempotency-key", client_key(key));
    }
    if let Some(traceparent) = &open.traceparent {
        request = request.header("traceparent", &**traceparent);
    }
    request
}

/// The caller's own key: the part after the workspace.
fn client_key(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, key)| key)
}

/// Only a connection that never stood proves that nothing ran.
fn kind(fault: &ClientError) -> Kind {
    match fault {
        ClientError::Connect(_) => Kind::UpstreamDown,
        _ => Kind::UpstreamLost,
    }
}
