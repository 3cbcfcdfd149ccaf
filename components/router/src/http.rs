//! HTTP endpoints of a router outside of a platform.

use std::rc::Rc;
use std::sync::Arc;

use clock::Millis;
use edge::Header;
use errors::{Answer, Kind};
use futures_util::stream;
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use routing::Arrival;
use serde_json::json;

use crate::answer::{self, REQUEST_ID, UPSTREAM, event};
use crate::bodies::Body;
use crate::core::Core;
use crate::prompt::Prompt;
use crate::relay::{Relay, Step};
use crate::template::Template;
use crate::watchdog::Watchdog;
use crate::{body, headers, key};

/// The kind of a chat request that names none.
const DEFAULT_KIND: &str = "chat";

/// The load of a call to a plain service, in tokens. Small enough that only slots and queues limit
/// plain services: a call with a key has one owner and can't be moved.
const PLAIN_WEIGHT: u64 = 1;

/// Request headers that are forwarded to the upstream.
const FORWARDED: [&str; 3] = ["content-type", "accept", "last-event-id"];

type SharedCore = State<Rc<Core>>;

pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/services/{kind}", web::route().to(service))
        .route("/v1/services/{kind}/{path}*", web::route().to(service))
        .route("/v1/keys/{kind}", web::post().to(mint_key))
        .route("/v1/explain/{request}", web::get().to(explain))
        .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
        .route("/readyz", web::get().to(ready))
        .route("/status", web::get().to(status))
        .route("/metrics", web::get().to(metrics))
        .route("/{path}*", web::route().to(not_found));
}

/// An authenticated caller and the ids of its request.
struct Caller {
    workspace: Arc<str>,
    id: u64,
    request: Arc<str>,
}

impl Caller {
    /// Checks the workspace key: `Authorization: Bearer WORKSPACE:KEY`.
    fn check(core: &Core, request: &HttpRequest) -> Result<Self, HttpResponse> {
        let (id, public_id) = core.next_id();
        let refuse = |kind| Err(refusal(core, kind, &public_id, ""));
        let Some(plan) = core.plan() else {
            return refuse(Kind::NoConfiguration);
        };
        let token =
            header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
        let Some((workspace, key)) = token.and_then(|token| token.split_once(':')) else {
            return refuse(Kind::Unauthorized);
        };
        if !plan.authenticate(workspace, key) {
            return refuse(Kind::Unauthorized);
        }
        Ok(Self { workspace: workspace.into(), id, request: public_id })
    }

    fn refuse(&self, core: &Core, kind: Kind, detail: &str) -> HttpResponse {
        refusal(core, kind, &self.request, detail)
    }
}

fn refusal(core: &Core, kind: Kind, request: &str, detail: &str) -> HttpResponse {
    core.reject(request, kind);
    answer::response(&Answer::new(kind, request, 0, detail))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    headers::text(request.headers(), name)
}

fn content_length(request: &HttpRequest) -> Option<usize> {
    header(request, "content-length").and_then(|value| value.parse().ok())
}

/// The deadline set by the caller: `X-Deadline-Ms`.
fn deadline(request: &HttpRequest) -> Option<Millis> {
    header(request, "x-deadline-ms").and_then(|value| value.parse().ok()).map(Millis)
}

fn build_template(request: &HttpRequest, path: String, body: Body) -> Template {
    let headers = FORWARDED
        .iter()
        .filter_map(|name| Some(((*name).into(), header(request, name)?.into())))
        .collect();
    Template {
        method: request.method().as_str().into(),
        path: path.into(),
        headers,
        body: body.content,
        held: body.held,
        traceparent: header(request, "traceparent").map(Into::into),
        events: false,
        anonymous: false,
    }
}

/// The authenticated caller and the whole body, or the refusal.
async fn receive(
    core: &Core,
    request: &HttpRequest,
    mut payload: Payload,
) -> Result<(Caller, Body), HttpResponse> {
    let caller = match Caller::check(core, request) {
        Ok(caller) => caller,
        Err(refusal) => {
            body::discard(&mut payload, request.io()).await;
            return Err(refusal);
        }
    };
    match body::read(core, &caller.request, &mut payload, content_length(request), request.io())
        .await
    {
        Ok(body) => Ok((caller, body)),
        Err(kind) => {
            body::discard(&mut payload, request.io()).await;
            Err(caller.refuse(core, kind, ""))
        }
    }
}

async fn chat(request: HttpRequest, payload: Payload, core: SharedCore) -> HttpResponse {
    let (caller, body) = match receive(&core, &request, payload).await {
        Ok(received) => received,
        Err(refusal) => return refusal,
    };
    let prompt = match Prompt::parse(&body.content.to_bytes()) {
        Ok(prompt) => prompt,
        Err(error) => return caller.refuse(&core, Kind::Malformed, &error),
    };
    let kind = header(&request, "x-request-kind").unwrap_or(DEFAULT_KIND);
    let mut template = build_template(&request, "/v1/chat/completions".to_owned(), body);
    template.set_json_content_type();
    let arrival = Arrival {
        id: caller.id,
        fingerprint: template.fingerprint(&caller.workspace),
        request: caller.request,
        workspace: caller.workspace,
        kind: kind.into(),
        model: Some(prompt.model),
        chat: prompt.chat,
        parts: Vec::new(),
        idempotency_key: None,
        prefixes: Vec::new(),
        weight: prompt.weight,
        deadline: deadline(&request),
        continuation: None,
    };
    relay(&core, &request, arrival, template).await
}

