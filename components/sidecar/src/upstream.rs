//! The HTTP request to the upstream, and its answer.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use errors::Kind;
use outbound::{Client, Error, Request};
use wire::Open;

use crate::core::Core;

/// The last event of a complete streamed answer, without its line endings.
const FINAL_EVENT: &[u8] = b"data: [DONE]";

/// The longest line endings that complete an event.
const MAX_END_BYTES: usize = b"\r\n\r\n".len();

/// The port of URLs without one.
const DEFAULT_PORT: u16 = 80;

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

type PendingAnswer = Pin<Box<dyn Future<Output = Result<outbound::Answer, Error>>>>;

/// The client of the only upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    client: Client,
    /// Host and port.
    address: Arc<str>,
    /// The path of the upstream's URL, without a trailing slash.
    base_path: Arc<str>,
}

impl Upstream {
    /// Creates a client of the upstream at `url` that keeps idle connections for `max_idle`.
    pub(crate) fn new(url: &str, max_idle: Duration) -> Self {
        let rest = url.strip_prefix("http://").unwrap_or(url);
        let (host, base_path) = match rest.find('/') {
            Some(index) => rest.split_at(index),
            None => (rest, ""),
        };
        let address =
            if has_port(host) { host.into() } else { format!("{host}:{DEFAULT_PORT}").into() };
        let connect_timeout = Duration::from_millis(process::CONNECT_TIMEOUT.0.into());
        let client = Client::new(max_idle, connect_timeout);
        Self { client, address, base_path: base_path.into() }
    }

    fn request(&self, open: &Open) -> Request {
        let mut headers = vec![("host".into(), self.address.clone())];
        headers.extend(open.headers.iter().cloned());
        headers.push(("x-request-id".into(), open.request.clone()));
        if let Some(key) = &open.idempotency_key {
            headers.push(("idempotency-key".into(), client_key(key).into()));
        }
        if let Some(traceparent) = &open.traceparent {
            headers.push(("traceparent".into(), traceparent.clone()));
        }
        Request {
            method: open.method.clone(),
            path: format!("{}{}", self.base_path, open.path).into(),
            headers,
            body: open.body.clone().into(),
        }
    }
}

/// Whether a host ends with a port; the colons of an IPv6 address stand in brackets.
fn has_port(host: &str) -> bool {
    host.rsplit_once(':').is_some_and(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()))
}

/// The upstream's answer; dropping it cancels the request.
pub(crate) enum Answer {
    /// No request was sent, or its answer has ended.
    Idle,
    /// The request is being sent, or its head is awaited.
    Pending(PendingAnswer),
    /// The body is being received.
    Body(Box<Body>),
}

/// A body, with its last bytes to check that an event stream is complete.
pub(crate) struct Body {
    answer: outbound::Answer,
    /// Whether the body must end with the final event.
    is_event_stream: bool,
    tail: Vec<u8>,
}

impl Answer {
    /// Sends the request of `open` to the upstream.
    pub(crate) fn start(core: &Core, open: &Open) -> Self {
        let (client, address) = (core.upstream.client.clone(), core.upstream.address.clone());
        let request = core.upstream.request(open);
        Self::Pending(Box::pin(async move { client.send(address, request, false).await }))
    }

    /// Waits for the next part; pends forever when idle.
    pub(crate) async fn next(&mut self) -> Part {
        match self {
            Self::Idle => std::future::pending().await,
            Self::Pending(answer) => match answer.await {
                Ok(answer) => self.open(answer),
                Err(error) => Part::Failed(error_kind(&error)),
            },
            Self::Body(body) => body.next().await,
        }
    }

    fn open(&mut self, mut answer: outbound::Answer) -> Part {
        let status = answer.status;
        let mut headers = std::mem::take(&mut answer.headers);
        headers.retain(|(name, _)| !HOP_HEADERS.contains(&&**name));
        let is_event_stream = headers.iter().any(|(name, value)| {
            &**name == "content-type" && value.starts_with("text/event-stream")
        });
        *self = Self::Body(Box::new(Body { answer, is_event_stream, tail: Vec::new() }));
        Part::Head { status, headers }
    }
}

impl Body {
    async fn next(&mut self) -> Part {
        match self.answer.next().await {
            Some(Ok(bytes)) => {
                if self.is_event_stream {
                    self.update_tail(&bytes);
                }
                Part::Chunk(bytes)
            }
            Some(Err(_)) => Part::Failed(Kind::Truncated),
            None if self.is_event_stream && !is_final(&self.tail) => Part::Failed(Kind::Truncated),
            None => Part::Ended,
        }
    }

    fn update_tail(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        let longest = FINAL_EVENT.len() + MAX_END_BYTES;
        let surplus = self.tail.len().saturating_sub(longest);
        self.tail.drain(..surplus);
    }
}

/// Whether a stream that ends with `tail` is complete: with [`FINAL_EVENT`], the end of its line and a
/// blank line, each ended by CR, LF or CR LF.
fn is_final(tail: &[u8]) -> bool {
    let is_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let text = tail.iter().rposition(|byte| !is_end(byte)).map_or(0, |last| last + 1);
    let (text, end) = tail.split_at(text);
    let lines = String::from_utf8_lossy(end).replace("\r\n", "\n").len();
    text.ends_with(FINAL_EVENT) && lines >= 2
}

/// The key as the caller sent it: the part after `workspace/`.
fn client_key(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, key)| key)
}

/// Returns the error kind for a failed request.
fn error_kind(error: &Error) -> Kind {
    if error.may_have_been_sent() { Kind::UpstreamLost } else { Kind::UpstreamDown }
}
