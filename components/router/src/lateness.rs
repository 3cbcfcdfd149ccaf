//! Measures how late this router carries out its own work.

use std::rc::Rc;

use clock::Millis;
use routing::Event;

use crate::core::Core;

/// Time between two probes.
const INTERVAL: Millis = Millis(100);

/// Measures until the task is stopped.
pub(crate) async fn run(core: Rc<Core>) {
    loop {
        let due = core.clock.now() + INTERVAL;
        core.apply(Event::ProbeStarted { due });
        tokio::time::sleep(INTERVAL.duration()).await;
        // An attempt also wakes another task, its connection's, and waits for it.
        let _ = tokio::task::spawn_local(async {}).await;
        core.apply(Event::ProbeEnded);
    }
}
