//! The planned stop of a router.

use std::time::Duration;

use clock::Millis;
use routing::Event;
use tokio::time::timeout;

use crate::core::Core;
use crate::report;

/// Maximum number of unfinished requests that the end of a drain logs.
const MAX_LOGGED_UNFINISHED: usize = 256;

/// How long interrupted requests may take to end, such as one that waits for another router.
const INTERRUPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits for a stop, for its notice, and for the requests in flight, which are interrupted when the
/// drain's time is up. Returns whether all ended by themselves.
pub(crate) async fn run(core: &Core) -> bool {
    core.stop.requested().await;
    let requested_at = core.clock.now();
    let notice = Millis(core.settings.drain_notice_ms);
    let duration = Millis(core.settings.drain_ms);
    report::log_stop(core.in_flight(), notice, duration);
    tokio::time::sleep(notice.duration()).await;
    let started_at = core.clock.now();
    report::log_drain(core.in_flight(), requested_at.until(started_at));
    core.apply(Event::Drain { until: started_at + duration });
    let is_complete = timeout(duration.duration(), core.stop.finished()).await.is_ok();
    report::log_drained(core.in_flight(), requested_at.until(core.clock.now()));
    if !is_complete {
        interrupt(core).await;
    }
    is_complete
}

/// Ends the requests in flight.
async fn interrupt(core: &Core) {
    for unfinished in core.unfinished().iter().take(MAX_LOGGED_UNFINISHED) {
        report::log_unfinished(unfinished);
    }
    core.stop.interrupt();
    let _ = timeout(INTERRUPT_TIMEOUT, core.stop.finished()).await;
    core.stop.finish();
}
