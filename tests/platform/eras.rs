//! The platform's store comes back from an older copy.
//!
//! What was written since the copy is gone, leases too; revisions and numbers of leases are given
//! out again. The store counts how often that has happened, and routers believe of it what it
//! holds now and write again what they had written.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::caller::Answer;
use crate::router::{Router, configuration, own_host, pair};
use crate::standin::{Act, Mode, Upstream};

/// How long upstreams have to write again, and a little more.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2_500);

/// How long a router may serve callers with a key without a proof of its configuration, by its
/// settings, and a little more.
const UNPROVED: Duration = Duration::from_millis(2_500);

fn send(router: &Router, number: usize) -> Answer {
    let id = format!("id-{number}");
    router.ask("GET /safe/x", &[("Attempt-Identifier", &id)], "").expect("an answer")
}

/// How many of ten requests go to `upstream`.
fn goes_to(router: &Router, upstream: &Upstream) -> usize {
    let before = upstream.requests().len();
    for number in 0..10 {
        send(router, before * 10 + number);
    }
    upstream.requests().len() - before
}

/// Waits until the router has noticed that the store is back from a copy `times` times.
fn until_noticed(router: &Router, times: usize) {
    let lines = || {
        let told = "the store came back from an older copy";
        router.log().iter().filter(|it| it["payload"] == told).count()
    };
    router.until("noticed", || lines() >= times);
}

#[test]
fn what_is_written_while_revisions_are_given_out_again_is_heard() {
    let [one, late] = pair();
    let router = Router::start(&configuration(1), &[&one]);
    router.store.copy();
    router.store.put("op/other", &json!({}));
    router.store.put("op/other", &json!({}));
    std::thread::sleep(Duration::from_secs(1));
    // The new count has overtaken the router's before its next look.
    router.store.set_mode(Mode::Busy);
    router.until("missed", || router.has_logged("the store does not answer"));
    router.store.come_back_older();
    router.store.put(&late.key(), &late.entry("ready", 1));
    for _ in 0..20 {
        router.store.put("op/other", &json!({}));
    }
    router.store.set_mode(Mode::Up);
    router.until("heard of", || goes_to(&router, &late) > 0);
}

#[test]
fn a_router_that_is_no_more_is_not_counted() {
    let [one, two] = pair();
    let first = Router::start(&configuration(1), &[&one, &two]);
    first.until("announced", || first.store.holds("silverstack/routers/front-1"));
    first.store.copy();
    let mut second = Router::join(&first.store, "front-2");
    first.until("met", || first.has_logged("another router announced itself"));
    second.kill();
    first.store.come_back_older();
    first.until("gone", || first.has_logged("another router's announcement is gone"));
}

#[test]
fn what_a_router_has_written_is_written_again() {
    const REMEMBERED: &str = "silverstack/upstreams";
    let [one, two] = pair();
    let engine = Upstream::start(&own_host(), "i-3", "engine");
    let router = Router::start_bare(&own_host(), |store| {
        store.copy();
        store.put("op/config", &configuration(1));
        for upstream in [&one, &two, &engine] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
    });
    router.until("ready", || router.is_ready());
    engine.set_fatal("fatal");
    let _ = router.ask("POST /stream/x", &[], "fatal");
    let keys = ["silverstack/routers/front-1", "silverstack/crashes/front-1", REMEMBERED];
    for key in keys {
        router.until(key, || router.store.holds(key));
    }
    router.store.come_back_older();
    // The numbers of the leases that the router had are others' now.
    let others = [0, 1, 2, 3].map(|it| router.store.put_leased(&format!("other/{it}"), ""));
    router.store.put("op/config", &configuration(1));
    for upstream in [&one, &two, &engine] {
        router.store.put(&upstream.key(), &upstream.entry("ready", 2));
    }
    for key in keys {
        router.until(key, || router.store.holds(key));
    }
    for lease in others {
        router.store.end_lease(lease);
    }
    assert!(keys.iter().all(|key| router.store.holds(key)), "written with others' leases");
}

#[test]
fn a_lease_whose_number_is_another_writers_by_now_is_left_alone() {
    let [one, two] = pair();
    let mut router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        for upstream in [&one, &two] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
        store.copy();
    });
    router.until("announced", || router.store.holds("silverstack/routers/front-1"));
    router.store.come_back_older();
    for number in 0..4 {
        router.store.put_leased(&format!("silverstack/routers/other-{number}"), "");
    }
    router.signal(Signal::SIGTERM);
    router.ended();
    for number in 0..4 {
        assert!(router.store.holds(&format!("silverstack/routers/other-{number}")), "{number}");
    }
}

