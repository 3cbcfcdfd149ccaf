//! Routers of one failure domain, of which a few poll the store and pass its changes on.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::router::{Router, configuration, route, unused_host};
use crate::standin::{Mode, Upstream};

/// Prefix of the keys under which pollers announce themselves.
const POLLER_KEYS: &str = "silverstack/routers/";

const ROUTER_COUNT: usize = 6;

/// Number of routers that poll the store once all know each other.
const POLLER_COUNT: usize = 2;

/// Time after which a router's confirmation of its configuration has expired, by the settings of
/// the tests.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_900);

/// Starts routers that know each other, and their upstream.
fn start_fleet() -> (Vec<Router>, Upstream) {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let mut routers = vec![Router::start(&configuration(1), &[&upstream])];
    let store = routers[0].store.clone();
    routers
        .extend((2..=ROUTER_COUNT).map(|number| Router::join(&store, &format!("front-{number}"))));
    for router in &routers {
        router.wait_until("aware of all routers", || known_routers(router) == ROUTER_COUNT);
    }
    routers[0].wait_until("polled by the expected number", || {
        store.keys(POLLER_KEYS).len() == POLLER_COUNT
    });
    (routers, upstream)
}

/// Number of routers that a router knows, itself included.
fn known_routers(router: &Router) -> usize {
    let announcements = router
        .log()
        .into_iter()
        .filter(|line| line["payload"] == "another router announced itself");
    let names: BTreeSet<_> = announcements.map(|line| line["kv"]["peer"].to_string()).collect();
    names.len() + 1
}

/// Whether a router polls the store itself.
fn is_poller(router: &Router) -> bool {
    let name = router.log()[0]["kv"]["name"].as_str().map(str::to_owned);
    name.is_some_and(|name| router.store.contains_key(&format!("{POLLER_KEYS}{name}")))
}

/// The source from which a router last got the store's changes.
fn source(router: &Router) -> String {
    let message = "store source changed";
    let last = router.log().into_iter().rfind(|line| line["payload"] == message);
    let from = last.and_then(|line| line["kv"]["from"].as_str().map(str::to_owned));
    // Without a change, the source is the store.
    from.unwrap_or_else(|| "the store".to_owned())
}

/// Number of times that a router has switched to polling the store itself.
fn switches_to_store(router: &Router) -> usize {
    let message = "store source changed";
    let is_switch = |line: &&Value| line["payload"] == message && line["kv"]["from"] == "the store";
    router.log().iter().filter(is_switch).count()
}

/// The status of a request to the route `path`, or 0 without an answer.
fn status(router: &Router, path: &str) -> u16 {
    router.request(&format!("GET /{path}/x"), &[], "").map_or(0, |answer| answer.status)
}

/// A configuration with the additional route `name`.
fn with_route(version: u64, name: &str) -> Value {
    let mut changed = configuration(version);
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.push(route(name, "safe", "plain"));
    changed
}

#[test]
fn only_pollers_poll_the_store() {
    let (routers, _upstream) = start_fleet();
    let store = &routers[0].store;
    let from_store = || routers.iter().filter(|router| source(router) == "the store").count();
    routers[0].wait_until("other routers as source", || from_store() == POLLER_COUNT);
    let before: Vec<_> = routers.iter().map(switches_to_store).collect();
    sleep(Duration::from_secs(2));
    assert_eq!(store.keys(POLLER_KEYS).len(), POLLER_COUNT);
    for (router, before) in routers.iter().zip(before) {
        assert!(is_poller(router) || switches_to_store(router) == before, "{:?}", router.log());
    }
    assert!(routers.iter().all(|router| status(router, "safe") == 200));
}

/// Guards against routers that ask others taking an older configuration for the newest one because
/// the newest one can't be used.
#[test]
fn an_unusable_configuration_confirms_no_older_one_at_any_router() {
    let (routers, upstream) = start_fleet();
    let store = &routers[0].store;
    let mut refused = with_route(2, "added");
    refused["tenants"] = json!([{ "name": "twice" }, { "name": "twice" }]);
    store.put("op/config", &refused);
    for router in &routers {
        router.wait_until("refusing keys", || status(router, "safe") == 503);
    }
    let received = upstream.requests().len();
    assert!(routers.iter().all(|router| status(router, "safe") == 503));
    assert_eq!(upstream.requests().len(), received);
    store.put("op/config", &with_route(3, "added"));
    for router in &routers {
        router.wait_until("using the next configuration", || status(router, "added") == 200);
    }
}

