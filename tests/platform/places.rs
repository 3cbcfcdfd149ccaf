//! A pool of few slots that tells nothing of its load, and several routers that are asked for more
//! than it serves: no router knows what the others have under way there.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::router::{Router, configuration, own_host};
use crate::standin::{Act, Upstream};

/// How many requests the upstream works on at once, and for how many it has room.
const SLOTS: usize = 6;
const ROOM: usize = 12;

/// How long one takes, in milliseconds.
const TAKES: u64 = 40;

/// How many callers ask at each router, without pause while they are served.
const CALLERS: usize = 10;

/// How long a caller that was refused waits.
const PAUSE: Duration = Duration::from_millis(50);

/// The most arrivals that may be turned away by the upstream: 3 in 100.
const AWAY: usize = 3;

/// An upstream with little room, as it is listed.
fn crowded() -> (Upstream, serde_json::Value) {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    upstream.set(&[Act::Room(ROOM, TAKES)]);
    let mut entry = upstream.entry("ready", 2);
    entry["slots"] = json!(SLOTS);
    (upstream, entry)
}

/// Has all callers ask for `lasts`; returns how many were served and how many refused.
fn ask(routers: &[&Router], lasts: Duration) -> (usize, usize) {
    let until = Instant::now() + lasts;
    let callers = routers.iter().flat_map(|it| std::iter::repeat_n(*it, CALLERS));
    std::thread::scope(|scope| {
        let asked: Vec<_> = callers
            .enumerate()
            .map(|(number, router)| scope.spawn(move || ask_until(router, number, until)))
            .collect();
        let sums = asked.into_iter().map(|it| it.join().expect("a caller"));
        sums.fold((0, 0), |all, it| (all.0 + it.0, all.1 + it.1))
    })
}

fn ask_until(router: &Router, caller: usize, until: Instant) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < until {
        let id = format!("caller-{caller}-{}", served + refused);
        let line = if caller.is_multiple_of(2) { "GET /safe/x" } else { "POST /unsafe/x" };
        let answer = router.ask(line, &[("Attempt-Identifier", &id)], &id).expect("an answer");
        if answer.status == 200 {
            served += 1;
            continue;
        }
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        refused += 1;
        std::thread::sleep(PAUSE);
    }
    (served, refused)
}

#[test]
fn routers_share_the_places_of_a_pool_that_is_short_and_little_is_turned_away_there() {
    let (upstream, entry) = crowded();
    let first = Router::start(&configuration(1), &[&upstream]);
    first.store.put(&upstream.key(), &entry);
    let others = ["front-2", "front-3"].map(|it| Router::join(&first.store, it));
    let routers = [&first, &others[0], &others[1]];
    for router in routers {
        let met = "another router announced itself";
        let others = || router.log().iter().filter(|it| it["payload"] == met).count();
        router.until("met", || others() >= 2);
    }
    ask(&routers, Duration::from_secs(1));
    let owners = |it: &&&Router| it.page("/status").contains(r#""pool":"plain""#);
    assert_eq!(routers.iter().filter(owners).count(), 1, "one router owns the pool");
    let (before, no_room) = (upstream.requests().len(), upstream.found_no_room());
    let (served, refused) = ask(&routers, Duration::from_secs(3));
    let came = upstream.requests().len() - before;
    let no_room = upstream.found_no_room() - no_room;
    println!("{served} served, {refused} refused, {no_room} of {came} found no room");
    assert!(no_room * 100 <= came * AWAY, "{no_room} of {came} found no room");
    assert!(refused > 0 && served > 0, "{served} served, {refused} refused");
    for router in routers {
        router.until("over", || !router.page("/status").contains(r#""pool":"plain""#));
    }
    assert_eq!(first.ask("GET /safe/x", &[], "last").expect("an answer").status, 200);
}
