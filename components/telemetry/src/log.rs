//! JSON-lines logs.

use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// How much is logged.
pub type Level = spdlog::Level;

/// How many lines wait for a reader that is slow; about 2 MB. Lines beyond are
/// dropped: a log never holds up a request.
const MAX_WAITING: NonZeroUsize = NonZeroUsize::new(4_096).expect("above zero");

/// Where logs go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, where the platform collects them.
    Stdout,
    /// Standard error, beside what a person reads on standard output.
    Stderr,
}

/// The log of a process; the lines that wait are written when it is dropped.
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
        // The pool finishes what waits when its last user, the logger, is gone.
        if let Ok(silent) = Logger::builder().build() {
            spdlog::set_default_logger(Arc::new(silent));
        }
    }
}

/// Makes JSON lines on `stream` the default of the process; lines below `level`
/// are left out. A thread of their own writes them.
///
/// # Errors
///
/// The logger can't be built.
pub fn init_logs(level: Level, stream: Stream) -> Result<LogGuard, spdlog::Error> {
    let formatter = JsonFormatter::new();
    let stream = match stream {
        Stream::Stdout => StdStream::Stdout,
        Stream::Stderr => StdStream::Stderr,
    };
    let sink = StdStreamSink::builder().std_stream(stream).formatter(formatter).build_arc()?;
    let pool = ThreadPool::builder().capacity(MAX_WAITING).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool.clone())
        .overflow_policy(OverflowPolicy::DropIncoming)
        // Telling of a dropped line would be one more line.
        .error_handler(|_| {})
        .build_arc()?;
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(LogGuard { _pool: pool })
}
