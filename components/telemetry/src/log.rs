//! JSON-lines logs.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// How much is logged.
pub type Level = spdlog::Level;

/// Where logs go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, where the platform collects them.
    Output,
    /// Standard error, beside what a person reads on standard output.
    Error,
}

/// Makes JSON lines on `stream` the default of the process; lines below `level`
/// are left out.
///
/// # Errors
///
/// The logger can't be built.
pub fn logs(level: Level, stream: Stream) -> Result<(), spdlog::Error> {
    let formatter = JsonFormatter::new();
    let stream = match stream {
        Stream::Output => StdStream::Stdout,
        Stream::Error => StdStream::Stderr,
    };
    let sink = StdStreamSink::builder().std_stream(stream).formatter(formatter).build_arc()?;
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
