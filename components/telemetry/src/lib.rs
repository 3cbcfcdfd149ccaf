//! Logs, metrics and traces.
//!
//! Logs are JSON lines, metrics are rendered as Prometheus text. Traces are sent to a
//! collector over OTLP/HTTP if one is configured.

mod log;
mod metrics;
mod trace;

pub use log::{Level, LogGuard, Stream, init_logs};
pub use metrics::Metrics;
pub use trace::{Span, Tracer};
