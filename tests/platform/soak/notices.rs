//! Checks that routers obey the backoffs and leaving notices in upstreams' answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::callers::Seen;
use super::fleet::Fleet;
use crate::standin::sender;

/// Requests that one router may send to an upstream during a backoff.
const MAX_REQUESTS: usize = 2;

/// How long an upstream may still be sent callers' requests after its leaving notice, by the
/// routers' settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks the number of requests that each upstream received during its backoffs.
pub fn check_backoffs(fleet: &Fleet, context: &str) {
    for upstream in &fleet.all_instances {
        let requests = upstream.requests();
        for backoff in upstream.backoffs() {
            let violations =
                requests.iter().filter(|request| backoff.is_violated_by(request)).count();
            let is_excused = fleet.was_unavailable(
                &backoff.router,
                backoff.asked_at,
                backoff.asked_at + backoff.duration,
            );
            let name = &upstream.name;
            assert!(
                violations <= MAX_REQUESTS || is_excused,
                "{name} got {violations} in {backoff:?}: {context}"
            );
        }
    }
}

/// Checks that no upstream received a request sent after its leaving notice and the drain timeout.
pub fn check_leaving(fleet: &Fleet, exchanges: &[Seen], context: &str) {
    let sent: HashMap<&str, Instant> =
        exchanges.iter().map(|seen| (&*seen.id, seen.sent)).collect();
    for upstream in &fleet.all_instances {
        let since = upstream.leaving_sent_at();
        for request in upstream.requests() {
            let router = sender(&request);
            let id = request.header("attempt-identifier").unwrap_or("");
            let (Some(since), Some(sent)) = (since.get(&router), sent.get(id)) else { continue };
            let is_late = *sent > *since + DRAIN_TIMEOUT;
            let is_excused = || fleet.was_unavailable(&router, *since, request.received_at);
            let name = &upstream.name;
            assert!(
                !is_late || is_excused(),
                "{name}, which leaves, got {id} of {router}: {context}"
            );
        }
    }
}
