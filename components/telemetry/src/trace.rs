//! A span for each hop.

use std::collections::HashMap;
use std::time::Duration;

use ntex::time::Seconds;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer as _, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::transform::common::tonic::ResourceAttributesWithSchema;
use opentelemetry_proto::transform::trace::tonic::group_spans_by_resource_and_scope;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Ended spans that wait to be sent; further ones are dropped.
const WAITING: usize = 4_096;

/// The most spans of one message to the collector.
const BATCH: usize = 512;

/// How long spans may wait for others to go with them.
const LINGER: Duration = Duration::from_millis(500);

/// How long an idle connection to the collector is kept.
const KEEP_ALIVE: Seconds = Seconds(4);

/// The header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

/// Makes the spans of a process, if a collector is named.
#[derive(Clone, Debug)]
pub struct Tracer(Option<Inner>);

#[derive(Clone, Debug)]
struct Inner {
    tracer: SdkTracer,
    /// Keeps the exporter alive.
    _provider: SdkTracerProvider,
}

/// One hop of a request; it ends when dropped.
#[derive(Debug)]
pub struct Span(Option<Context>);

impl Tracer {
    /// A tracer that makes no spans.
    pub fn disabled() -> Self {
        Self(None)
    }

    /// A tracer of `service` that sends to the collector at `url`, such as
    /// `http://127.0.0.1:4318`. The sending task belongs to the runtime of the
    /// calling thread and ends when the last clone is dropped.
    pub fn new(service: &str, name: &str, url: &str) -> Self {
        let resource = Resource::builder_empty()
            .with_service_name(service.to_owned())
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let (sender, receiver) = channel(WAITING);
        let provider = SdkTracerProvider::builder()
            .with_resource(resource.clone())
            .with_simple_exporter(Exporter(sender))
            .build();
        let url = format!("{url}/v1/traces");
        ntex::rt::spawn(send(receiver, url, ResourceAttributesWithSchema::from(&resource)))
            .detach();
        Self(Some(Inner { tracer: provider.tracer("silverstack"), _provider: provider }))
    }

    /// Begins a hop under the trace context that came, if one did.
    pub fn span(&self, name: &'static str, traceparent: Option<&str>, request: &str) -> Span {
        let Some(inner) = &self.0 else { return Span(None) };
        let carrier: HashMap<String, String> =
            traceparent.map(|it| (TRACEPARENT.to_owned(), it.to_owned())).into_iter().collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let attributes = vec![KeyValue::new("request.id", request.to_owned())];
        let builder = inner.tracer.span_builder(name).with_kind(SpanKind::Server);
        let span = inner.tracer.build_with_context(builder.with_attributes(attributes), &parent);
        Span(Some(parent.with_span(span)))
    }
}

impl Span {
    /// A hop that nobody traces.
    pub fn disabled() -> Self {
        Self(None)
    }

    /// The trace context for the next hop; `came` if this one is not traced.
    pub fn traceparent(&self, came: Option<&str>) -> Option<String> {
        let Some(context) = &self.0 else { return came.map(str::to_owned) };
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }

    /// Adds an attribute.
    pub fn set(&self, name: &'static str, value: impl Into<String>) {
        if let Some(context) = &self.0 {
            context.span().set_attribute(KeyValue::new(name, value.into()));
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(context) = &self.0 {
            context.span().end();
        }
    }
}

/// Hands ended spans to the sending task.
#[derive(Debug)]
struct Exporter(Sender<SpanData>);

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            // Tracing never holds a request up: what does not fit is lost.
            let _ = self.0.try_send(span);
        }
        Ok(())
    }
}

async fn send(mut spans: Receiver<SpanData>, url: String, resource: ResourceAttributesWithSchema) {
    let Ok(client) = process::client(KEEP_ALIVE, process::CONNECT_TIMEOUT).await else { return };
    let mut batch = Vec::new();
    while spans.recv_many(&mut batch, BATCH).await > 0 {
        let _ = tokio::time::timeout(LINGER, fill(&mut spans, &mut batch)).await;
        let spans = std::mem::take(&mut batch);
        let resource_spans = group_spans_by_resource_and_scope(spans, &resource);
        let message = ExportTraceServiceRequest { resource_spans };
        let _ = client.post(&url).timeout(ntex::time::Millis(2_000)).send_json(&message).await;
    }
}

async fn fill(spans: &mut Receiver<SpanData>, batch: &mut Vec<SpanData>) {
    while batch.len() < BATCH && spans.recv_many(batch, BATCH).await > 0 {}
}
