//! The configuration: taken soon, never an older one, and proved to be new.

use std::process::Command;

use serde_json::json;

use crate::router::{Router, configuration, own_host, route};
use crate::standin::{Mode, Upstream};

fn plain() -> Upstream {
    Upstream::start(&own_host(), "i-1", "plain")
}

#[test]
fn long_answers_of_the_store_make_looks_ask_for_less() {
    let [one, two] = crate::router::pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    let asked = |path: &str| router.store.targets().iter().any(|it| it.starts_with(path));
    let mut long = router.shorten_looks();
    router.until("asked for less", || asked("/v1/kv-key?privateKey=op/config"));
    assert!(asked("/v1/kv-watch?pathPrefix=servers/"));

    // All that matters is still seen meanwhile.
    long["version"] = 20.into();
    long["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &long);
    router.until("in force", || router.ask("GET /safe/x", &[], "").unwrap().status == 404);
    router.store.remove(&one.key());
    let changes = || router.log().iter().any(|it| it["kv"]["upstreams"] == 1);
    router.until("gone", changes);
    // And what was left out is read later.
    router.store.put_text("silverstack/routers/front-2", "127.0.0.1:9");
    router.until("met", || router.has_logged("another router announced itself"));
}

#[test]
fn a_store_that_merely_holds_much_makes_no_look_ask_for_less() {
    let [one, two] = crate::router::pair();
    let mut long = configuration(1);
    long["note"] = "x".repeat(600_000).into();
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &long);
        store.put(&one.key(), &one.entry("ready", 1));
    });
    router.until("ready", || router.is_ready());
    router.store.put(&two.key(), &two.entry("ready", 1));
    let changes = || router.log().iter().any(|it| it["kv"]["upstreams"] == 2);
    router.until("seen", changes);
    assert!(!router.has_logged("store polls are reduced"));
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

#[test]
fn mechanisms_are_switched_off_by_a_file_that_is_checked() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    let file = router.settings().with_extension("json");
    let check = |json: &str| {
        std::fs::write(&file, json).expect("the test can write");
        let mut command = Command::new(env!("CARGO_BIN_EXE_silverstack-router"));
        command.env("SILVERSTACK_SETTINGS", router.settings());
        command.env("SILVERSTACK_MECHANISMS", &file);
        command.arg("--check").output().expect("the binary runs").status.code()
    };
    assert_eq!(check(r#"{ "health": false }"#), Some(0));
    assert_eq!(check(r#"{ "helth": false }"#), Some(2));
}

#[test]
fn a_connection_to_the_store_that_falls_silent_is_left() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.store.silence_connections();
    let mut changed = configuration(2);
    changed["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &changed);
    router.until("in force", || router.ask("GET /safe/x", &[], "").unwrap().status == 404);
}

#[test]
fn looks_that_ask_for_less_read_the_configuration_after_all_that_they_say_is_known() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.shorten_looks();
    let before = router.store.beside_watches().len();
    let looks = router.store.targets().len();
    // Its changes, or all of it.
    let is_read = |it: &&String| it.contains("=op/config");
    router.until("looked", || router.store.targets()[looks..].iter().filter(is_read).count() > 3);
    // One that is read while changes are waited for may be older than the revision of these.
    let beside = router.store.beside_watches();
    let read: Vec<_> = beside[before..].iter().filter(is_read).collect();
    assert!(read.is_empty(), "{read:?}");
}

#[test]
fn a_long_history_of_configurations_holds_nothing_up() {
    let [gone, stays] = crate::router::pair();
    let router = Router::start(&configuration(1), &[&gone, &stays]);
    // Nobody could read it to its end.
    router.store.set_most(400_000);
    let mut long = router.shorten_looks();
    long["version"] = 20.into();
    long["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &long);
    router.store.remove(&gone.key());
    router.until("in force", || router.ask("GET /safe/x", &[], "").unwrap().status == 404);
    router.until("gone", || router.log().iter().any(|it| it["kv"]["upstreams"] == 1));
    let failed = |it: &&serde_json::Value| it["payload"] == "the store does not answer";
    // Once, as the store turned it away.
    assert_eq!(router.log().iter().filter(failed).count(), 1, "{:?}", router.log());
}

#[test]
fn looks_that_ask_for_less_bring_the_configuration_only_where_it_has_changed() {
    let upstream = plain();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.shorten_looks();
    let looks = router.store.targets().len();
    let asked = |of: &str| {
        let targets = router.store.targets();
        targets[looks..].iter().filter(|it| it.starts_with(of)).count()
    };
    router.until("looked", || asked("/v1/kv-watch?pathPrefix=servers/") > 3);
    // The first of them, as the history is long, brings it whole.
    assert!(asked("/v1/kv-key?privateKey=op/config") <= 1);
}

#[test]
fn after_an_outage_no_history_of_long_configurations_is_asked_for() {
    let [gone, stays] = crate::router::pair();
    let mut long = configuration(1);
    long["note"] = "x".repeat(300_000).into();
    let router = Router::start(&long, &[&gone, &stays]);
    router.store.set_mode(Mode::Busy);
    router.until("missed", || router.has_logged("the store does not answer"));
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    let looks = router.store.targets().len();
    router.store.set_mode(Mode::Up);
    router.until("back", || router.has_logged("the store answers again"));
    for version in 2..6 {
        long["version"] = version.into();
        router.store.put("op/config", &long);
    }
    router.store.remove(&gone.key());
    router.until("gone", || router.log().iter().any(|it| it["kv"]["upstreams"] == 1));
    let targets = router.store.targets();
    let history: Vec<_> =
        targets[looks..].iter().filter(|it| it.starts_with("/v1/kv-watch?pathPrefix=&")).collect();
    assert!(history.is_empty(), "{history:?}");
}
