//! Upstreams that restart under the same name, and invalid entries in the store.

use std::time::Duration;

use serde_json::{Value, json};

use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Upstream};

/// Two instances of one upstream, at different addresses.
fn instances(name: &str, service: &str) -> [Upstream; 2] {
    [0, 1].map(|_| Upstream::start(&unused_host(), name, service))
}

/// The entry of an instance started at `born`.
fn entry(upstream: &Upstream, born: u64, sequence: u64) -> Value {
    let mut entry = upstream.entry("ready", sequence);
    entry["born"] = born.into();
    entry
}

/// Starts a router whose store contains these entries.
fn start_router(entries: &[(&Upstream, Value)]) -> Router {
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        for (upstream, entry) in entries {
            store.put(&upstream.key(), entry);
        }
    });
    router.wait_until("ready", || router.is_ready());
    router
}

/// Whether `upstream` serves the request with this number.
fn is_served_by(router: &Router, upstream: &Upstream, number: usize) -> bool {
    let before = upstream.requests().len();
    let id = format!("id-{number}");
    let answer = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "");
    answer.is_some_and(|answer| answer.status == 200) && upstream.requests().len() > before
}

#[test]
fn a_later_instance_replaces_an_earlier_one_with_a_higher_sequence() {
    let [earlier, later] = instances("i-1", "plain");
    let router = start_router(&[(&earlier, entry(&earlier, 10, 50))]);
    assert!(is_served_by(&router, &earlier, 1));
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.wait_until("using the later instance", || is_served_by(&router, &later, 2));
    let expected = later
        .requests()
        .last()
        .and_then(|request| request.header("expected-instance").map(str::to_owned));
    assert_eq!(expected.as_deref(), Some("i-1"));
    // A late heartbeat of the earlier instance is ignored.
    router.store.put(&earlier.key(), &entry(&earlier, 10, 99));
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_served_by(&router, &later, 3));
    // Removing the entry removes the later instance too.
    router.store.remove(&later.key());
    router.wait_until("without the upstream", || {
        router.request("GET /safe/x", &[], "").unwrap().status == 503
    });
}

/// Guards against never hearing an upstream again whose earlier start had a clock that was ahead.
#[test]
fn an_instance_with_an_earlier_start_time_is_heard_once_it_goes_on_writing() {
    let [ahead, running] = instances("i-1", "plain");
    let other = Upstream::start(&unused_host(), "i-2", "plain");
    let router = start_router(&[(&ahead, entry(&ahead, 20, 3)), (&other, entry(&other, 10, 1))]);
    for sequence in 1..4 {
        router.store.put(&running.key(), &entry(&running, 10, sequence));
        // A poll sees each entry.
        std::thread::sleep(Duration::from_millis(400));
    }
    router.wait_until("using the instance", || {
        (0..10).any(|number| is_served_by(&router, &running, number))
    });
    let mut leaving = entry(&running, 10, 4);
    leaving["state"] = "draining".into();
    router.store.put(&running.key(), &leaving);
    router.wait_until("without the instance", || {
        (0..10).all(|number| is_served_by(&router, &other, number))
    });
}

#[test]
fn a_later_instance_is_not_suspended_for_failures_of_the_earlier_one() {
    let [earlier, later] = instances("i-1", "plain");
    let other = Upstream::start(&unused_host(), "i-2", "plain");
    let router =
        start_router(&[(&earlier, entry(&earlier, 10, 1)), (&other, entry(&other, 10, 1))]);
    // A misdirected answer suspends the upstream for ten seconds.
    earlier.set_actions(&[Action::Misdirected]);
    for number in 0..20 {
        is_served_by(&router, &earlier, number);
    }
    assert!(router.has_logged("upstream left alone"));
    let changes =
        || router.log().iter().filter(|line| line["payload"] == "upstreams changed").count();
    let before = changes();
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.wait_until("aware of the later instance", || changes() > before);
    assert!((100..120).any(|number| is_served_by(&router, &later, number)));
}

