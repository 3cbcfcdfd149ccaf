//! What upstreams say of themselves with their answers is kept by each router that they tell.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::callers::Seen;
use super::fleet::Fleet;
use crate::standin::router;

/// How many requests of one router an upstream takes in the rest that it asked for.
const MOST: usize = 2;

/// How long after the word that it leaves callers' requests may still go to an upstream, as the
/// routers' settings say.
const DRAIN: Duration = Duration::from_millis(400);

/// No upstream got more in a rest than it may.
pub fn check_rests(fleet: &Fleet, context: &str) {
    for upstream in &fleet.all {
        let requests = upstream.requests();
        for rest in upstream.rests() {
            let broken = requests.iter().filter(|it| rest.is_broken_by(it)).count();
            let excused = fleet.was_disturbed(&rest.router, rest.asked, rest.asked + rest.lasts);
            let name = &upstream.name;
            assert!(broken <= MOST || excused, "{name} got {broken} in {rest:?}: {context}");
        }
    }
}

/// No upstream got a request that was sent long after it had told its router that it leaves.
pub fn check_leaving(fleet: &Fleet, asked: &[Seen], context: &str) {
    let sent: HashMap<&str, Instant> = asked.iter().map(|it| (&*it.id, it.sent)).collect();
    for upstream in &fleet.all {
        let told = upstream.told_leaving();
        for request in upstream.requests() {
            let router = router(&request);
            let id = request.header("attempt-identifier").unwrap_or("");
            let (Some(told), Some(sent)) = (told.get(&router), sent.get(id)) else { continue };
            let late = *sent > *told + DRAIN;
            let excused = || fleet.was_disturbed(&router, *told, request.came);
            let name = &upstream.name;
            assert!(!late || excused(), "{name}, which leaves, got {id} of {router}: {context}");
        }
    }
}
