//! Ends the connections of callers that don't read their answers.

use std::sync::Arc;
use std::time::Duration;

use ntex::io::IoRef;
use tokio::task::JoinSet;

use crate::core::Core;
use crate::relay::Relay;
use crate::report;

/// How long after its deadline an answer may still be written.
const WRITE_GRACE: Duration = Duration::from_millis(500);

/// How long the writing of a whole answer may take at least.
const MIN_WRITE_TIME: Duration = Duration::from_secs(5);

/// Ends a connection after a time; stopped when dropped.
#[derive(Debug)]
pub(crate) struct Watchdog {
    _task: JoinSet<()>,
}

impl Watchdog {
    /// Ends the connection of a stream after the deadline of its request.
    pub(crate) fn of_stream(core: &Core, relay: &Relay, connection: Option<&IoRef>) -> Self {
        Self::start(relay.request(), connection, remaining(core, relay))
    }

    /// Ends the connection of another answer after the deadline of its request, but leaves time to
    /// read an answer that came late.
    pub(crate) fn of_answer(core: &Core, relay: &Relay, connection: Option<&IoRef>) -> Self {
        Self::start(relay.request(), connection, remaining(core, relay).max(MIN_WRITE_TIME))
    }

    fn start(request: &Arc<str>, connection: Option<&IoRef>, time: Duration) -> Self {
        let mut task = JoinSet::new();
        if let Some(connection) = connection.cloned() {
            let request = request.clone();
            task.spawn_local(async move {
                tokio::time::sleep(time).await;
                report::log_unread(&request);
                connection.terminate();
            });
        }
        Self { _task: task }
    }
}

/// The time until the deadline of a request, and a little more.
fn remaining(core: &Core, relay: &Relay) -> Duration {
    let deadline = relay.deadline().unwrap_or_else(|| core.clock.now());
    core.clock.now().until(deadline).duration() + WRITE_GRACE
}