#[test]
fn a_change_takes_effect_at_all_routers() {
    let (routers, upstream) = start_fleet();
    let store = &routers[0].store;
    store.put("op/config", &with_route(2, "added"));
    for router in &routers {
        router.wait_until("using the new configuration", || status(router, "added") == 200);
    }
    let late = Upstream::start(&unused_host(), "i-2", "plain");
    store.put(&late.key(), &late.entry("ready", 1));
    store.remove(&upstream.key());
    for router in &routers {
        let before = late.requests().len();
        router.wait_until("serving from the new upstream", || {
            status(router, "safe") == 200 && late.requests().len() > before
        });
    }
}

#[test]
fn a_router_rejected_by_the_store_serves_from_its_peers_updates() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let first = Router::start(&configuration(1), &[&upstream]);
    let endpoint = first.store.add_endpoint(&unused_host());
    let rejected = Router::join(&endpoint, "front-2");
    first.wait_until("polled by both routers", || first.store.keys(POLLER_KEYS).len() == 2);
    rejected.wait_until("aware of the other router", || known_routers(&rejected) == 2);
    endpoint.set_mode(Mode::Busy);
    rejected
        .wait_until("rejected by the store", || rejected.has_logged("the store does not answer"));
    sleep(CONFIRMATION_TTL);
    assert_eq!(status(&rejected, "safe"), 200);
    first.store.put("op/config", &with_route(2, "added"));
    rejected.wait_until("using the new configuration", || status(&rejected, "added") == 200);
}

#[test]
fn only_pollers_read_the_store_again_after_compaction() {
    let (routers, _upstream) = start_fleet();
    let store = &routers[0].store;
    let before = store.targets().len();
    store.put("op/config", &with_route(2, "added"));
    store.compact();
    for router in &routers {
        router.wait_until("using the new configuration", || status(router, "added") == 200);
    }
    let is_full_read = |target: &&String| {
        target.starts_with("/v1/kv-range?pathPrefix=&") || target.ends_with("pathPrefix=")
    };
    let reads = store.targets()[before..].iter().filter(is_full_read).count();
    assert!((1..=POLLER_COUNT).contains(&reads), "{reads} full reads");
}

#[test]
fn other_routers_become_pollers_after_the_pollers_are_killed() {
    let (mut routers, _upstream) = start_fleet();
    let store = routers[0].store.clone();
    let (mut killed, remaining): (Vec<_>, Vec<_>) = routers.drain(..).partition(is_poller);
    assert_eq!(killed.len(), POLLER_COUNT);
    killed.iter_mut().for_each(Router::kill);
    store.put("op/config", &with_route(2, "added"));
    for router in &remaining {
        router.wait_until("using the new configuration", || status(router, "added") == 200);
    }
    remaining[0].wait_until("polled by the remaining routers", || {
        remaining.iter().filter(|router| is_poller(router)).count() >= POLLER_COUNT
    });
}

#[test]
fn a_revoked_key_stays_refused_while_pollers_are_suspended_and_after() {
    let (routers, _upstream) = start_fleet();
    let store = &routers[0].store;
    let (suspended, remaining): (Vec<_>, Vec<_>) =
        routers.iter().partition(|router| is_poller(router));
    for router in &suspended {
        router.signal(Signal::SIGSTOP);
    }
    let mut without = configuration(2);
    without["tenants"] = json!([{ "name": "workspace-one", "apiKeys": ["key-two"] }]);
    store.put("op/config", &without);
    for router in &remaining {
        router.wait_until("refusing the revoked key", || status(router, "safe") == 401);
    }
    sleep(CONFIRMATION_TTL);
    for router in &suspended {
        router.signal(Signal::SIGCONT);
    }
    for _ in 0..20 {
        for router in &routers {
            assert_ne!(status(router, "safe"), 200, "the revoked key is accepted");
        }
    }
    for router in &routers {
        router.wait_until("refusing the revoked key", || status(router, "safe") == 401);
    }
}

