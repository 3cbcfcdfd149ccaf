//! Permits for a saturated pool that reports no load to the routers that share it.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Upstream};

/// Slots of the upstream, and requests that it accepts at once.
const SLOTS: usize = 6;
const CAPACITY_REQUESTS: usize = 12;

/// Processing time of a request.
const DURATION_MS: u64 = 40;

/// Callers per router, which send without pause while they are served.
const CALLERS: usize = 10;

/// Time that a caller waits after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Bound of the requests that the upstream refuses.
const MAX_REFUSED_PERCENT: usize = 3;

/// An upstream with few slots, and its entry in the store.
fn small_upstream() -> (Upstream, serde_json::Value) {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    upstream.set_actions(&[Action::Capacity(CAPACITY_REQUESTS, DURATION_MS)]);
    let mut entry = upstream.entry("ready", 2);
    entry["slots"] = json!(SLOTS);
    (upstream, entry)
}

/// Lets all callers send for `duration`; returns the numbers of served and of refused requests.
fn send_from_all(routers: &[&Router], duration: Duration) -> (usize, usize) {
    let until = Instant::now() + duration;
    let callers = routers.iter().flat_map(|router| std::iter::repeat_n(*router, CALLERS));
    std::thread::scope(|scope| {
        let handles: Vec<_> = callers
            .enumerate()
            .map(|(number, router)| scope.spawn(move || send_until(router, number, until)))
            .collect();
        let results = handles.into_iter().map(|caller| caller.join().expect("a caller"));
        results.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
    })
}

fn send_until(router: &Router, caller: usize, until: Instant) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let id = format!("caller-{caller}-{}", served + refused);
        let line = if caller.is_multiple_of(2) { "GET /safe/x" } else { "POST /unsafe/x" };
        let answer = router.request(line, &[("Attempt-Identifier", &id)], &id).expect("an answer");
        if answer.status == 200 {
            served += 1;
            continue;
        }
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        refused += 1;
        std::thread::sleep(REFUSAL_BACKOFF);
    }
    (served, refused)
}

#[test]
fn routers_share_permits_of_a_saturated_pool_and_few_requests_are_refused_there() {
    let (upstream, entry) = small_upstream();
    let first = Router::start(&configuration(1), &[&upstream]);
    first.store.put(&upstream.key(), &entry);
    let others = ["front-2", "front-3"].map(|name| Router::join(&first.store, name));
    let routers = [&first, &others[0], &others[1]];
    for router in routers {
        let message = "another router announced itself";
        let others = || router.log().iter().filter(|line| line["payload"] == message).count();
        router.wait_until("aware of the other routers", || others() >= 2);
    }
    send_from_all(&routers, Duration::from_secs(1));
    let owners = |router: &&&Router| router.page("/status").contains(r#""pool":"plain""#);
    assert_eq!(routers.iter().filter(owners).count(), 1, "one router owns the pool");
    let (before, over_capacity) = (upstream.requests().len(), upstream.over_capacity());
    let (served, refused) = send_from_all(&routers, Duration::from_secs(3));
    let received = upstream.requests().len() - before;
    let over_capacity = upstream.over_capacity() - over_capacity;
    println!(
        "{served} served, {refused} refused, {over_capacity} of {received} refused by the upstream"
    );
    assert!(
        over_capacity * 100 <= received * MAX_REFUSED_PERCENT,
        "{over_capacity} of {received} refused by the upstream"
    );
    assert!(refused > 0 && served > 0, "{served} served, {refused} refused");
    for router in routers {
        router.wait_until("without a pool owner", || {
            !router.page("/status").contains(r#""pool":"plain""#)
        });
    }
    assert_eq!(first.request("GET /safe/x", &[], "last").expect("an answer").status, 200);
}
