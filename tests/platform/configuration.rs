//! The configuration: taken soon, never an older one, and proved to be new.

use serde_json::json;

use crate::router::{Router, configuration, own_host, route};
use crate::standin::{Mode, Upstream};

fn plain() -> Upstream {
    Upstream::start(&own_host(), "i-1", "plain")
}

#[test]
fn a_router_without_a_configuration_refuses_for_now() {
    let upstream = plain();
    let router = Router::start_bare(&own_host(), |store| {
        store.put(&upstream.key(), &upstream.entry("ready", 1));
    });
    let answer = router.ask("GET /safe/x", &[], "").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!router.is_ready());
    router.store.put("op/config", &configuration(1));
    router.until("ready", || router.is_ready());
}

#[test]
fn a_request_that_comes_before_the_first_configuration_waits_for_it() {
    let upstream = plain();
    let router = Router::start_bare(&own_host(), |store| {
        store.set_mode(Mode::Busy);
        store.put(&upstream.key(), &upstream.entry("ready", 1));
        store.put("op/config", &configuration(1));
    });
    router.until("noticed", || router.has_logged("the store does not answer"));
    // Requests come before and after the store is back; the looks go on.
    let caller = |_| router.ask("GET /safe/x", &[], "").unwrap().status;
    assert_eq!(caller(0), 503);
    router.store.set_mode(Mode::Up);
    let statuses: Vec<_> = (0..3).map(caller).collect();
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
}

#[test]
fn a_change_is_in_force_soon_and_an_older_one_never() {
    let upstream = plain();
    let router = Router::start(&configuration(5), &[&upstream]);
    let status = |line: &str| router.ask(line, &[], "").unwrap().status;
    assert_eq!(status("GET /added/x"), 404);
    let mut changed = configuration(7);
    changed["routes"] = json!([route("added", "safe", "plain")]);
    router.store.put("op/config", &changed);
    router.until("added", || status("GET /added/x") == 200);
    assert_eq!(status("GET /safe/x"), 404);
    router.store.put("op/config", &configuration(6));
    router.store.put("servers/marker", &json!({ "not": "an entry" }));
    router.until("looked", || router.has_logged("an entry can't be read"));
    assert_eq!(status("GET /safe/x"), 404);
    assert_eq!(status("GET /added/x"), 200);
}

#[test]
fn a_key_that_was_taken_away_no_longer_counts() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    let status = |key: &str| {
        let key = format!("Bearer {key}");
        router.ask("GET /safe/x", &[("Authorization", &key)], "").unwrap().status
    };
    assert_eq!(status("key-one"), 200);
    let mut changed = configuration(2);
    changed["tenants"] = json!([{ "name": "workspace-one", "apiKeys": ["key-two"] }]);
    router.store.put("op/config", &changed);
    router.until("revoked", || status("key-one") == 401);
    assert_eq!(status("key-two"), 200);
}

#[test]
fn callers_with_a_key_are_refused_once_the_configuration_can_not_be_confirmed() {
    let upstream = plain();
    for mode in [Mode::Busy, Mode::Silent] {
        let router = Router::start(&configuration(1), &[&upstream]);
        let status = || router.ask("GET /safe/x", &[], "").unwrap().status;
        assert_eq!(status(), 200);
        router.store.set_mode(mode);
        router.until("refused", || status() == 503);
        router.until("noticed", || router.has_logged("the store does not answer"));
        let arrived = upstream.requests().len();
        assert_eq!(status(), 503);
        assert_eq!(upstream.requests().len(), arrived);
        // What isn't known may be new: that, too, can't be confirmed.
        assert_eq!(router.ask("GET /nothing/x", &[], "").unwrap().status, 503);
        // Callers are better sent to a router that hears from the store.
        assert!(!router.is_ready());
        router.store.set_mode(Mode::Up);
        router.until("back", || status() == 200 && router.is_ready());
        assert!(router.has_logged("the store answers again"));
    }
}