async fn service(request: HttpRequest, payload: Payload, core: SharedCore) -> HttpResponse {
    let (caller, body) = match receive(&core, &request, payload).await {
        Ok(received) => received,
        Err(refusal) => return refusal,
    };
    let key = header(&request, "idempotency-key");
    if key.is_some_and(|key| key.is_empty() || key.len() > key::MAX_KEY) {
        return caller.refuse(&core, Kind::Malformed, "Idempotency-Key: 1 to 200 bytes");
    }
    let kind = request.match_info().get("kind").unwrap_or("").to_owned();
    let idempotency_key = key.map(|key| key::parse(&caller.workspace, key));
    let chat =
        idempotency_key.as_ref().map_or_else(|| caller.request.clone(), |key| key.key.clone());
    let template = build_template(&request, service_path(&request, &kind), body);
    let arrival = Arrival {
        id: caller.id,
        fingerprint: template.fingerprint(&caller.workspace),
        request: caller.request,
        workspace: caller.workspace,
        kind: kind.as_str().into(),
        model: None,
        chat,
        idempotency_key,
        prefixes: Vec::new(),
        parts: Vec::new(),
        weight: PLAIN_WEIGHT,
        deadline: deadline(&request),
        continuation: None,
    };
    relay(&core, &request, arrival, template).await
}

/// The path and query after `/v1/services/KIND`.
fn service_path(request: &HttpRequest, kind: &str) -> String {
    let path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let prefix = format!("/v1/services/{kind}");
    let rest = path.strip_prefix(&prefix).unwrap_or("");
    if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") }
}

async fn relay(
    core: &SharedCore,
    http: &HttpRequest,
    arrival: Arrival,
    template: Template,
) -> HttpResponse {
    let request = arrival.request.clone();
    let mut relay = Relay::start(core.get_ref().clone(), arrival, template);
    let (head, upstream) = match relay.next().await {
        Step::Head(head, upstream) => (head, upstream),
        Step::Failed(answer) | Step::Aborted(answer) => return answer::response(&answer),
        Step::Bytes(_) | Step::Finished => return refusal(core, Kind::Crossed, &request, ""),
    };
    let is_events = |(name, value): &Header| {
        &**name == "content-type" && value.starts_with("text/event-stream")
    };
    let events = head.headers.iter().any(is_events);
    let mut builder = answer::forwarded(&head);
    builder.header(REQUEST_ID, &*request);
    builder.header(UPSTREAM, &*upstream);
    if let Some(traceparent) = relay.traceparent() {
        builder.header("traceparent", traceparent);
    }
    let connection = http.io();
    let watchdog = if events {
        Watchdog::of_stream(core, &relay, connection)
    } else {
        Watchdog::of_answer(core, &relay, connection)
    };
    let rest = Rest::Answer(Box::new(relay), watchdog);
    let parts = stream::unfold(rest, move |rest| next_part(rest, events));
    builder.streaming(Box::pin(parts))
}

/// The rest of a response body.
enum Rest {
    /// An answer that its caller is to read in time.
    Answer(Box<Relay>, Watchdog),
    /// Abort the connection, so that the response isn't taken to be complete.
    Abort,
    Nothing,
}

type Part = Result<ntex::util::Bytes, std::io::Error>;

/// The next part of the body. An incomplete response ends with an error event if it is a stream of
/// events, and always with an aborted connection.
async fn next_part(rest: Rest, events: bool) -> Option<(Part, Rest)> {
    let aborted = || Some((Err(answer::aborted()), Rest::Nothing));
    let (mut relay, watchdog) = match rest {
        Rest::Answer(relay, watchdog) => (relay, watchdog),
        Rest::Abort => return aborted(),
        Rest::Nothing => return None,
    };
    match relay.next().await {
        Step::Bytes(bytes) => {
            let bytes = ntex::util::Bytes::copy_from_slice(&bytes);
            Some((Ok(bytes), Rest::Answer(relay, watchdog)))
        }
        Step::Finished => None,
        Step::Failed(answer) | Step::Aborted(answer) if events => {
            Some((Ok(event(&answer).into()), Rest::Abort))
        }
        Step::Failed(_) | Step::Aborted(_) | Step::Head(..) => aborted(),
    }
}

async fn mint_key(request: HttpRequest, kind: Path<String>, core: SharedCore) -> HttpResponse {
    let caller = match Caller::check(&core, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refusal,
    };
    match core.owner(&caller.workspace, &kind, &caller.request) {
        Some(owner) => HttpResponse::Ok().json(&json!({ "key": key::generate(&owner) })),
        None => caller.refuse(&core, Kind::NoUpstream, ""),
    }
}

async fn explain(request: HttpRequest, id: Path<String>, core: SharedCore) -> HttpResponse {
    let caller = match Caller::check(&core, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refusal,
    };
    let decision = core.decisions.borrow().find(&id);
    match decision.filter(|decision| decision.workspace == caller.workspace) {
        Some(decision) => HttpResponse::Ok().json(&*decision),
        None => caller.refuse(&core, Kind::NotFound, &id),
    }
}

pub(crate) async fn ready(core: SharedCore) -> HttpResponse {
    if core.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

pub(crate) async fn status(core: SharedCore) -> HttpResponse {
    HttpResponse::Ok().json(&core.status())
}

pub(crate) async fn metrics(core: SharedCore) -> HttpResponse {
    core.fleet().record_metrics(&core.metrics);
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(core.metrics.render())
}

async fn not_found(request: HttpRequest, mut payload: Payload, core: SharedCore) -> HttpResponse {
    body::discard(&mut payload, request.io()).await;
    let (_, request) = core.next_id();
    refusal(&core, Kind::NotFound, &request, "")
}
