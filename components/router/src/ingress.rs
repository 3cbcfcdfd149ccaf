//! Serves callers that use a platform's dialect.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use edge::{Header, Metadata, Prefix};
use errors::{Answer, Kind};
use futures_util::stream;
use ntex::http::body::Body;
use ntex::io::IoRef;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, HttpResponseBuilder};
use routing::{Arrival, Continuation};

use crate::collected::Collected;
use crate::core::Core;
use crate::relay::{Relay, Step};
use crate::target::Target;
use crate::template::Template;
use crate::watchdog::Watchdog;
use crate::{answer, bodies, body, headers, http};

/// The load of one request: upstreams that are reached directly are compared by requests.
const REQUEST_WEIGHT: u64 = 1;

/// Maximum number of parts of a prompt to which crashes of upstreams are attributed.
const MAX_PARTS: usize = 16;

type SharedCore = State<Rc<Core>>;

/// Routes for operators and the platform.
pub(crate) fn operators(config: &mut web::ServiceConfig, ready: &str) {
    config
        .route(ready, web::get().to(http::ready))
        .route("/readyz", web::get().to(http::ready))
        .route("/status", web::get().to(http::status))
        .route("/metrics", web::get().to(http::metrics));
}

/// Handles any request of a caller.
pub(crate) async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    core: SharedCore,
) -> HttpResponse {
    let headers = headers::collect(request.headers());
    let metadata = core.edges().dialect.parse_request(&headers);
    let (number, own_id) = core.next_id();
    let id = metadata.id.clone().unwrap_or(own_id);
    let declared = edge::find(&headers, "content-length").and_then(|value| value.parse().ok());
    let body = match body::read(&core, &id, &mut payload, declared, request.io()).await {
        Ok(body) => body,
        Err(kind) => {
            body::discard(&mut payload, request.io()).await;
            return refuse(&core, kind, &id);
        }
    };
    if !core.wait_until_configured().await {
        return refuse(&core, Kind::NoConfiguration, &id);
    }
    let target = match Target::find(&core, &request, &metadata) {
        Ok(target) => target,
        Err(kind) => return refuse(&core, kind, &id),
    };
    let template = build_template(&request, headers, body, &target);
    let fingerprint = template.fingerprint(&target.workspace);
    let arrival = build_arrival(number, id, fingerprint, &metadata, target);
    relay(&core, &request, arrival, template).await
}

fn build_template(
    request: &HttpRequest,
    headers: Vec<Header>,
    body: bodies::Body,
    target: &Target,
) -> Template {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    Template {
        method: request.method().as_str().into(),
        path: path.into(),
        headers: headers::end_to_end(headers),
        body: body.content,
        held: body.held,
        traceparent: None,
        events: target.events,
        anonymous: target.anonymous,
    }
}

fn build_arrival(
    number: u64,
    id: Arc<str>,
    fingerprint: u64,
    metadata: &Metadata,
    target: Target,
) -> Arrival {
    Arrival {
        id: number,
        fingerprint,
        chat: chat_id(&metadata.prefixes).unwrap_or_else(|| id.clone()),
        prefixes: shareable_prefixes(&metadata.prefixes),
        parts: shareable_parts(&metadata.prefixes),
        request: id,
        workspace: target.workspace,
        kind: target.kind,
        model: target.model,
        idempotency_key: None,
        weight: REQUEST_WEIGHT,
        deadline: metadata.remaining,
        continuation: continuation(metadata).filter(|_| target.events),
    }
}

/// The stream that the caller continues, if the request says so.
fn continuation(metadata: &Metadata) -> Option<Continuation> {
    let Metadata { continues, last_event, .. } = metadata;
    let continues_one = continues.is_some() || last_event.is_some();
    continues_one.then(|| Continuation { stream: continues.clone(), last_event: *last_event })
}

/// The id that groups requests with a common prompt: the last prefix that is not unique to this
/// request.
fn chat_id(prompt: &[Prefix]) -> Option<Arc<str>> {
    let last_shared = prompt.len().checked_sub(2)?;
    Some(prompt[last_shared].id.clone())
}

/// The parts of the prompt that other requests may share: all but the last.
fn shareable(prompt: &[Prefix]) -> &[Prefix] {
    prompt.split_last().map_or(prompt, |(_, shared)| shared)
}