#[test]
fn a_later_instance_has_no_cached_prefixes() {
    let [earlier, later] = instances("i-1", "engine");
    earlier.set_actions(&[Action::Events(1, 2, 1)]);
    later.set_actions(&[Action::Events(1, 2, 1)]);
    let router = start_router(&[(&earlier, entry(&earlier, 10, 1))]);
    let has_read_prompt = |number: usize| {
        let id = format!("id-{number}");
        let headers = [("Attempt-Identifier", &*id), ("Prompt-Prefix", "aa:900,bb:900,cc:1")];
        assert!(router.request("POST /stream/x", &headers, "b").unwrap().whole);
        let ended = || router.log().into_iter().find(|line| line["kv"]["request"] == *id);
        router.wait_until("logged", || ended().is_some());
        ended().expect("a line")["kv"]["tries"].to_string().contains("read=1800,")
    };
    assert_eq!([1, 2].map(has_read_prompt), [true, false]);
    let changes =
        || router.log().iter().filter(|line| line["payload"] == "upstreams changed").count();
    let before = changes();
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.wait_until("aware of the later instance", || changes() > before);
    assert_eq!([3, 4].map(has_read_prompt), [true, false]);
}

/// Invalid entries: fields that are missing, repeated, of another type or out of range, unknown
/// variants, invalid JSON or UTF-8, truncated, empty and oversized text.
fn invalid_entries(upstream: &Upstream) -> Vec<Vec<u8>> {
    let valid = entry(upstream, 10, 9);
    let mut entries = Vec::new();
    let fields =
        ["service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"];
    for field in fields {
        let mut missing = valid.clone();
        missing.as_object_mut().expect("an object").remove(field);
        entries.push(missing.to_string().into_bytes());
    }
    let others = [json!(null), json!(true), json!([]), json!({ "a": 1 }), json!(-1), json!("")];
    for field in fields.iter().chain(&["born", "models"]) {
        for other in &others {
            let is_valid = (*field == "models" && *other == json!([]))
                || (*field == "version" && *other == json!(""));
            if is_valid {
                continue;
            }
            let mut changed = valid.clone();
            changed[*field] = other.clone();
            entries.push(changed.to_string().into_bytes());
        }
    }
    let mut unknown_state = valid.clone();
    unknown_state["state"] = "resting".into();
    let text = valid.to_string();
    let twice = text.replacen('{', r#"{"slots":8,"#, 1);
    let long = format!("{}{text}", " ".repeat(1_000)).replace(' ', "x");
    let others =
        [unknown_state.to_string(), twice, long, text[..text.len() / 2].to_owned(), String::new()];
    entries.extend(others.map(String::into_bytes));
    entries.push(vec![0xff; 200]);
    entries.push(vec![b'x'; 1_000_000]);
    entries
}

#[test]
fn an_invalid_entry_removes_its_upstream_and_no_other() {
    let [invalid, other] = crate::router::plain_pair();
    let router =
        start_router(&[(&invalid, entry(&invalid, 10, 1)), (&other, entry(&other, 10, 1))]);
    let served = |number: usize| is_served_by(&router, &invalid, number);
    let served_count = |from: usize| (from..from + 8).filter(|number| served(*number)).count();
    for (index, bytes) in invalid_entries(&invalid).into_iter().enumerate() {
        let number = 100 * (index + 1);
        router.wait_until("using the upstream", || served_count(number) > 0);
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        router.store.put_bytes(&invalid.key(), &bytes);
        router.wait_until(&format!("without the upstream: {text}"), || {
            served_count(number + 20) == 0
        });
        assert!(is_served_by(&router, &other, number + 50), "{text}");
        router.store.put(&invalid.key(), &entry(&invalid, 10, 2 + index as u64));
    }
    router.wait_until("using the upstream again", || served_count(9) > 0);
    let metric = "silverstack_beliefs_total{kind=\"entry_unreadable\"}";
    assert!(router.page("/metrics").contains(metric));
}

#[test]
fn finds_an_upstream_among_many_invalid_entries() {
    let upstream = Upstream::start(&unused_host(), "i-1", "plain");
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        for (index, bytes) in invalid_entries(&upstream).into_iter().enumerate() {
            store.put_bytes(&format!("servers/foreign-{index}"), &bytes);
        }
        store.put(&upstream.key(), &entry(&upstream, 10, 1));
    });
    router.wait_until("ready", || router.is_ready());
    assert!((0..5).all(|number| is_served_by(&router, &upstream, number)));
}