#[test]
fn serves_again_after_all_routers_are_killed_at_once() {
    let (mut routers, _upstream) = start_fleet();
    routers.iter_mut().for_each(Router::kill);
    routers.iter_mut().for_each(Router::restart);
    for router in &routers {
        let is_listening = || TcpStream::connect(router.caller_address()).is_ok();
        router.wait_until("serving", || is_listening() && status(router, "safe") == 200);
    }
}

#[test]
fn all_routers_notice_a_restored_store_and_keep_their_configuration() {
    let (routers, _upstream) = start_fleet();
    let store = &routers[0].store;
    store.back_up();
    store.put("op/config", &with_route(2, "added"));
    for router in &routers {
        router.wait_until("using the new configuration", || status(router, "added") == 200);
    }
    store.restore_backup();
    for router in &routers {
        router.wait_until("aware of the restore", || {
            router.has_logged("the store came back from an older copy")
        });
        assert_ne!(status(router, "added"), 404, "an older configuration is in force");
    }
    sleep(CONFIRMATION_TTL);
    for router in &routers {
        assert_eq!(status(router, "safe"), 503, "an older configuration counts as a confirmation");
    }
    store.put("op/config", &with_route(3, "added"));
    for router in &routers {
        router.wait_until("using the new configuration", || status(router, "added") == 200);
    }
}

#[test]
fn routers_that_do_not_poll_keep_upstreams_whose_entries_expired_in_an_outage() {
    let (routers, upstream) = start_fleet();
    let store = &routers[0].store;
    store.set_mode(Mode::Busy);
    // Only routers with a failed poll detect the outage.
    let has_failed = |router: &&Router| router.has_logged("the store does not answer");
    routers[0].wait_until("failing to poll the store", || {
        routers.iter().filter(has_failed).count() >= POLLER_COUNT
    });
    store.remove(&upstream.key());
    store.set_mode(Mode::Up);
    routers[0].wait_until("polling the store again", || {
        routers.iter().any(|router| router.has_logged("the store answers again"))
    });
    for router in &routers {
        assert_eq!(status(router, "safe"), 200, "a live upstream was removed");
    }
    store.put(&upstream.key(), &upstream.entry("ready", 2));
    for router in &routers {
        router.wait_until("serving", || status(router, "safe") == 200);
    }
}

#[test]
fn routers_that_do_not_poll_send_nothing_to_an_evacuated_domain() {
    let (routers, upstream) = start_fleet();
    let store = &routers[0].store;
    store.put(&format!("op/evacuate/{}", failure_domain(&upstream)), &json!({}));
    for router in &routers {
        router
            .wait_until("refusing while the domain is evacuated", || status(router, "safe") == 503);
    }
    store.remove(&format!("op/evacuate/{}", failure_domain(&upstream)));
    for router in &routers {
        router.wait_until("using the restored domain", || status(router, "safe") == 200);
    }
}

/// The failure domain in the entry of an upstream.
fn failure_domain(upstream: &Upstream) -> String {
    upstream.entry("ready", 1)["zone"].as_str().expect("a zone").to_owned()
}

/// The value of the metric `silverstack_held` for `kind`.
fn held_count(router: &Router, kind: &str) -> usize {
    let prefix = format!("silverstack_held{{kind=\"{kind}\"}} ");
    let page = router.page("/metrics");
    let value = page.lines().find_map(|line| line.strip_prefix(prefix.as_str())).map(str::trim);
    value.and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("no {kind} in {page}"))
}

#[test]
fn subscribers_and_connections_stay_bounded_during_a_store_outage() {
    let (routers, _upstream) = start_fleet();
    routers[0].store.set_mode(Mode::Busy);
    for _ in 0..24 {
        sleep(Duration::from_millis(250));
        for router in &routers {
            let subscribers = held_count(router, "hearers");
            assert!(
                subscribers < ROUTER_COUNT,
                "{subscribers} subscribers of {ROUTER_COUNT} routers"
            );
            let connections = held_count(router, "router_connections");
            assert!(connections <= 4 * ROUTER_COUNT, "{connections} connections");
        }
    }
}

#[test]
fn metrics_of_a_router_without_sidecars_name_none() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let router = Router::start(&configuration(1), &[&upstream]);
    router.request("GET /safe/x", &[], "").expect("an answer");
    let page = router.page("/metrics");
    let help = page.lines().find(|line| line.starts_with("# HELP silverstack_attempts"));
    assert!(help.is_some_and(|help| !help.contains("sidecar")), "{page}");
}
