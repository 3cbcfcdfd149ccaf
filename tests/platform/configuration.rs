//! Updates and confirmation of the configuration, and reduced polls of the store.

use std::process::Command;

use serde_json::{Value, json};

use crate::router::{Router, configuration, route, unused_host};
use crate::standin::{Framing, Mode, Upstream};

fn plain_upstream() -> Upstream {
    Upstream::start(&unused_host(), "i-1", "plain")
}

#[test]
fn reduced_polls_still_see_all_relevant_changes() {
    let [one, two] = crate::router::plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    let has_requested =
        |path: &str| router.store.targets().iter().any(|target| target.starts_with(path));
    let mut long = router.reduce_polls();
    router.wait_until("requesting only the configuration", || {
        has_requested("/v1/kv-key?privateKey=op/config")
    });
    assert!(has_requested("/v1/kv-watch?pathPrefix=servers/"));

    // Changes of the configuration and of upstreams are still seen.
    long["version"] = 20.into();
    long["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &long);
    router.wait_until("using the new configuration", || {
        router.request("GET /safe/x", &[], "").unwrap().status == 404
    });
    router.store.remove(&one.key());
    let has_changed = || router.log().iter().any(|line| line["kv"]["upstreams"] == 1);
    router.wait_until("without the removed upstream", has_changed);
    // Everything else is read later.
    router.store.put_text("silverstack/routers/front-2", "127.0.0.1:9");
    router.wait_until("aware of the other router", || {
        router.has_logged("another router announced itself")
    });
}

#[test]
fn a_large_store_alone_does_not_reduce_polls() {
    let [one, two] = crate::router::plain_pair();
    let mut long = configuration(1);
    long["note"] = "x".repeat(600_000).into();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &long);
        store.put(&one.key(), &one.entry("ready", 1));
    });
    router.wait_until("ready", || router.is_ready());
    router.store.put(&two.key(), &two.entry("ready", 1));
    let has_changed = || router.log().iter().any(|line| line["kv"]["upstreams"] == 2);
    router.wait_until("aware of the new upstream", has_changed);
    assert!(!router.has_logged("store polls are reduced"));
}

#[test]
fn refuses_requests_before_the_first_configuration() {
    let upstream = plain_upstream();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put(&upstream.key(), &upstream.entry("ready", 1));
    });
    let answer = router.request("GET /safe/x", &[], "").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!router.is_ready());
    router.store.put("op/config", &configuration(1));
    router.wait_until("ready", || router.is_ready());
}

#[test]
fn a_request_waits_for_the_first_configuration() {
    let upstream = plain_upstream();
    let router = Router::start_unready(&unused_host(), |store| {
        store.set_mode(Mode::Busy);
        store.put(&upstream.key(), &upstream.entry("ready", 1));
        store.put("op/config", &configuration(1));
    });
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    // The first requests may arrive before the next poll.
    let send = |_| router.request("GET /safe/x", &[], "").unwrap().status;
    assert_eq!(send(0), 503);
    router.store.set_mode(Mode::Up);
    let statuses: Vec<_> = (0..3).map(send).collect();
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
}

#[test]
fn applies_a_newer_configuration_and_ignores_an_older_one() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(5), &[&upstream]);
    let status = |line: &str| router.request(line, &[], "").unwrap().status;
    assert_eq!(status("GET /added/x"), 404);
    let mut changed = configuration(7);
    changed["routes"] = json!([route("added", "safe", "plain")]);
    router.store.put("op/config", &changed);
    router.wait_until("added", || status("GET /added/x") == 200);
    assert_eq!(status("GET /safe/x"), 404);
    router.store.put("op/config", &configuration(6));
    router.store.put("servers/marker", &json!({ "not": "an entry" }));
    router
        .wait_until("past the older configuration", || router.has_logged("an entry can't be read"));
    assert_eq!(status("GET /safe/x"), 404);
    assert_eq!(status("GET /added/x"), 200);
}