#[test]
fn upstreams_that_are_missing_have_time_to_write_again() {
    let [one, two] = pair();
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        store.copy();
        for upstream in [&one, &two] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
    });
    router.until("used", || send(&router, 0).status == 200);
    router.store.come_back_older();
    until_noticed(&router, 1);
    assert!((0..20).all(|number| send(&router, number).status == 200));
    router.store.put(&one.key(), &one.entry("ready", 2));
    std::thread::sleep(WRITTEN_AGAIN);
    // The other one did not, and has gone.
    router.until("gone", || goes_to(&router, &two) == 0);
    assert!(goes_to(&router, &one) > 0);
}

#[test]
fn an_upstream_that_was_gone_or_leaving_is_not_used_for_an_older_entry() {
    let [gone, leaving] = pair();
    let stays = Upstream::start(&own_host(), "i-3", "plain");
    let router = Router::start(&configuration(1), &[&gone, &leaving, &stays]);
    router.store.copy();
    router.store.remove(&gone.key());
    router.store.put(&leaving.key(), &leaving.entry("draining", 2));
    router.until("left", || goes_to(&router, &stays) == 10);
    for times in 1..3 {
        router.store.come_back_older();
        until_noticed(&router, times);
        assert_eq!(goes_to(&router, &stays), 10, "{times}");
    }
    // It says itself that it is there again.
    router.store.put(&gone.key(), &gone.entry("ready", 2));
    router.until("used again", || goes_to(&router, &gone) > 0);
}

#[test]
fn an_older_configuration_is_no_proof_that_the_one_in_force_is_the_newest() {
    let [one, two] = pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.store.copy();
    router.store.put("op/config", &configuration(2));
    let in_force = || router.page("/status").contains(r#""generation":2"#);
    router.until("in force", in_force);
    router.store.come_back_older();
    until_noticed(&router, 1);
    std::thread::sleep(UNPROVED);
    assert!(in_force(), "it never goes back");
    assert_eq!(send(&router, 1).status, 503);
    // The operator writes again.
    router.store.put("op/config", &configuration(2));
    router.until("served", || send(&router, 2).status == 200);
}

#[test]
fn a_store_that_holds_all_it_held_disturbs_nobody() {
    let [one, two] = pair();
    for upstream in [&one, &two] {
        upstream.set(&[Act::Answer(200, "whole")]);
    }
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.until("announced", || router.store.holds("silverstack/routers/front-1"));
    for times in 1..4 {
        router.store.copy();
        router.store.come_back_older();
        until_noticed(&router, times);
        assert!((0..20).all(|number| send(&router, number).status == 200), "{times}");
    }
    std::thread::sleep(UNPROVED);
    assert_eq!(send(&router, 21).status, 200);
}

#[test]
fn a_domain_that_was_left_takes_nothing_while_the_operator_may_have_to_say_so_again() {
    let [left, stays] = pair();
    let router = Router::start_bare(&own_host(), |store| {
        store.put("op/config", &configuration(1));
        for (upstream, zone) in [(&left, "zone-a"), (&stays, "zone-b")] {
            let mut entry = upstream.entry("ready", 1);
            entry["zone"] = zone.into();
            store.put(&upstream.key(), &entry);
        }
    });
    router.until("used", || goes_to(&router, &left) > 0);
    router.store.copy();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.until("left", || goes_to(&router, &left) == 0);
    router.store.come_back_older();
    until_noticed(&router, 1);
    assert_eq!(goes_to(&router, &left), 0);
    // It is not said again.
    std::thread::sleep(WRITTEN_AGAIN);
    router.until("taken back", || goes_to(&router, &left) > 0);
}

#[test]
fn answers_of_an_earlier_era_say_nothing() {
    let [one, late] = pair();
    let router = Router::start(&configuration(1), &[&one]);
    router.store.tell_era(7);
    until_noticed(&router, 1);
    router.store.tell_era(6);
    router.until("dropped", || router.has_logged("the store does not answer"));
    router.store.put(&late.key(), &late.entry("ready", 1));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(goes_to(&router, &late), 0);
    router.store.tell_era(8);
    router.until("heard of", || goes_to(&router, &late) > 0);
}
