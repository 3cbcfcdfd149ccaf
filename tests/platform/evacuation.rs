//! Evacuated failure domains, cold upstreams and allowed regions.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::router::{Router, configuration, plain_pair, unused_host};
use crate::standin::Upstream;

/// The entry of an upstream in failure domain `zone`.
fn entry_in(upstream: &Upstream, zone: &str) -> Value {
    let mut entry = upstream.entry("ready", 2);
    entry["zone"] = zone.into();
    entry
}

/// Starts a router with an upstream in each of two failure domains.
fn two_domains() -> (Router, Upstream, Upstream) {
    let [evacuated, other] = plain_pair();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&evacuated.key(), &entry_in(&evacuated, "zone-a"));
        store.put(&other.key(), &entry_in(&other, "zone-b"));
    });
    router.wait_until("ready", || router.is_ready());
    (router, evacuated, other)
}

/// Sends ten requests; returns how many of them go to `upstream`.
fn send_ten(router: &Router, upstream: &Upstream) -> usize {
    let before = upstream.requests().len();
    for number in 0..10 {
        let id = format!("id-{before}-{number}");
        let _ = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "");
    }
    upstream.requests().len() - before
}

#[test]
fn sends_nothing_to_an_evacuated_domain_until_it_is_restored() {
    let (router, evacuated, other) = two_domains();
    assert!(send_ten(&router, &evacuated) > 0);
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.wait_until("logging the evacuation", || router.has_logged("failure domain evacuated"));
    assert_eq!((send_ten(&router, &evacuated), send_ten(&router, &other)), (0, 10));
    assert!(router.page("/status").contains(r#""evacuated":["zone-a"]"#));
    assert!(router.page("/metrics").contains(r#"silverstack_beliefs_total{kind="domain_left"} 1"#));
    router.store.remove("op/evacuate/zone-a");
    router.wait_until("using the restored domain", || send_ten(&router, &evacuated) > 0);
    assert!(router.has_logged("failure domain restored"));
}

#[test]
fn refuses_at_once_when_every_domain_is_evacuated() {
    let (router, evacuated, other) = two_domains();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.store.put("op/evacuate/zone-b", &json!({}));
    router.wait_until("refusing", || router.request("GET /safe/x", &[], "").unwrap().status == 503);
    let before = evacuated.requests().len() + other.requests().len();
    let begun = Instant::now();
    let answer = router.request("GET /safe/x", &[], "").unwrap();
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    assert_eq!(answer.headers["retry-after"], "1.500");
    assert_eq!(evacuated.requests().len() + other.requests().len(), before);
}

#[test]
fn a_new_router_sends_nothing_to_a_domain_evacuated_before_its_start() {
    const SAVED_UPSTREAMS: &str = "silverstack/upstreams";
    let (router, evacuated, other) = two_domains();
    router.wait_until("saving its upstreams", || router.store.contains_key(SAVED_UPSTREAMS));
    let saved = router.store.text(SAVED_UPSTREAMS).expect("a text");
    drop(router);
    // The evacuated upstream has no entry any more and is read from the saved ones.
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&other.key(), &entry_in(&other, "zone-b"));
        store.put_text(SAVED_UPSTREAMS, &saved);
        store.put("op/evacuate/zone-a", &json!({}));
    });
    router.wait_until("ready", || router.is_ready());
    assert_eq!(send_ten(&router, &evacuated), 0);
}

#[test]
fn reduced_polls_see_evacuations() {
    let (router, evacuated, _other) = two_domains();
    router.reduce_polls();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.wait_until("logging the evacuation", || router.has_logged("failure domain evacuated"));
    assert!(!router.has_logged("store polls are complete again"));
    assert_eq!(send_ten(&router, &evacuated), 0);
    router.store.remove("op/evacuate/zone-a");
    router.wait_until("using the restored domain", || router.has_logged("failure domain restored"));
}

#[test]
fn limits_the_rate_of_requests_to_a_cold_upstream() {
    let [cold, warm] = plain_pair();
    let mut limited = configuration(1);
    limited["services"][0]["coldS"] = 60.into();
    limited["services"][0]["coldPerS"] = 4.into();
    let router = Router::start(&limited, &[&cold, &warm]);
    router.wait_until("announced", || router.store.contains_key("silverstack/routers/front-1"));
    let mut entry = cold.entry("ready", 2);
    entry["coldRemainingMs"] = 60_000.into();
    router.store.put(&cold.key(), &entry);
    router.wait_until("aware of the cold upstream", || router.has_logged("upstream is cold"));
    // The quota is not divided, since this is the only router.
    router.wait_until("using the cold upstream", || send_ten(&router, &cold) > 0);
    std::thread::sleep(Duration::from_millis(1_300));
    let begun = Instant::now();
    let received = send_ten(&router, &cold) + send_ten(&router, &cold);
    let windows = 1 + begun.elapsed().as_millis() / 1_150;
    assert!(received > 0 && received as u128 <= 3 * windows, "{received} in {windows} windows");
}

#[test]
fn keeps_requests_in_the_allowed_regions_of_route_and_workspace() {
    let [inside, outside] = plain_pair();
    let mut limited_route = configuration(1);
    limited_route["routes"][0]["allowedRegions"] = json!(["south"]);
    let mut limited_workspace = configuration(1);
    limited_workspace["tenants"][0]["allowedRegions"] = json!(["south"]);
    for configuration in [limited_route, limited_workspace] {
        let router = Router::start_unready(&unused_host(), |store| {
            store.put("op/config", &configuration);
            store.put(&inside.key(), &entry_in(&inside, "zone-south"));
            store.put(&outside.key(), &entry_in(&outside, "zone-north"));
        });
        router.wait_until("ready", || router.is_ready());
        assert_eq!((send_ten(&router, &inside), send_ten(&router, &outside)), (10, 0));
        // Requests are refused rather than sent to another region.
        router.store.remove(&inside.key());
        router.wait_until("refusing", || {
            router.request("GET /safe/x", &[], "").unwrap().status == 503
        });
        assert_eq!(send_ten(&router, &outside), 0);
    }
}
