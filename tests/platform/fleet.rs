//! Many routers of one failure domain: few of them look at the store.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::router::{Router, configuration, own_host, route};
use crate::standin::{Mode, Upstream};

/// What the keys begin with under which routers announce that they follow the store.
const FOLLOWERS: &str = "silverstack/routers/";

/// How many routers the tests start.
const ROUTERS: usize = 6;

/// How many of them follow the store once all know of each other.
const FOLLOWING: usize = 2;

/// How long a router's proof of its configuration lasts by the tests' settings, and a second.
const PROOF_LASTS: Duration = Duration::from_millis(2_900);

/// A fleet whose routers know of each other, and its upstream.
fn fleet() -> (Vec<Router>, Upstream) {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let mut routers = vec![Router::start(&configuration(1), &[&upstream])];
    let store = routers[0].store.clone();
    routers.extend((2..=ROUTERS).map(|it| Router::join(&store, &format!("front-{it}"))));
    for router in &routers {
        router.until("counted", || counts(router) == ROUTERS);
    }
    routers[0].until("settled", || store.keys(FOLLOWERS).len() == FOLLOWING);
    (routers, upstream)
}

/// How many routers one knows of, itself included.
fn counts(router: &Router) -> usize {
    let met =
        router.log().into_iter().filter(|it| it["payload"] == "another router announced itself");
    let names: BTreeSet<_> = met.map(|it| it["kv"]["peer"].to_string()).collect();
    names.len() + 1
}

/// Whether a router follows the store by itself.
fn follows(router: &Router) -> bool {
    let name = router.log()[0]["kv"]["name"].as_str().map(str::to_owned);
    name.is_some_and(|it| router.store.holds(&format!("{FOLLOWERS}{it}")))
}

/// From whom a router heard last.
fn hears_from(router: &Router) -> String {
    let told = "store source changed";
    let last = router.log().into_iter().rfind(|it| it["payload"] == told);
    let from = last.and_then(|it| it["kv"]["from"].as_str().map(str::to_owned));
    // A router that has only ever looked at the store does not say so.
    from.unwrap_or_else(|| "the store".to_owned())
}

/// How often a router has looked at the store in place of hearing from another.
fn looks(router: &Router) -> usize {
    let told = "store source changed";
    let is_look = |it: &&Value| it["payload"] == told && it["kv"]["from"] == "the store";
    router.log().iter().filter(is_look).count()
}

/// The status of a request to the route of `version`.
fn asks(router: &Router, path: &str) -> u16 {
    router.ask(&format!("GET /{path}/x"), &[], "").map_or(0, |it| it.status)
}

/// A configuration with a further route.
fn with_route(version: u64, name: &str) -> Value {
    let mut changed = configuration(version);
    let routes = changed["routes"].as_array_mut().expect("routes");
    routes.push(route(name, "safe", "plain"));
    changed
}

#[test]
fn few_routers_of_a_domain_look_at_the_store() {
    let (routers, _upstream) = fleet();
    let store = &routers[0].store;
    let looked = || routers.iter().filter(|it| hears_from(it) == "the store").count();
    routers[0].until("others hear", || looked() == FOLLOWING);
    let before: Vec<_> = routers.iter().map(looks).collect();
    sleep(Duration::from_secs(2));
    assert_eq!(store.keys(FOLLOWERS).len(), FOLLOWING);
    for (router, before) in routers.iter().zip(before) {
        assert!(follows(router) || looks(router) == before, "{:?}", router.log());
    }
    assert!(routers.iter().all(|it| asks(it, "safe") == 200));
}

#[test]
fn what_changes_is_in_force_at_all_routers() {
    let (routers, upstream) = fleet();
    let store = &routers[0].store;
    store.put("op/config", &with_route(2, "added"));
    for router in &routers {
        router.until("in force", || asks(router, "added") == 200);
    }
    let late = Upstream::start(&own_host(), "i-2", "plain");
    store.put(&late.key(), &late.entry("ready", 1));
    store.remove(&upstream.key());
    for router in &routers {
        let before = late.requests().len();
        router.until("known", || asks(router, "safe") == 200 && late.requests().len() > before);
    }
}

#[test]
fn a_router_that_the_store_turns_away_serves_by_what_others_tell() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let first = Router::start(&configuration(1), &[&upstream]);
    let door = first.store.door(&own_host());
    let turned_away = Router::join(&door, "front-2");
    first.until("both follow", || first.store.keys(FOLLOWERS).len() == 2);
    turned_away.until("met", || counts(&turned_away) == 2);
    door.set_mode(Mode::Busy);
    turned_away.until("turned away", || turned_away.has_logged("the store does not answer"));
    sleep(PROOF_LASTS);
    assert_eq!(asks(&turned_away, "safe"), 200);
    first.store.put("op/config", &with_route(2, "added"));
    turned_away.until("in force", || asks(&turned_away, "added") == 200);
}

#[test]
fn a_history_that_is_gone_is_read_anew_by_few() {
    let (routers, _upstream) = fleet();
    let store = &routers[0].store;
    let before = store.targets().len();
    store.put("op/config", &with_route(2, "added"));
    store.forget();
    for router in &routers {
        router.until("in force", || asks(router, "added") == 200);
    }
    let whole =
        |it: &&String| it.starts_with("/v1/kv-range?pathPrefix=&") || it.ends_with("pathPrefix=");
    let read = store.targets()[before..].iter().filter(whole).count();
    assert!((1..=FOLLOWING).contains(&read), "read {read} times");
}

