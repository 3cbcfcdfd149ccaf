//! Logs, metrics and traces.
//!
//! Logs are JSON lines, metrics are read as Prometheus text, traces go over
//! OTLP/HTTP to a collector where the settings name one and are off elsewhere.

mod log;
mod metrics;
mod trace;

pub use log::{Level, LogGuard, Stream, init_logs};
pub use metrics::Metrics;
pub use trace::{Span, Tracer};
