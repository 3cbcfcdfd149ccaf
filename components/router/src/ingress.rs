//! Callers that speak a platform's dialect.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use edge::{Header, Metadata, Prefix};
use errors::{Answer, Kind};
use futures_util::stream;
use ntex::io::IoRef;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, HttpResponseBuilder};
use routing::Arrival;

use crate::core::Core;
use crate::relay::{Relay, Step};
use crate::target::Target;
use crate::template::Template;
use crate::{answer, body, headers, http};

/// The load of one request: upstreams that are reached directly are compared
/// by requests.
const WEIGHT: u64 = 1;

type Shared = State<Rc<Core>>;

/// The pages for operators and the platform.
pub(crate) fn operators(config: &mut web::ServiceConfig, ready: &str) {
    config
        .route(ready, web::get().to(http::ready))
        .route("/readyz", web::get().to(http::ready))
        .route("/status", web::get().to(http::status))
        .route("/metrics", web::get().to(http::metrics));
}

/// Takes any request of a caller.
pub(crate) async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    core: Shared,
) -> HttpResponse {
    let headers = headers::collect(request.headers());
    let intake = core.edges().dialect.parse_request(&headers);
    let (number, own_id) = core.number();
    let id = intake.id.clone().unwrap_or(own_id);
    let declared = edge::find(&headers, "content-length").and_then(|it| it.parse().ok());
    let body = match body::read(&mut payload, declared, &core.settings).await {
        Ok(body) => body,
        Err(kind) => return refuse(&core, kind, &id),
    };
    if !core.configured().await {
        return refuse(&core, Kind::NoConfiguration, &id);
    }
    let target = match Target::find(&core, &request, &intake) {
        Ok(target) => target,
        Err(kind) => return refuse(&core, kind, &id),
    };
    let template = template(&request, headers, body, &target);
    let content = template.content(&target.workspace);
    let ask = ask(number, id, content, &intake, target);
    relay(&core, &request, ask, template).await
}

fn template(request: &HttpRequest, headers: Vec<Header>, body: Bytes, target: &Target) -> Template {
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
    Template {
        method: request.method().as_str().into(),
        path: path.into(),
        headers: headers::end_to_end(headers),
        body,
        traceparent: None,
        events: target.events,
        anonymous: target.anonymous,
    }
}

fn ask(number: u64, id: Arc<str>, content: u64, intake: &Metadata, target: Target) -> Arrival {
    Arrival {
        id: number,
        fingerprint: content,
        chat: chat(&intake.prefixes).unwrap_or_else(|| id.clone()),
        prefixes: shared(&intake.prefixes),
        request: id,
        workspace: target.workspace,
        kind: target.kind,
        model: target.model,
        idempotency_key: None,
        weight: WEIGHT,
        deadline: intake.remaining,
    }
}

/// What keeps the requests together that share most of their prompt: the last
/// part that is not of one request alone.
fn chat(prompt: &[Prefix]) -> Option<Arc<str>> {
    let shared = prompt.len().checked_sub(2)?;
    Some(prompt[shared].id.clone())
}

/// The parts of the prompt that others may share, each with all before.
fn shared(prompt: &[Prefix]) -> Vec<routing::Prefix> {
    let parts = prompt.split_last().map_or(prompt, |(_, shared)| shared);
    let start = routing::Prefix { hash: 0, tokens: 0 };
    let join = |before: &mut routing::Prefix, part: &Prefix| {
        let hash = placement::key(&before.hash.to_string(), &part.id);
        *before = routing::Prefix { hash, tokens: before.tokens.saturating_add(part.tokens) };
        Some(*before)
    };
    parts.iter().scan(start, join).collect()
}

fn refuse(core: &Core, kind: Kind, id: &str) -> HttpResponse {
    core.reject(id, kind);
    failure(core, &Answer::new(kind, id, core.retry_after_ms(kind), ""))
}

/// An answer of the fleet's own.
fn failure(core: &Core, answer: &Answer) -> HttpResponse {
    let mut builder = answer::error(answer);
    for (name, value) in core.edges().dialect.response_headers(&answer.request_id) {
        builder.header(&*name, &*value);
    }
    if let Some(after) = answer.retry_after_ms {
        builder.header("retry-after", format!("{}.{:03}", after / 1_000, after % 1_000));
    }
    if core.sends_away(answer.kind) {
        builder.force_close();
    }
    builder.body(answer.to_json())
}

/// A router that is being stopped asks callers for a new connection, which
/// leads to another router.
fn close_if_stopping(core: &Core, builder: &mut HttpResponseBuilder) {
    if core.stop.is_asked() {
        builder.force_close();
    }
}

async fn relay(
    core: &Shared,
    request: &HttpRequest,
    ask: Arrival,
    template: Template,
) -> HttpResponse {
    let events = template.events;
    let mut relay = Relay::start(core.get_ref().clone(), ask, template);
    let head = match relay.next().await {
        Step::Head(head, _) => head,
        Step::Failed(answer) | Step::Cut(answer) => return failure(core, &answer),
        Step::Bytes(_) | Step::Finished => {
            unreachable!("the reducer gives a head first")
        }
    };
    let mut builder = answer::passed_on(&head);
    close_if_stopping(core, &mut builder);
    if events {
        let connection = request.io().cloned();
        let parts = stream::unfold(Some((Box::new(relay), connection)), part);
        return builder.streaming(Box::pin(parts));
    }
    let mut whole = Vec::new();
    loop {
        match relay.next().await {
            Step::Bytes(bytes) => whole.extend_from_slice(&bytes),
            Step::Finished => return builder.body(whole),
            Step::Failed(answer) | Step::Cut(answer) => return failure(core, &answer),
            Step::Head(..) => {}
        }
    }
}

type Chunk = Result<ntex::util::Bytes, std::io::Error>;

/// A stream on its way, and the caller's connection.
type Rest = Option<(Box<Relay>, Option<IoRef>)>;

/// The next part of a stream. One that will not be whole ends with its
/// connection: the server would write an answer of its own into the stream
/// otherwise.
async fn part(rest: Rest) -> Option<(Chunk, Rest)> {
    let (mut relay, connection) = rest?;
    match relay.next().await {
        Step::Bytes(bytes) => Some((Ok(copy(&bytes)), Some((relay, connection)))),
        Step::Finished => None,
        Step::Failed(_) | Step::Cut(_) | Step::Head(..) => {
            if let Some(connection) = connection {
                connection.close();
            }
            Some((Err(answer::broken()), None))
        }
    }
}

fn copy(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}
