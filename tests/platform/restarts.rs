//! Upstreams that start again under the name that they had.

use std::time::Duration;

use serde_json::{Value, json};

use crate::router::{Router, configuration, own_host};
use crate::standin::{Act, Upstream};

/// Two starts of one upstream, the second at another address.
fn lives(name: &str, service: &str) -> [Upstream; 2] {
    [0, 1].map(|_| Upstream::start(&own_host(), name, service))
}

/// The entry of a start at `born`.
fn entry(upstream: &Upstream, born: u64, sequence: u64) -> Value {
    let mut entry = upstream.entry("ready", sequence);
    entry["born"] = born.into();
    entry
}

/// A router whose store holds these entries.
fn router(entries: &[(&Upstream, Value)]) -> Router {
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        for (upstream, entry) in entries {
            store.put(&upstream.key(), entry);
        }
    });
    router.until("ready", || router.is_ready());
    router
}

/// Whether a request is served by `upstream`.
fn is_served_by(router: &Router, upstream: &Upstream, number: usize) -> bool {
    let before = upstream.requests().len();
    let id = format!("id-{number}");
    let answer = router.ask("GET /safe/x", &[("Attempt-Identifier", &id)], "");
    answer.is_some_and(|it| it.status == 200) && upstream.requests().len() > before
}

#[test]
fn a_later_start_replaces_an_earlier_one_whatever_their_counts() {
    let [earlier, later] = lives("i-1", "plain");
    let router = router(&[(&earlier, entry(&earlier, 10, 50))]);
    assert!(is_served_by(&router, &earlier, 1));
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.until("heard", || is_served_by(&router, &later, 2));
    let meant =
        later.requests().last().and_then(|it| it.header("expected-instance").map(str::to_owned));
    assert_eq!(meant.as_deref(), Some("i-1"));
    // The earlier one's last words come late.
    router.store.put(&earlier.key(), &entry(&earlier, 10, 99));
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_served_by(&router, &later, 3));
    // Its name goes, and with it the start that stands under it.
    router.store.remove(&later.key());
    router.until("gone", || router.ask("GET /safe/x", &[], "").unwrap().status == 503);
}

#[test]
fn a_later_start_is_not_left_alone_for_what_the_earlier_did() {
    let [earlier, later] = lives("i-1", "plain");
    let stays = Upstream::start(&own_host(), "i-2", "plain");
    let router = router(&[(&earlier, entry(&earlier, 10, 1)), (&stays, entry(&stays, 10, 1))]);
    // Another upstream answers in its place: it is left alone for ten seconds.
    earlier.set(&[Act::Misdirected]);
    for number in 0..20 {
        is_served_by(&router, &earlier, number);
    }
    assert!(router.has_logged("upstream left alone"));
    let changes = || router.log().iter().filter(|it| it["payload"] == "upstreams changed").count();
    let before = changes();
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.until("heard", || changes() > before);
    assert!((100..120).any(|number| is_served_by(&router, &later, number)));
}

#[test]
fn what_an_earlier_start_has_read_is_read_again() {
    let [earlier, later] = lives("i-1", "engine");
    earlier.set(&[Act::Events(1, 2, 1)]);
    later.set(&[Act::Events(1, 2, 1)]);
    let router = router(&[(&earlier, entry(&earlier, 10, 1))]);
    let read = |number: usize| {
        let id = format!("id-{number}");
        let headers = [("Attempt-Identifier", &*id), ("Prompt-Prefix", "aa:900,bb:900,cc:1")];
        assert!(router.ask("POST /stream/x", &headers, "b").unwrap().whole);
        let ended = || router.log().into_iter().find(|it| it["kv"]["request"] == *id);
        router.until("logged", || ended().is_some());
        ended().expect("a line")["kv"]["tries"].to_string().contains("read=1800,")
    };
    assert_eq!([1, 2].map(read), [true, false]);
    let changes = || router.log().iter().filter(|it| it["payload"] == "upstreams changed").count();
    let before = changes();
    router.store.put(&later.key(), &entry(&later, 20, 1));
    router.until("heard", || changes() > before);
    assert_eq!([3, 4].map(read), [true, false]);
}

/// Entries that other writers may leave: fields missing, of another type or out of range,
/// words that are not known, no JSON, no text, cut off, empty, too long, and twice.
fn foreign(upstream: &Upstream) -> Vec<Vec<u8>> {
    let good = entry(upstream, 10, 9);
    let mut entries = Vec::new();
    let fields =
        ["service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"];
    for field in fields {
        let mut missing = good.clone();
        missing.as_object_mut().expect("an object").remove(field);
        entries.push(missing.to_string().into_bytes());
    }
    let others = [json!(null), json!(true), json!([]), json!({ "a": 1 }), json!(-1), json!("")];
    for field in fields.iter().chain(&["born", "models"]) {
        for other in &others {
            let fits = (*field == "models" && *other == json!([]))
                || (*field == "version" && *other == json!(""));
            if fits {
                continue;
            }
            let mut changed = good.clone();
            changed[*field] = other.clone();
            entries.push(changed.to_string().into_bytes());
        }
    }
    let mut word = good.clone();
    word["state"] = "resting".into();
    let text = good.to_string();
    let twice = text.replacen('{', r#"{"slots":8,"#, 1);
    let long = format!("{}{text}", " ".repeat(1_000)).replace(' ', "x");
    let others = [word.to_string(), twice, long, text[..text.len() / 2].to_owned(), String::new()];
    entries.extend(others.map(String::into_bytes));
    entries.push(vec![0xff; 200]);
    entries.push(vec![b'x'; 1_000_000]);
    entries
}

#[test]
fn an_entry_of_another_writer_names_no_upstream_to_use_and_the_others_hold() {
    let [spoiled, stays] = crate::router::pair();
    let router = router(&[(&spoiled, entry(&spoiled, 10, 1)), (&stays, entry(&stays, 10, 1))]);
    let served = |number: usize| is_served_by(&router, &spoiled, number);
    let statuses = |from: usize| (from..from + 8).filter(|it| served(*it)).count();
    for (place, bytes) in foreign(&spoiled).into_iter().enumerate() {
        let number = 100 * (place + 1);
        router.until("used", || statuses(number) > 0);
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        router.store.put_bytes(&spoiled.key(), &bytes);
        router.until(&format!("left: {text}"), || statuses(number + 20) == 0);
        assert!(is_served_by(&router, &stays, number + 50), "{text}");
        router.store.put(&spoiled.key(), &entry(&spoiled, 10, 2 + place as u64));
    }
    router.until("used again", || statuses(9) > 0);
    let told = "silverstack_beliefs_total{kind=\"entry_unreadable\"}";
    assert!(router.page("/metrics").contains(told));
}

#[test]
fn a_store_full_of_entries_of_other_writers_hides_no_upstream() {
    let upstream = Upstream::start(&own_host(), "i-1", "plain");
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        for (place, bytes) in foreign(&upstream).into_iter().enumerate() {
            store.put_bytes(&format!("servers/foreign-{place}"), &bytes);
        }
        store.put(&upstream.key(), &entry(&upstream, 10, 1));
    });
    router.until("ready", || router.is_ready());
    assert!((0..5).all(|number| is_served_by(&router, &upstream, number)));
}