#[test]
fn others_follow_where_the_followers_are_killed() {
    let (mut routers, _upstream) = fleet();
    let store = routers[0].store.clone();
    let (mut gone, left): (Vec<_>, Vec<_>) = routers.drain(..).partition(follows);
    assert_eq!(gone.len(), FOLLOWING);
    gone.iter_mut().for_each(Router::kill);
    store.put("op/config", &with_route(2, "added"));
    for router in &left {
        router.until("in force", || asks(router, "added") == 200);
    }
    left[0].until("others follow", || left.iter().filter(|it| follows(it)).count() >= FOLLOWING);
}

#[test]
fn a_key_that_is_taken_away_counts_nowhere_while_followers_are_suspended_and_after() {
    let (routers, _upstream) = fleet();
    let store = &routers[0].store;
    let (suspended, left): (Vec<_>, Vec<_>) = routers.iter().partition(|it| follows(it));
    for router in &suspended {
        router.signal(Signal::SIGSTOP);
    }
    let mut without = configuration(2);
    without["tenants"] = json!([{ "name": "workspace-one", "apiKeys": ["key-two"] }]);
    store.put("op/config", &without);
    for router in &left {
        router.until("taken away", || asks(router, "safe") == 401);
    }
    sleep(PROOF_LASTS);
    for router in &suspended {
        router.signal(Signal::SIGCONT);
    }
    for _ in 0..20 {
        for router in &routers {
            assert_ne!(asks(router, "safe"), 200, "the key still counts");
        }
    }
    for router in &routers {
        router.until("refused for good", || asks(router, "safe") == 401);
    }
}

#[test]
fn a_fleet_whose_routers_are_all_killed_at_once_serves_again() {
    let (mut routers, _upstream) = fleet();
    routers.iter_mut().for_each(Router::kill);
    routers.iter_mut().for_each(Router::start_again);
    for router in &routers {
        let listens = || TcpStream::connect(router.callers()).is_ok();
        router.until("serves", || listens() && asks(router, "safe") == 200);
    }
}

#[test]
fn all_hear_of_a_store_that_came_back_older_and_none_goes_back_with_it() {
    let (routers, _upstream) = fleet();
    let store = &routers[0].store;
    store.copy();
    store.put("op/config", &with_route(2, "added"));
    for router in &routers {
        router.until("in force", || asks(router, "added") == 200);
    }
    store.come_back_older();
    for router in &routers {
        router.until("told", || router.has_logged("the store came back from an older copy"));
        assert_ne!(asks(router, "added"), 404, "an older configuration is in force");
    }
    sleep(PROOF_LASTS);
    for router in &routers {
        assert_eq!(asks(router, "safe"), 503, "an older configuration counts as the newest");
    }
    store.put("op/config", &with_route(3, "added"));
    for router in &routers {
        router.until("in force again", || asks(router, "added") == 200);
    }
}

#[test]
fn upstreams_whose_entries_lapsed_in_an_outage_are_kept_by_those_that_hear_of_it_from_others() {
    let (routers, upstream) = fleet();
    let store = &routers[0].store;
    store.set_mode(Mode::Busy);
    // A router whose looks all succeeded knows of no outage.
    let missed = |it: &&Router| it.has_logged("the store does not answer");
    routers[0].until("missed", || routers.iter().filter(missed).count() >= FOLLOWING);
    store.remove(&upstream.key());
    store.set_mode(Mode::Up);
    routers[0].until("back", || routers.iter().any(|it| it.has_logged("the store answers again")));
    for router in &routers {
        assert_eq!(asks(router, "safe"), 200, "an upstream that lives is taken to be gone");
    }
    store.put(&upstream.key(), &upstream.entry("ready", 2));
    for router in &routers {
        router.until("serves", || asks(router, "safe") == 200);
    }
}

#[test]
fn a_domain_that_is_evacuated_takes_nothing_of_those_that_hear_of_it_from_others() {
    let (routers, upstream) = fleet();
    let store = &routers[0].store;
    store.put(&format!("op/evacuate/{}", domain(&upstream)), &json!({}));
    for router in &routers {
        router.until("left", || asks(router, "safe") == 503);
    }
    store.remove(&format!("op/evacuate/{}", domain(&upstream)));
    for router in &routers {
        router.until("taken back", || asks(router, "safe") == 200);
    }
}

/// The failure domain of an upstream, as its entry names it.
fn domain(upstream: &Upstream) -> String {
    upstream.entry("ready", 1)["zone"].as_str().expect("a zone").to_owned()
}

/// How much of a kind a router holds, as its metrics say.
fn held(router: &Router, kind: &str) -> usize {
    let line = format!("silverstack_held{{kind=\"{kind}\"}} ");
    let page = router.page("/metrics");
    let value = page.lines().find_map(|it| it.strip_prefix(line.as_str())).map(str::trim);
    value.and_then(|it| it.parse().ok()).unwrap_or_else(|| panic!("no {kind} in {page}"))
}

#[test]
fn what_routers_hold_for_others_stays_small_while_the_store_is_away() {
    let (routers, _upstream) = fleet();
    routers[0].store.set_mode(Mode::Busy);
    for _ in 0..24 {
        sleep(Duration::from_millis(250));
        for router in &routers {
            let hearers = held(router, "hearers");
            assert!(hearers < ROUTERS, "{hearers} hearers of {ROUTERS} routers");
            let connections = held(router, "router_connections");
            assert!(connections <= 4 * ROUTERS, "{connections} connections");
        }
    }
}