#[test]
fn refuses_a_revoked_key() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let status = |key: &str| {
        let key = format!("Bearer {key}");
        router.request("GET /safe/x", &[("Authorization", &key)], "").unwrap().status
    };
    assert_eq!(status("key-one"), 200);
    let mut changed = configuration(2);
    changed["tenants"] = json!([{ "name": "workspace-one", "apiKeys": ["key-two"] }]);
    router.store.put("op/config", &changed);
    router.wait_until("refusing the revoked key", || status("key-one") == 401);
    assert_eq!(status("key-two"), 200);
}

/// Guards against opening all routes when the last key is revoked: an empty list of workspaces still
/// requires keys, also at a router that starts later.
#[test]
fn revoking_the_last_key_closes_all_routes_that_need_one() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let status = |router: &Router, line: &str, key: &str| {
        router.request(line, &[("Authorization", key)], "").unwrap().status
    };
    assert_eq!(status(&router, "GET /safe/x", "Bearer key-one"), 200);
    let mut changed = configuration(2);
    changed["tenants"] = json!([]);
    let mut open = route("open", "safe", "plain");
    open["allowAnonymous"] = true.into();
    changed["routes"].as_array_mut().expect("routes").push(open);
    router.store.put("op/config", &changed);
    let is_applied = || status(&router, "GET /open/x", "") == 200;
    router.wait_until("using the new configuration", is_applied);
    let later = Router::join(&router.store, "front-2");
    let received = upstream.requests().len();
    for router in [&router, &later] {
        for key in ["Bearer key-one", "Bearer other", ""] {
            assert_eq!(status(router, "GET /safe/x", key), 401, "{key:?}");
        }
    }
    assert_eq!(upstream.requests().len(), received);
    assert_eq!(status(&later, "GET /open/x", ""), 200);
}

/// A configuration with a route `open` that needs no key, and the keys `keys`.
fn with_open_route(version: u64, keys: &[&str]) -> Value {
    let mut configuration = configuration(version);
    let mut open = route("open", "safe", "plain");
    open["allowAnonymous"] = true.into();
    configuration["routes"].as_array_mut().expect("routes").push(open);
    configuration["tenants"] = json!([{ "name": "workspace-one", "apiKeys": keys }]);
    configuration
}

/// Guards against running a request with a revoked key, or a wrong one, as if it had none.
#[test]
fn a_key_that_names_nobody_is_refused_where_none_is_needed_too() {
    let upstream = plain_upstream();
    let first = Router::start(&with_open_route(1, &["key-one", "key-two"]), &[&upstream]);
    let status = |router: &Router, key: &str| {
        router.request("GET /open/x", &[("Authorization", key)], "").unwrap().status
    };
    assert_eq!(
        ["", "Bearer key-one", "Bearer wrong"].map(|key| status(&first, key)),
        [200, 200, 401]
    );
    first.store.put("op/config", &with_open_route(2, &["key-two"]));
    first.wait_until("refusing the revoked key", || status(&first, "Bearer key-one") == 401);
    let later = Router::join(&first.store, "front-2");
    let keys = ["Bearer key-one", "Bearer wrong", "Bearer key-two", ""];
    for router in [&first, &later] {
        assert_eq!(keys.map(|key| status(router, key)), [401, 401, 200, 200]);
    }
    // The last key is revoked.
    first.store.put("op/config", &with_open_route(3, &[]));
    for router in [&first, &later] {
        router.wait_until("refusing the last key", || status(router, "Bearer key-two") == 401);
        assert_eq!(status(router, ""), 200);
    }
}

/// Guards against running a request with a key that may have been revoked because its route needs
/// none.
#[test]
fn a_key_is_refused_while_unconfirmed_where_none_is_needed_too() {
    let upstream = plain_upstream();
    let router = Router::start(&with_open_route(1, &["key-one"]), &[&upstream]);
    let status =
        |key: &str| router.request("GET /open/x", &[("Authorization", key)], "").unwrap().status;
    router.store.set_mode(Mode::Busy);
    router.wait_until("refusing unconfirmed keys", || status("Bearer key-one") == 503);
    assert_eq!(status("Bearer wrong"), 503);
    assert_eq!(status(""), 200);
}