/// Hashes of the shareable parts, each by itself.
fn shareable_parts(prompt: &[Prefix]) -> Vec<u64> {
    let hash = |part: &Prefix| placement::key("part", &part.id);
    shareable(prompt).iter().take(MAX_PARTS).map(hash).collect()
}

/// The shareable prefixes of the prompt, each including all before it.
fn shareable_prefixes(prompt: &[Prefix]) -> Vec<routing::Prefix> {
    let start = routing::Prefix { hash: 0, tokens: 0 };
    let join = |joined: &mut routing::Prefix, prefix: &Prefix| {
        let hash = placement::key(&joined.hash.to_string(), &prefix.id);
        *joined = routing::Prefix { hash, tokens: joined.tokens.saturating_add(prefix.tokens) };
        Some(*joined)
    };
    shareable(prompt).iter().scan(start, join).collect()
}

fn refuse(core: &Core, kind: Kind, id: &str) -> HttpResponse {
    core.reject(id, kind);
    failure(core, &Answer::new(kind, id, core.retry_after_ms(kind), ""))
}

/// An error response of the router.
fn failure(core: &Core, answer: &Answer) -> HttpResponse {
    let mut builder = answer::error(answer);
    for (name, value) in core.edges().dialect.response_headers(&answer.request_id) {
        builder.header(&*name, &*value);
    }
    if let Some(after) = answer.retry_after_ms {
        builder.header("retry-after", format!("{}.{:03}", after / 1_000, after % 1_000));
    }
    if core.should_reconnect(answer.kind) {
        builder.force_close();
    }
    builder.body(answer.to_json())
}

/// Closes connections during a drain, so that callers reconnect to another router.
fn close_if_stopping(core: &Core, builder: &mut HttpResponseBuilder) {
    if core.stop.is_requested() {
        builder.force_close();
    }
}

async fn relay(
    core: &SharedCore,
    request: &HttpRequest,
    arrival: Arrival,
    template: Template,
) -> HttpResponse {
    let events = template.events;
    let mut relay = Relay::start(core.get_ref().clone(), arrival, template);
    let (head, upstream) = match relay.next().await {
        Step::Head(head, upstream) => (head, upstream),
        Step::Failed(answer) | Step::Aborted(answer) => return failure(core, &answer),
        Step::Bytes(_) | Step::Finished => {
            unreachable!("the routing state sends a head first")
        }
    };
    let mut builder = answer::forwarded(&head);
    close_if_stopping(core, &mut builder);
    if events {
        let watchdog = Watchdog::of_stream(core, &relay, request.io());
        let rest = Rest { relay, connection: request.io().cloned(), _watchdog: watchdog };
        let parts = stream::unfold(Some(Box::new(rest)), next_part);
        return builder.streaming(Box::pin(parts));
    }
    let mut collection = core.collections.start(&upstream);
    let mut body = Vec::new();
    loop {
        match relay.next().await {
            Step::Bytes(bytes) if collection.resize(body.len() + bytes.len()) => {
                body.extend_from_slice(&bytes);
            }
            Step::Bytes(_) => relay.refuse_long_response(body.len()),
            Step::Finished if Collected::is_small(&body) => return builder.body(body),
            Step::Finished => {
                let connection = request.io();
                let watchdog = Watchdog::of_answer(core, &relay, connection);
                let request = connection.and_then(|io| core.connections.start_request(io));
                let body = Collected::new(body, collection, request, watchdog);
                return builder.body(Body::from_message(body));
            }
            Step::Failed(answer) | Step::Aborted(answer) => return failure(core, &answer),
            Step::Head(..) => {}
        }
    }
}

type Chunk = Result<ntex::util::Bytes, std::io::Error>;

/// A stream in progress.
struct Rest {
    relay: Relay,
    /// The caller's connection.
    connection: Option<IoRef>,
    /// Ends the connection after the deadline.
    _watchdog: Watchdog,
}

/// The next part of a stream. An incomplete stream ends by closing its connection, since the server
/// would write an error response into it otherwise.
async fn next_part(rest: Option<Box<Rest>>) -> Option<(Chunk, Option<Box<Rest>>)> {
    let mut rest = rest?;
    match rest.relay.next().await {
        Step::Bytes(bytes) => Some((Ok(copy(&bytes)), Some(rest))),
        Step::Finished => None,
        Step::Failed(_) | Step::Aborted(_) | Step::Head(..) => {
            if let Some(connection) = &rest.connection {
                connection.close();
            }
            Some((Err(answer::aborted()), None))
        }
    }
}

fn copy(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
