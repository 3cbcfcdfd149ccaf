//! Logs, metrics and traces.

mod log;

pub use log::{Level, logs};
