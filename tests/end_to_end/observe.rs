//! Metrics, logs, traces and decisions.

use std::sync::{Arc, Mutex};

use load::Caller;
use nix::sys::signal::Signal;
use ntex::web::{self, HttpResponse};
use serde_json::{Value, json};

use crate::fleet::{Fleet, Layout, chat, until};

/// The received spans.
type Spans = Arc<Mutex<Vec<Value>>>;

/// Starts a trace collector (OTLP over HTTP, as JSON) and returns its URL and spans.
fn start_collector() -> (String, Spans) {
    let spans = Spans::default();
    let shared = spans.clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let factory = async move || {
        web::App::new().state(shared.clone()).route(
            "/v1/traces",
            web::post().to(
                async |body: web::types::Json<Value>, spans: web::types::State<Spans>| {
                    for resource in body["resourceSpans"].as_array().cloned().unwrap_or_default() {
                        for scope in resource["scopeSpans"].as_array().cloned().unwrap_or_default()
                        {
                            let list = scope["spans"].as_array().cloned().unwrap_or_default();
                            spans.lock().expect("no panic").extend(list);
                        }
                    }
                    HttpResponse::Ok().json(&json!({}))
                },
            ),
        )
    };
    let server = web::HttpServer::new(factory).workers(1).disable_signals();
    drop(server.listen(listener).expect("the collector listens").run());
    (format!("http://{address}"), spans)
}

#[ntex::test]
async fn a_request_is_one_trace_with_a_span_for_each_hop() {
    let (url, spans) = start_collector();
    let layout =
        Layout { routers: 1, engines: 1, services: 0, traces_url: Some(url), ..Layout::default() };
    let fleet = Fleet::start(layout).await;
    let answer =
        fleet.chat_caller(0).await.chat(&chat("traced", 3, true)).await.expect("a complete answer");
    let span_named = |name: &str| {
        let spans = spans.lock().expect("no panic");
        spans.iter().find(|span| span["name"] == name).cloned()
    };
    until(|| async { span_named("router").is_some() && span_named("sidecar").is_some() }).await;
    let (router, sidecar) = (
        span_named("router").expect("the span was received"),
        span_named("sidecar").expect("the span was received"),
    );
    assert_eq!(router["traceId"], sidecar["traceId"]);
    assert_eq!(router["spanId"], sidecar["parentSpanId"]);
    let log = fleet.routers[0].log();
    let line = log.iter().find(|line| line["kv"]["request"] == *answer.request);
    assert_eq!(line.expect("the request is logged")["kv"]["trace"], router["traceId"]);
    let log = fleet.sidecars["engine-1"].log();
    let line = log.iter().find(|line| line["kv"]["request"] == *answer.request);
    assert_eq!(line.expect("the call is logged")["kv"]["trace"], router["traceId"]);
}

#[ntex::test]
async fn metrics_and_decisions_describe_the_request() {
    let fleet = Fleet::start(Layout { routers: 1, ..Layout::default() }).await;
    let caller = fleet.chat_caller(0).await;
    let answer = caller.chat(&chat("seen", 3, true)).await.expect("a complete answer");
    let unauthorized = Caller::new(&fleet.url(0), "mesa", "wrong").await.expect("a client");
    unauthorized.chat(&chat("unseen", 3, true)).await.expect_err("the request is refused");

    let text = caller.text("/metrics").await.expect("a page");
    for line in [
        "silverstack_requests_total{outcome=\"ran\"} 1",
        "silverstack_requests_total{outcome=\"not_run\"} 1",
        "silverstack_refusals_total{kind=\"unauthorized\"} 1",
        "silverstack_attempts_total 1",
        "silverstack_first_token_seconds_count 1",
        "silverstack_control_bytes_total{kind=\"hosts\"}",
    ] {
        assert!(text.contains(line), "{line} is not in:\n{text}");
    }
    let decision = caller.page(&format!("/v1/explain/{}", answer.request)).await.expect("a page");
    assert_eq!(decision["intent"], "menus");
    assert_eq!(decision["outcome"], "ran");
    assert_eq!(decision["generation"], 1);
    assert_eq!(decision["tries"][0]["upstream"], *answer.upstream);

    let sidecar = format!("http://{}", fleet.sidecars[&answer.upstream].address("admin"));
    let text = caller.at(&sidecar).text("/metrics").await.expect("a page");
    assert!(text.contains("silverstack_requests_total{outcome=\"ran\"} 1"), "{text}");
    assert!(text.contains("silverstack_queue_seconds_count 1"), "{text}");
}

#[ntex::test]
async fn a_router_is_ready_only_with_an_upstream_and_before_draining() {
    let router = json!({ "drain_notice_ms": 2_000 });
    let layout = Layout { routers: 0, engines: 0, services: 0, router, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await;
    fleet.start_router();
    let caller = fleet.chat_caller(0).await;
    assert_eq!(caller.status("/healthz").await.expect("an answer"), 200);
    assert_eq!(caller.status("/readyz").await.expect("an answer"), 503);
    fleet.layout.services = 1;
    let latency = fleet.layout.latency;
    let service = standin::PlainService::start("127.0.0.1:0", "pickup-1", latency)
        .expect("the stand-in starts");
    fleet.services.push(service);
    fleet.start_sidecar("pickup-1");
    until(|| async { caller.status("/readyz").await.ok() == Some(200) }).await;
    fleet.routers[0].signal(Signal::SIGTERM);
    until(|| async { caller.status("/readyz").await.ok() == Some(503) }).await;
    let keyed_caller = fleet.call_caller(0).await;
    let late = keyed_caller.call("pickup", "/late", Some("late"), "{}").await;
    late.expect("requests are accepted during the drain notice");
    assert_eq!(fleet.routers[0].wait_for_exit().await.code(), Some(0));
}
