//! What a process counts.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_prometheus_text_exporter::PrometheusExporter;
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// The bounds of the histograms of time, in seconds.
const SECONDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.47, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The instruments of a process.
#[derive(Debug)]
pub struct Metrics {
    exporter: PrometheusExporter,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    standings: Counter<u64>,
    control: Counter<u64>,
    beliefs: Counter<u64>,
    held: Gauge<u64>,
    first_token: Histogram<f64>,
    queue: Histogram<f64>,
}

impl Metrics {
    /// The instruments of the process `service`.
    pub fn new(service: &'static str) -> Self {
        let exporter = PrometheusExporter::builder().without_scope_info().build();
        let provider = SdkMeterProvider::builder().with_reader(exporter.clone()).build();
        let meter = provider.meter(service);
        let time = |name, what| {
            let histogram = meter.f64_histogram(name).with_unit("s").with_description(what);
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        let count = |name, what| meter.u64_counter(name).with_description(what).build();
        Self {
            requests: count("silverstack_requests", "Requests that ended, by outcome"),
            refusals: count("silverstack_refusals", "Errors answered, by kind"),
            attempts: count("silverstack_attempts", "Attempts sent to sidecars"),
            standings: count(
                "silverstack_share_refusals",
                "Refusals in a pool that is short, by the workspace's standing",
            ),
            control: count("silverstack_control_bytes", "Bytes of control traffic, by kind"),
            beliefs: count("silverstack_beliefs", "Changes of what is believed, by kind"),
            held: meter
                .u64_gauge("silverstack_held")
                .with_description("What is held, by kind")
                .build(),
            first_token: time("silverstack_first_token", "From arrival to the answer's head"),
            queue: time("silverstack_queue", "From arrival at the sidecar to the upstream"),
            exporter,
            _provider: provider,
        }
    }

    /// Counts a request that ended: `ran`, `not_run` or `unknown`, and the kind
    /// of its error.
    pub fn record_request(&self, outcome: &'static str, error: Option<&'static str>) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        if let Some(kind) = error {
            self.refusals.add(1, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts attempts.
    pub fn record_attempts(&self, count: usize) {
        self.attempts.add(count as u64, &[]);
    }

    /// Counts a refusal in a `pool` that is short: `below`, `at` or `over` the workspace's share.
    pub fn record_share_refusal(&self, pool: &str, standing: &'static str) {
        let pool = KeyValue::new("pool", pool.to_owned());
        self.standings.add(1, &[pool, KeyValue::new("standing", standing)]);
    }

    /// Counts control traffic: `hosts`, `report`, `greeting` and so on.
    pub fn record_control(&self, kind: &'static str, bytes: usize) {
        self.control.add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a change of what the process believes: `domain_left`, `upstream_cold` and so on.
    pub fn record_change(&self, kind: &'static str) {
        self.beliefs.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Tells how much is held of a kind: `answer_bytes`, `hearers` and so on.
    pub fn set_held(&self, kind: &'static str, count: usize) {
        self.held.record(count as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time to an answer's head, in milliseconds.
    pub fn record_first_token(&self, ms: u64) {
        self.first_token.record(seconds(ms), &[]);
    }

    /// Records a wait in the queue, in milliseconds.
    pub fn record_queue_time(&self, ms: u64) {
        self.queue.record(seconds(ms), &[]);
    }

    /// Everything as Prometheus text.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match self.exporter.export(&mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(fault) => format!("# the metrics can't be read: {fault}\n"),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^53 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
