//! Ends the connections of callers that don't read.

use std::time::Duration;

use ntex::io::IoRef;
use tokio::task::JoinSet;

/// Ends a connection after a time; stopped when dropped.
#[derive(Debug)]
pub(crate) struct Watchdog {
    _task: JoinSet<()>,
}

impl Watchdog {
    /// Ends `connection` after `time`, if there is one, and then calls `report`.
    pub(crate) fn start(
        connection: Option<IoRef>,
        time: Duration,
        report: impl FnOnce() + 'static,
    ) -> Self {
        let mut task = JoinSet::new();
        if let Some(connection) = connection {
            task.spawn_local(async move {
                tokio::time::sleep(time).await;
                connection.terminate();
                report();
            });
        }
        Self { _task: task }
    }
}