#[test]
fn a_configuration_without_a_list_of_workspaces_requires_no_keys() {
    let upstream = plain_upstream();
    let mut open = configuration(1);
    open.as_object_mut().expect("a configuration").remove("tenants");
    let router = Router::start(&open, &[&upstream]);
    for key in ["", "Bearer key-one"] {
        let answer = router.request("GET /safe/x", &[("Authorization", key)], "").unwrap();
        assert_eq!(answer.status, 200, "{key:?}");
    }
    // Unchanged routes are read again with the list.
    let mut closed = configuration(2);
    closed["tenants"] = json!([]);
    router.store.put("op/config", &closed);
    router.wait_until("requiring keys", || {
        router.request("GET /safe/x", &[("Authorization", "")], "").unwrap().status == 401
    });
}

/// Guards against refusing a whole configuration, and so keeping revoked keys valid, because one
/// route may be held for longer than the router holds any request.
#[test]
fn a_route_with_a_timeout_of_days_does_not_keep_a_revoked_key_valid() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let mut changed = configuration(2);
    changed["tenants"] = json!([{ "name": "workspace-one", "apiKeys": ["key-two"] }]);
    for (name, days) in [("batch", 2.0), ("archive", 1e9)] {
        let mut batch = route(name, "unsafe", "plain");
        batch["timeoutMs"] = (days * 86_400_000.0).into();
        changed["routes"].as_array_mut().expect("routes").push(batch);
    }
    router.store.put("op/config", &changed);
    let status = |line: &str, key: &str| {
        let key = format!("Bearer {key}");
        router.request(line, &[("Authorization", &key)], "").unwrap().status
    };
    router.wait_until("refusing the revoked key", || status("GET /safe/x", "key-one") == 401);
    for line in ["GET /safe/x", "POST /batch/x", "POST /archive/x"] {
        assert_eq!(status(line, "key-two"), 200, "{line}");
    }
}

