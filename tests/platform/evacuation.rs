//! Failure domains that are left, upstreams that are cold, and the regions of work.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::router::{Router, configuration, own_host, pair};
use crate::standin::Upstream;

/// The entry of an upstream in failure domain `zone`.
fn entry_in(upstream: &Upstream, zone: &str) -> Value {
    let mut entry = upstream.entry("ready", 2);
    entry["zone"] = zone.into();
    entry
}

/// Two upstreams in two failure domains, and their router.
fn two_domains() -> (Router, Upstream, Upstream) {
    let [left, stays] = pair();
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&left.key(), &entry_in(&left, "zone-a"));
        store.put(&stays.key(), &entry_in(&stays, "zone-b"));
    });
    router.until("ready", || router.is_ready());
    (router, left, stays)
}

/// How many of ten requests go to `upstream`.
fn go_to(router: &Router, upstream: &Upstream) -> usize {
    let before = upstream.requests().len();
    for number in 0..10 {
        let id = format!("id-{before}-{number}");
        let _ = router.ask("GET /safe/x", &[("Attempt-Identifier", &id)], "");
    }
    upstream.requests().len() - before
}

#[test]
fn a_domain_that_is_left_gets_nothing_until_it_is_taken_back() {
    let (router, left, stays) = two_domains();
    assert!(go_to(&router, &left) > 0);
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.until("left", || router.has_logged("failure domain evacuated"));
    assert_eq!((go_to(&router, &left), go_to(&router, &stays)), (0, 10));
    assert!(router.page("/status").contains(r#""evacuated":["zone-a"]"#));
    assert!(router.page("/metrics").contains(r#"silverstack_beliefs_total{kind="domain_left"} 1"#));
    router.store.remove("op/evacuate/zone-a");
    router.until("taken back", || go_to(&router, &left) > 0);
    assert!(router.has_logged("failure domain restored"));
}

#[test]
fn where_no_other_domain_is_left_requests_are_refused_at_once() {
    let (router, left, stays) = two_domains();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.store.put("op/evacuate/zone-b", &json!({}));
    router.until("refused", || router.ask("GET /safe/x", &[], "").unwrap().status == 503);
    let before = left.requests().len() + stays.requests().len();
    let begun = Instant::now();
    let answer = router.ask("GET /safe/x", &[], "").unwrap();
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    assert_eq!(answer.headers["retry-after"], "1.500");
    assert_eq!(left.requests().len() + stays.requests().len(), before);
}

#[test]
fn a_router_that_starts_while_a_domain_is_left_sends_nothing_there() {
    const REMEMBERED: &str = "silverstack/upstreams";
    let (router, left, stays) = two_domains();
    router.until("remembered", || router.store.holds(REMEMBERED));
    let remembered = router.store.text(REMEMBERED).expect("a text");
    drop(router);
    // The entry of the one that was left has lapsed; it is remembered.
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&stays.key(), &entry_in(&stays, "zone-b"));
        store.put_text(REMEMBERED, &remembered);
        store.put("op/evacuate/zone-a", &json!({}));
    });
    router.until("ready", || router.is_ready());
    assert_eq!(go_to(&router, &left), 0);
}

#[test]
fn looks_that_ask_for_less_see_what_is_left() {
    let (router, left, _stays) = two_domains();
    router.shorten_looks();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.until("left", || router.has_logged("failure domain evacuated"));
    assert!(!router.has_logged("store polls are complete again"));
    assert_eq!(go_to(&router, &left), 0);
    router.store.remove("op/evacuate/zone-a");
    router.until("taken back", || router.has_logged("failure domain restored"));
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_bears() {
    let [cold, warm] = pair();
    let mut limited = configuration(1);
    limited["services"][0]["coldS"] = 60.into();
    limited["services"][0]["coldPerS"] = 4.into();
    let router = Router::start(&limited, &[&cold, &warm]);
    router.until("announced", || router.store.holds("silverstack/routers/front-1"));
    let mut entry = cold.entry("ready", 2);
    entry["coldRemainingMs"] = 60_000.into();
    router.store.put(&cold.key(), &entry);
    router.until("cold", || router.has_logged("upstream is cold"));
    // Eight routers at least are reckoned with only for retries: this one is alone.
    router.until("it takes part", || go_to(&router, &cold) > 0);
    std::thread::sleep(Duration::from_millis(1_300));
    let begun = Instant::now();
    let got = go_to(&router, &cold) + go_to(&router, &cold);
    let windows = 1 + begun.elapsed().as_millis() / 1_150;
    assert!(got > 0 && got as u128 <= 3 * windows, "{got} in {windows} windows");
}

#[test]
fn work_stays_in_the_regions_of_its_route_and_workspace() {
    let [inside, outside] = pair();
    let mut homes = configuration(1);
    homes["routes"][0]["allowedRegions"] = json!(["south"]);
    let mut bound = configuration(1);
    bound["tenants"][0]["allowedRegions"] = json!(["south"]);
    for configuration in [homes, bound] {
        let router = Router::start_bare(&own_host(), |store| {
            store.put("op/config", &configuration);
            store.put(&inside.key(), &entry_in(&inside, "zone-south"));
            store.put(&outside.key(), &entry_in(&outside, "zone-north"));
        });
        router.until("ready", || router.is_ready());
        assert_eq!((go_to(&router, &inside), go_to(&router, &outside)), (10, 0));
        // Nobody serves it outside, also when nobody does at home.
        router.store.remove(&inside.key());
        router.until("refused", || router.ask("GET /safe/x", &[], "").unwrap().status == 503);
        assert_eq!(go_to(&router, &outside), 0);
    }
}
