//! Metrics of a process.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_prometheus_text_exporter::PrometheusExporter;
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Bucket boundaries of the time histograms.
const BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.47, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The metric instruments of a process.
#[derive(Debug)]
pub struct Metrics {
    exporter: PrometheusExporter,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    share_refusals: Counter<u64>,
    continuations: Counter<u64>,
    control_bytes: Counter<u64>,
    changes: Counter<u64>,
    state_sizes: Gauge<u64>,
    first_token: Histogram<f64>,
    queue: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments of `service`.
    pub fn new(service: &'static str) -> Self {
        let exporter = PrometheusExporter::builder().without_scope_info().build();
        let provider = SdkMeterProvider::builder().with_reader(exporter.clone()).build();
        let meter = provider.meter(service);
        let histogram = |name, description| {
            let builder = meter.f64_histogram(name).with_unit("s").with_description(description);
            builder.with_boundaries(BUCKETS_SECONDS.to_vec()).build()
        };
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        Self {
            requests: counter("silverstack_requests", "Requests that ended, by outcome"),
            refusals: counter("silverstack_refusals", "Errors answered, by kind"),
            attempts: counter("silverstack_attempts", "Attempts to send requests to upstreams"),
            share_refusals: counter(
                "silverstack_share_refusals",
                "Refusals in a pool that is short, by the workspace's standing",
            ),
            continuations: counter(
                "silverstack_continuations",
                "Attempts to continue a stream, by who asked and the upstream's version",
            ),
            control_bytes: counter(
                "silverstack_control_bytes",
                "Bytes of control traffic, by kind",
            ),
            changes: counter("silverstack_beliefs", "Changes of what is believed, by kind"),
            state_sizes: meter
                .u64_gauge("silverstack_held")
                .with_description("What is held, by kind")
                .build(),
            first_token: histogram("silverstack_first_token", "From arrival to the answer's head"),
            queue: histogram("silverstack_queue", "From arrival at the sidecar to the upstream"),
            exporter,
            _provider: provider,
        }
    }

    /// Counts an ended request by its outcome (`ran`, `not_run` or `unknown`) and error kind.
    pub fn record_request(&self, outcome: &'static str, error: Option<&'static str>) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        if let Some(kind) = error {
            self.refusals.add(1, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts the attempts of a request.
    pub fn record_attempts(&self, number: usize) {
        self.attempts.add(number as u64, &[]);
    }

    /// Counts a refusal in a saturated pool by the usage of the workspace, which is `below`,
    /// `at` or `over` its share.
    pub fn record_share_refusal(&self, pool: &str, standing: &'static str) {
        let pool = KeyValue::new("pool", pool.to_owned());
        self.share_refusals.add(1, &[pool, KeyValue::new("standing", standing)]);
    }

    /// Counts an attempt to continue a stream. `by` is `router` or `caller`; `version` tells whether
    /// the upstream runs the version that began the stream: `same`, `other` or `unknown`.
    pub fn record_continuation(&self, by: &'static str, version: &'static str) {
        self.continuations.add(1, &[KeyValue::new("by", by), KeyValue::new("version", version)]);
    }

    /// Counts bytes of control traffic by kind, such as `hosts` or `report`.
    pub fn record_control(&self, kind: &'static str, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a change of the process's state by kind, such as `domain_left` or
    /// `upstream_cold`.
    pub fn record_change(&self, kind: &'static str) {
        self.changes.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets the size of in-memory state of a kind, such as `answer_bytes` or
    /// `router_connections`.
    pub fn set_state_size(&self, kind: &'static str, size: usize) {
        self.state_sizes.record(size as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time from a request's arrival to the head of its answer, in milliseconds.
    pub fn record_first_token(&self, ms: u64) {
        self.first_token.record(seconds(ms), &[]);
    }

    /// Records a request's time in the sidecar's queue, in milliseconds.
    pub fn record_queue_time(&self, ms: u64) {
        self.queue.record(seconds(ms), &[]);
    }

    /// Returns all metrics as Prometheus text.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match self.exporter.export(&mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# can't read the metrics: {error}\n"),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^53 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
