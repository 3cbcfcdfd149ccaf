//! JSON-lines logs on standard error.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// How much is logged.
pub type Level = spdlog::Level;

/// Makes JSON lines on standard error the default of the process; lines below
/// `level` are left out.
///
/// # Errors
///
/// The logger can't be built.
pub fn logs(level: Level) -> Result<(), spdlog::Error> {
    let formatter = JsonFormatter::new();
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(formatter).build_arc()?;
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