/// What an operator may leave in place of a configuration: one that breaks a rule, one that can't be
/// read, or nothing.
fn unusable_configurations() -> [(&'static str, Option<Value>); 3] {
    let mut refused = configuration(4);
    refused["tenants"] = json!([{ "name": "twice" }, { "name": "twice" }]);
    let mut unreadable = configuration(4);
    unreadable["tenants"] = json!({ "apiKeys": [] });
    [("refused", Some(refused)), ("unreadable", Some(unreadable)), ("removed", None)]
}

/// Guards against taking an older configuration, with keys that may be revoked, for the newest one
/// because the newest one can't be used.
#[test]
fn an_unusable_configuration_does_not_confirm_an_older_one() {
    let upstream = plain_upstream();
    for (name, unusable) in unusable_configurations() {
        let router = Router::start(&configuration(1), &[&upstream]);
        match unusable {
            Some(value) => router.store.put("op/config", &value),
            None => router.store.remove("op/config"),
        }
        let status = |router: &Router| router.request("GET /safe/x", &[], "").unwrap().status;
        router.wait_until(&format!("refusing keys: {name}"), || status(&router) == 503);
        let received = upstream.requests().len();
        // Polls that bring nothing new confirm nothing either.
        std::thread::sleep(std::time::Duration::from_secs(1));
        let later = Router::join_unready(&router.store, "front-2");
        assert_eq!([status(&router), status(&later)], [503, 503], "{name}");
        assert_eq!(upstream.requests().len(), received, "{name}");
        router.store.put("op/config", &configuration(5));
        for router in [&router, &later] {
            router.wait_until("serving", || status(router) == 200);
        }
    }
}

#[test]
fn refuses_callers_with_a_key_while_the_configuration_is_unconfirmed() {
    let upstream = plain_upstream();
    for mode in [Mode::Busy, Mode::Silent] {
        let router = Router::start(&configuration(1), &[&upstream]);
        let status = || router.request("GET /safe/x", &[], "").unwrap().status;
        assert_eq!(status(), 200);
        router.store.set_mode(mode);
        router.wait_until("refusing unconfirmed keys", || status() == 503);
        router.wait_until("failing to poll the store", || {
            router.has_logged("the store does not answer")
        });
        let received = upstream.requests().len();
        assert_eq!(status(), 503);
        assert_eq!(upstream.requests().len(), received);
        // An unknown route may be new, so 404 can't be confirmed either.
        assert_eq!(router.request("GET /nothing/x", &[], "").unwrap().status, 503);
        // Not ready, so that callers use a router that reaches the store.
        assert!(!router.is_ready());
        router.store.set_mode(Mode::Up);
        router.wait_until("polling the store again", || status() == 200 && router.is_ready());
        assert!(router.has_logged("the store answers again"));
    }
}

/// Guards against a bound so small that a margin uses it up being taken for none.
#[test]
fn the_smallest_bound_on_revoked_keys_is_kept() {
    let upstream = plain_upstream();
    for bound in ["0", "1", "1100"] {
        let host = unused_host();
        let mut router = Router::start_unready(&host, |store| {
            store.put("op/config", &configuration(1));
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        });
        router.kill();
        let settings = std::fs::read_to_string(router.settings()).expect("the settings");
        let settings = settings.replace("revocationMs = 3000", &format!("revocationMs = {bound}"));
        std::fs::write(router.settings(), settings).expect("the file is writable");
        router.restart();
        router.wait_until("listening again", || router.is_listening());
        router.store.set_mode(Mode::Busy);
        router.wait_until("failing to poll the store", || {
            router.has_logged("the store does not answer")
        });
        let received = upstream.requests().len();
        assert_eq!(router.request("GET /safe/x", &[], "").unwrap().status, 503, "{bound}");
        assert_eq!(upstream.requests().len(), received, "{bound}");
    }
}

#[test]
fn check_rejects_an_unknown_mechanism() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    let file = router.settings().with_extension("json");
    let check = |json: &str| {
        std::fs::write(&file, json).expect("the file is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_silverstack-router"));
        command.env("SILVERSTACK_SETTINGS", router.settings());
        command.env("SILVERSTACK_MECHANISMS", &file);
        command.arg("--check").output().expect("the binary runs").status.code()
    };
    assert_eq!(check(r#"{ "health": false }"#), Some(0));
    assert_eq!(check(r#"{ "helth": false }"#), Some(2));
}

#[test]
fn replaces_a_store_connection_that_stops_answering() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.store.silence_connections();
    let mut changed = configuration(2);
    changed["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &changed);
    router.wait_until("using the new configuration", || {
        router.request("GET /safe/x", &[], "").unwrap().status == 404
    });
}

#[test]
fn reduced_polls_never_read_the_configuration_during_a_watch() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.reduce_polls();
    let before = router.store.targets_during_watches().len();
    let polls = router.store.targets().len();
    // Requests for the changes of the configuration or for its whole value.
    let reads_configuration = |target: &&String| target.contains("=op/config");
    router.wait_until("polling for upstreams", || {
        router.store.targets()[polls..].iter().filter(reads_configuration).count() > 3
    });
    // A value read during a watch may be older than the revision that the watch returns.
    let beside = router.store.targets_during_watches();
    let reads: Vec<_> = beside[before..].iter().filter(reads_configuration).collect();
    assert!(reads.is_empty(), "{reads:?}");
}

#[test]
fn a_long_configuration_history_delays_no_other_change() {
    let [removed, remaining] = crate::router::plain_pair();
    let router = Router::start(&configuration(1), &[&removed, &remaining]);
    // An answer with the whole history never completes.
    router.store.set_answer_limit(400_000);
    let mut long = router.reduce_polls();
    long["version"] = 20.into();
    long["routes"].as_array_mut().expect("routes").remove(0);
    router.store.put("op/config", &long);
    router.store.remove(&removed.key());
    router.wait_until("using the new configuration", || {
        router.request("GET /safe/x", &[], "").unwrap().status == 404
    });
    router.wait_until("without the removed upstream", || {
        router.log().iter().any(|line| line["kv"]["upstreams"] == 1)
    });
    let failed = |line: &&serde_json::Value| line["payload"] == "the store does not answer";
    // The only failed poll is the one that the store rejected.
    assert_eq!(router.log().iter().filter(failed).count(), 1, "{:?}", router.log());
}

#[test]
fn reduced_polls_read_the_configuration_only_after_a_change() {
    let upstream = plain_upstream();
    let router = Router::start(&configuration(1), &[&upstream]);
    router.reduce_polls();
    let polls = router.store.targets().len();
    let has_requested = |path: &str| {
        let targets = router.store.targets();
        targets[polls..].iter().filter(|target| target.starts_with(path)).count()
    };
    router.wait_until("polling for upstreams", || {
        has_requested("/v1/kv-watch?pathPrefix=servers/") > 3
    });
    // Only the first reduced poll reads the whole value.
    assert!(has_requested("/v1/kv-key?privateKey=op/config") <= 1);
}

#[test]
fn does_not_request_a_long_configuration_history_after_an_outage() {
    let [removed, remaining] = crate::router::plain_pair();
    let mut long = configuration(1);
    long["note"] = "x".repeat(300_000).into();
    let router = Router::start(&long, &[&removed, &remaining]);
    router.store.set_mode(Mode::Busy);
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    let polls = router.store.targets().len();
    router.store.set_mode(Mode::Up);
    router.wait_until("polling the store again", || router.has_logged("the store answers again"));
    for version in 2..6 {
        long["version"] = version.into();
        router.store.put("op/config", &long);
    }
    router.store.remove(&removed.key());
    router.wait_until("without the removed upstream", || {
        router.log().iter().any(|line| line["kv"]["upstreams"] == 1)
    });
    let targets = router.store.targets();
    let history: Vec<_> = targets[polls..]
        .iter()
        .filter(|target| target.starts_with("/v1/kv-watch?pathPrefix=&"))
        .collect();
    assert!(history.is_empty(), "{history:?}");
}

/// Starts a router, has its store mark the ends of answers by `framing`, removes an upstream and
/// writes configurations that are too long for one poll. Waits until both are applied.
fn read_long_history(framing: Framing) -> Router {
    let [removed, remaining] = crate::router::plain_pair();
    let mut long = configuration(1);
    let router = Router::start(&long, &[&removed, &remaining]);
    router.store.set_framing(framing);
    long["note"] = "x".repeat(300_000).into();
    long["routes"].as_array_mut().expect("routes").remove(0);
    for version in [20, 21] {
        long["version"] = version.into();
        router.store.put("op/config", &long);
    }
    router.store.remove(&removed.key());
    router.wait_until("using the new configuration", || {
        router.request("GET /safe/x", &[], "").unwrap().status == 404
    });
    router.wait_until("without the removed upstream", || {
        router.log().iter().any(|line| line["kv"]["upstreams"] == 1)
    });
    router
}

#[test]
fn a_long_history_in_chunks_reduces_polls() {
    let router = read_long_history(Framing::Chunks);
    router.wait_until("polling less", || router.has_logged("store polls are reduced"));
    assert!(!router.has_logged("the store does not answer"));
}

#[test]
fn an_answer_without_end_is_cut_off_and_delays_no_change() {
    let router = read_long_history(Framing::Endless);
    router.wait_until("polling less", || router.has_logged("store polls are reduced"));
    assert!(!router.has_logged("the store does not answer"));
}
