//! Trace spans of requests and their export to a collector.

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

/// Maximum number of ended spans that are queued; further ones are dropped.
const MAX_QUEUED_SPANS: usize = 4_096;

/// Maximum number of spans in a message to the collector.
const MAX_BATCH_SPANS: usize = 512;

/// How long spans are delayed for a larger batch.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);

/// How long an idle connection to the collector is kept.
const KEEP_ALIVE: Seconds = Seconds(4);

/// The header of the W3C trace context.
const TRACEPARENT_HEADER: &str = "traceparent";

/// Creates the spans of a process, if a collector is configured.
#[derive(Clone, Debug)]
pub struct Tracer(Option<Inner>);

#[derive(Clone, Debug)]
struct Inner {
    tracer: SdkTracer,
    /// Keeps the exporter alive.
    _provider: SdkTracerProvider,
}

/// The span of a request in this process; it ends when dropped.
#[derive(Debug)]
pub struct Span(Option<Context>);

impl Tracer {
    /// Creates a tracer without a collector.
    pub fn disabled() -> Self {
        Self(None)
    }

    /// Creates a tracer for `service` that exports to the collector at `url`, such as
    /// `http://127.0.0.1:4318`. The export task runs on the runtime of the calling thread
    /// and ends when the last clone is dropped.
    pub fn new(service: &str, name: &str, url: &str) -> Self {
        let resource = Resource::builder_empty()
            .with_service_name(service.to_owned())
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let (sender, receiver) = channel(MAX_QUEUED_SPANS);
        let provider = SdkTracerProvider::builder()
            .with_resource(resource.clone())
            .with_simple_exporter(Exporter(sender))
            .build();
        let url = format!("{url}/v1/traces");
        ntex::rt::spawn(send_batches(receiver, url, ResourceAttributesWithSchema::from(&resource)))
            .detach();
        Self(Some(Inner { tracer: provider.tracer("silverstack"), _provider: provider }))
    }

    /// Starts a span, as a child of the received trace context if there is one.
    pub fn span(&self, name: &'static str, traceparent: Option<&str>, request: &str) -> Span {
        let Some(inner) = &self.0 else { return Span(None) };
        let carrier: HashMap<String, String> = traceparent
            .map(|parent| (TRACEPARENT_HEADER.to_owned(), parent.to_owned()))
            .into_iter()
            .collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let attributes = vec![KeyValue::new("request.id", request.to_owned())];
        let builder = inner.tracer.span_builder(name).with_kind(SpanKind::Server);
        let span = inner.tracer.build_with_context(builder.with_attributes(attributes), &parent);
        Span(Some(parent.with_span(span)))
    }
}

impl Span {
    /// Creates a span that is not recorded.
    pub fn disabled() -> Self {
        Self(None)
    }

    /// Returns the trace context for the next process: that of this span, or `received` if
    /// the span is not recorded.
    pub fn traceparent(&self, received: Option<&str>) -> Option<String> {
        let Some(context) = &self.0 else { return received.map(str::to_owned) };
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(context, &mut carrier);
        carrier.remove(TRACEPARENT_HEADER)
    }

    /// Sets an attribute.
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

/// Queues ended spans for the export task.
#[derive(Debug)]
struct Exporter(Sender<SpanData>);

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            // Spans are dropped if the queue is full, so that tracing never blocks a request.
            let _ = self.0.try_send(span);
        }
        Ok(())
    }
}

async fn send_batches(
    mut spans: Receiver<SpanData>,
    url: String,
    resource: ResourceAttributesWithSchema,
) {
    let Ok(client) = process::client(KEEP_ALIVE, process::CONNECT_TIMEOUT).await else { return };
    let mut batch = Vec::new();
    while spans.recv_many(&mut batch, MAX_BATCH_SPANS).await > 0 {
        let _ = tokio::time::timeout(MAX_BATCH_DELAY, fill_batch(&mut spans, &mut batch)).await;
        let spans = std::mem::take(&mut batch);
        let resource_spans = group_spans_by_resource_and_scope(spans, &resource);
        let message = ExportTraceServiceRequest { resource_spans };
        let _ = client.post(&url).timeout(ntex::time::Millis(2_000)).send_json(&message).await;
    }
}

async fn fill_batch(spans: &mut Receiver<SpanData>, batch: &mut Vec<SpanData>) {
    while batch.len() < MAX_BATCH_SPANS && spans.recv_many(batch, MAX_BATCH_SPANS).await > 0 {}
}
