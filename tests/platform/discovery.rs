//! Discovery of upstreams and of other routers through the store.

use crate::router::{Router, configuration, plain_pair, unused_host};
use crate::standin::{Mode, Upstream};

/// Sends ten requests; returns whether all go to `upstream`.
fn all_go_to(router: &Router, upstream: &Upstream) -> bool {
    let before = upstream.requests().len();
    for number in 0..10 {
        let id = format!("id-{before}-{number}");
        let answer = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "");
        assert_eq!(answer.unwrap().status, 200);
    }
    upstream.requests().len() - before == 10
}

#[test]
fn sends_no_new_requests_to_a_draining_upstream() {
    let [leaving, remaining] = plain_pair();
    let router = Router::start(&configuration(1), &[&leaving, &remaining]);
    assert!(!all_go_to(&router, &remaining));
    router.store.put(&leaving.key(), &leaving.entry("draining", 2));
    router
        .wait_until("sending everything to the other upstream", || all_go_to(&router, &remaining));
    // An earlier heartbeat is ignored.
    router.store.put(&leaving.key(), &leaving.entry("ready", 1));
    router.store.put("servers/marker", &serde_json::json!({}));
    router.wait_until("past the earlier heartbeat", || router.has_logged("an entry can't be read"));
    assert!(all_go_to(&router, &remaining));
}

#[test]
fn sends_no_new_requests_to_a_removed_upstream() {
    let [removed, remaining] = plain_pair();
    let router = Router::start(&configuration(1), &[&removed, &remaining]);
    router.store.remove(&removed.key());
    router
        .wait_until("sending everything to the other upstream", || all_go_to(&router, &remaining));
}

#[test]
fn reads_everything_again_after_the_history_was_compacted() {
    let [removed, remaining] = plain_pair();
    let router = Router::start(&configuration(1), &[&removed, &remaining]);
    let late = Upstream::start(&unused_host(), "i-3", "plain");
    router.store.set_mode(Mode::Busy);
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    router.store.remove(&removed.key());
    router.store.remove(&remaining.key());
    router.store.put(&late.key(), &late.entry("ready", 1));
    router.store.compact();
    router.store.set_mode(Mode::Up);
    router.wait_until("using only the new upstream", || all_go_to(&router, &late));
    assert!(router.has_logged("the store's history is gone; everything is read anew"));
}

#[test]
fn keeps_upstreams_whose_entries_expired_in_an_outage_for_a_while() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.store.set_mode(Mode::Busy);
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    router.store.remove(&one.key());
    router.store.remove(&two.key());
    router.store.set_mode(Mode::Up);
    router.wait_until("polling the store again", || router.has_logged("the store answers again"));
    assert_eq!(router.request("GET /safe/x", &[], "").unwrap().status, 200);
    router.store.put(&one.key(), &one.entry("ready", 2));
    router.wait_until("without the missing upstream", || all_go_to(&router, &one));
}

#[test]
fn starts_with_saved_upstreams_while_entries_are_missing() {
    const SAVED_UPSTREAMS: &str = "silverstack/upstreams";
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.wait_until("saving its upstreams", || router.store.contains_key(SAVED_UPSTREAMS));
    let text = router.store.text(SAVED_UPSTREAMS).expect("a text");
    drop(router);

    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&one.key(), &one.entry("ready", 1));
        store.put_text(SAVED_UPSTREAMS, &text);
    });
    router.wait_until("ready", || router.is_ready());
    assert!(!all_go_to(&router, &one));
    // A saved upstream without an entry is dropped after two seconds.
    router.wait_until("without the missing upstream", || all_go_to(&router, &one));
}

#[test]
fn announces_itself_until_it_stops() {
    let [one, two] = plain_pair();
    let mut router = Router::start(&configuration(1), &[&one, &two]);
    let is_announced = || router.store.contains_key("silverstack/routers/front-1");
    router.wait_until("announced", is_announced);
    for number in 0..9 {
        router.store.put(&format!("silverstack/routers/other-{number}"), &serde_json::json!({}));
    }
    router.wait_until("aware of the other routers", || {
        router.log().iter().any(|line| line["kv"]["routers"] == 10)
    });
    router.signal(nix::sys::signal::Signal::SIGTERM);
    router.wait_until("withdrawing its announcement", || {
        !router.store.contains_key("silverstack/routers/front-1")
    });
    assert!(router.wait_for_exit().success());
}

#[test]
fn limits_the_rate_of_polls() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    let before = router.store.calls();
    for sequence in 2..200 {
        router.store.put(&one.key(), &one.entry("ready", sequence));
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    // One poll per 200 ms, during at least 1 s of heartbeats.
    let polls = router.store.calls() - before;
    assert!((1..=20).contains(&polls), "{polls} polls");
}

#[test]
fn reads_everything_again_after_a_long_outage() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    let reads = || {
        let targets = router.store.targets();
        targets.iter().filter(|target| target.starts_with("/v1/kv-range?")).count()
    };
    let before = reads();
    router.store.set_mode(Mode::Busy);
    router.wait_until("retrying the read", || reads() > before);
    router.store.remove(&one.key());
    router.store.set_mode(Mode::Up);
    router.wait_until("polling the store again", || router.has_logged("the store answers again"));
    // The full read shows the removal; the history of the outage is not requested.
    router.wait_until("without the missing upstream", || all_go_to(&router, &two));
}

#[test]
fn reads_a_slow_answer_to_its_end_while_bytes_arrive() {
    let [one, two] = plain_pair();
    let mut long = configuration(1);
    long["note"] = "x".repeat(300_000).into();
    // 400 KB at 160 KB/s take longer than the 1.5 s after which a call to a silent store fails.
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &long);
        store.put(&one.key(), &one.entry("ready", 1));
        store.put(&two.key(), &two.entry("ready", 1));
        store.set_send_rate(16_000);
    });
    router.wait_until("ready", || router.is_ready());
    assert!(!router.has_logged("the store does not answer"));
}

#[test]
fn reads_all_pages_but_the_first_serializable_and_watches_after_them() {
    let [one, two] = plain_pair();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        store.put(&one.key(), &one.entry("ready", 1));
        store.put(&two.key(), &two.entry("ready", 1));
        store.set_page_size(1);
    });
    router.wait_until("ready", || router.is_ready());
    let targets = router.store.targets();
    // Reads of the other routers' announcements, and of this router's saved records, are no pages of
    // the full read.
    let is_other = |target: &str| {
        ["routers/", "streams/"]
            .iter()
            .any(|keys| target.contains(&format!("pathPrefix=silverstack/{keys}")))
    };
    let is_page = |target: &&String| target.starts_with("/v1/kv-range?") && !is_other(target);
    let pages: Vec<_> = targets.iter().filter(is_page).collect();
    // One per item, plus one if the router has announced itself by then.
    assert!(pages.len() >= 3, "{pages:?}");
    assert!(!pages[0].contains("serializable=1"));
    assert!(pages[1..].iter().all(|target| target.contains("serializable=1")), "{pages:?}");
    let last = targets.iter().position(|target| target == pages[pages.len() - 1]).expect("a place");
    assert!(targets[last + 1..].iter().any(|target| target.starts_with("/v1/kv-watch?")));
    assert!(go_to_both(&router, &one, &two));
}

/// Whether requests go to both upstreams.
fn go_to_both(router: &Router, one: &Upstream, two: &Upstream) -> bool {
    for number in 0..20 {
        let id = format!("id-both-{number}");
        let answer = router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "");
        assert_eq!(answer.unwrap().status, 200);
    }
    !one.requests().is_empty() && !two.requests().is_empty()
}
