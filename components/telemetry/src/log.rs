//! Logs as JSON lines.

use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// The least severe level that is logged.
pub type Level = spdlog::Level;

/// Maximum number of lines that are queued for writing. Further lines are dropped, so that
/// logging never blocks a request.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// The output stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, for processes whose output is collected as logs.
    Stdout,
    /// Standard error, for processes that print other output.
    Stderr,
}

/// Keeps the log of a process running; dropping it writes the queued lines.
pub struct LogGuard {
    _pool: Arc<ThreadPool>,
}

impl std::fmt::Debug for LogGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // The thread pool writes the queued lines once the last logger using it is dropped.
        if let Ok(silent) = Logger::builder().build() {
            spdlog::set_default_logger(Arc::new(silent));
        }
    }
}

/// Sets the process's default logger, which writes JSON lines of at least `level` to
/// `stream` from a thread of its own.
///
/// # Errors
///
/// The logger can't be created.
pub fn init_logs(level: Level, stream: Stream) -> Result<LogGuard, spdlog::Error> {
    let formatter = JsonFormatter::new();
    let stream = match stream {
        Stream::Stdout => StdStream::Stdout,
        Stream::Stderr => StdStream::Stderr,
    };
    let sink = StdStreamSink::builder().std_stream(stream).formatter(formatter).build_arc()?;
    let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool.clone())
        .overflow_policy(OverflowPolicy::DropIncoming)
        // Reporting dropped lines would add lines to a full queue.
        .error_handler(|_| {})
        .build_arc()?;
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(LogGuard { _pool: pool })
}
