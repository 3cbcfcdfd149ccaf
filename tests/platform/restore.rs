//! A store that is restored from an older backup.
//!
//! Later writes and leases are lost, and their revisions and lease ids are assigned again. The
//! store counts restores as its era; routers take over its contents and write their own keys again.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::caller::Answer;
use crate::router::{Router, configuration, plain_pair, unused_host};
use crate::standin::{Action, Mode, Upstream};

/// Time after which upstreams that have not written again are dropped.
const REWRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which a router without a confirmation of its configuration refuses callers with a
/// key, by its settings.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_500);

fn send(router: &Router, number: usize) -> Answer {
    let id = format!("id-{number}");
    router.request("GET /safe/x", &[("Attempt-Identifier", &id)], "").expect("an answer")
}

/// Sends ten requests; returns how many of them go to `upstream`.
fn send_ten(router: &Router, upstream: &Upstream) -> usize {
    let before = upstream.requests().len();
    for number in 0..10 {
        send(router, before * 10 + number);
    }
    upstream.requests().len() - before
}

/// Waits until the router has logged `times` restores of the store.
fn wait_until_restored(router: &Router, times: usize) {
    let lines = || {
        let message = "the store came back from an older copy";
        router.log().iter().filter(|line| line["payload"] == message).count()
    };
    router.wait_until("aware of the restore", || lines() >= times);
}

#[test]
fn sees_changes_whose_revisions_were_used_before_the_restore() {
    let [one, late] = plain_pair();
    let router = Router::start(&configuration(1), &[&one]);
    router.store.back_up();
    router.store.put("op/other", &json!({}));
    router.store.put("op/other", &json!({}));
    std::thread::sleep(Duration::from_secs(1));
    // The restored store has passed the router's revision before the next poll.
    router.store.set_mode(Mode::Busy);
    router
        .wait_until("failing to poll the store", || router.has_logged("the store does not answer"));
    router.store.restore_backup();
    router.store.put(&late.key(), &late.entry("ready", 1));
    for _ in 0..20 {
        router.store.put("op/other", &json!({}));
    }
    router.store.set_mode(Mode::Up);
    router.wait_until("using the new upstream", || send_ten(&router, &late) > 0);
}

#[test]
fn drops_a_killed_router_whose_announcement_was_lost() {
    let [one, two] = plain_pair();
    let first = Router::start(&configuration(1), &[&one, &two]);
    first.wait_until("announced", || first.store.contains_key("silverstack/routers/front-1"));
    first.store.back_up();
    let mut second = Router::join(&first.store, "front-2");
    first.wait_until("aware of the other router", || {
        first.has_logged("another router announced itself")
    });
    second.kill();
    first.store.restore_backup();
    first.wait_until("without the killed router", || {
        first.has_logged("another router's announcement is gone")
    });
}

#[test]
fn writes_its_own_keys_again_after_a_restore() {
    const SAVED_UPSTREAMS: &str = "silverstack/upstreams";
    let [one, two] = plain_pair();
    let engine = Upstream::start(&unused_host(), "i-3", "engine");
    let router = Router::start_unready(&unused_host(), |store| {
        store.back_up();
        store.put("op/config", &configuration(1));
        for upstream in [&one, &two, &engine] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
    });
    router.wait_until("ready", || router.is_ready());
    engine.set_fatal("fatal");
    let _ = router.request("POST /stream/x", &[], "fatal");
    let keys = ["silverstack/routers/front-1", "silverstack/crashes/front-1", SAVED_UPSTREAMS];
    for key in keys {
        router.wait_until(key, || router.store.contains_key(key));
    }
    router.store.restore_backup();
    // Other clients now hold the lease ids that the router had.
    let other_leases =
        [0, 1, 2, 3].map(|number| router.store.put_leased(&format!("other/{number}"), ""));
    router.store.put("op/config", &configuration(1));
    for upstream in [&one, &two, &engine] {
        router.store.put(&upstream.key(), &upstream.entry("ready", 2));
    }
    for key in keys {
        router.wait_until(key, || router.store.contains_key(key));
    }
    for lease in other_leases {
        router.store.end_lease(lease);
    }
    assert!(
        keys.iter().all(|key| router.store.contains_key(key)),
        "written with leases of other clients"
    );
}

#[test]
fn does_not_end_a_lease_id_that_another_client_holds_after_a_restore() {
    let [one, two] = plain_pair();
    let mut router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        for upstream in [&one, &two] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
        store.back_up();
    });
    router.wait_until("announced", || router.store.contains_key("silverstack/routers/front-1"));
    router.store.restore_backup();
    for number in 0..4 {
        router.store.put_leased(&format!("silverstack/routers/other-{number}"), "");
    }
    router.signal(Signal::SIGTERM);
    router.wait_for_exit();
    for number in 0..4 {
        assert!(
            router.store.contains_key(&format!("silverstack/routers/other-{number}")),
            "{number}"
        );
    }
}

#[test]
fn keeps_missing_upstreams_until_they_had_time_to_write_again() {
    let [one, two] = plain_pair();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        store.back_up();
        for upstream in [&one, &two] {
            store.put(&upstream.key(), &upstream.entry("ready", 1));
        }
    });
    router.wait_until("serving", || send(&router, 0).status == 200);
    router.store.restore_backup();
    wait_until_restored(&router, 1);
    assert!((0..20).all(|number| send(&router, number).status == 200));
    router.store.put(&one.key(), &one.entry("ready", 2));
    std::thread::sleep(REWRITE_TIMEOUT);
    // The other upstream did not write its entry again.
    router.wait_until("without the missing upstream", || send_ten(&router, &two) == 0);
    assert!(send_ten(&router, &one) > 0);
}

#[test]
fn does_not_use_removed_or_draining_upstreams_after_a_restore() {
    let [removed, leaving] = plain_pair();
    let remaining = Upstream::start(&unused_host(), "i-3", "plain");
    let router = Router::start(&configuration(1), &[&removed, &leaving, &remaining]);
    router.store.back_up();
    router.store.remove(&removed.key());
    router.store.put(&leaving.key(), &leaving.entry("draining", 2));
    router.wait_until("using only the remaining upstream", || send_ten(&router, &remaining) == 10);
    for times in 1..3 {
        router.store.restore_backup();
        wait_until_restored(&router, times);
        assert_eq!(send_ten(&router, &remaining), 10, "{times}");
    }
    // The upstream is used again once it writes a new entry.
    router.store.put(&removed.key(), &removed.entry("ready", 2));
    router.wait_until("using the upstream again", || send_ten(&router, &removed) > 0);
}

#[test]
fn an_older_configuration_does_not_confirm_the_one_in_force() {
    let [one, two] = plain_pair();
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.store.back_up();
    router.store.put("op/config", &configuration(2));
    let in_force = || router.page("/status").contains(r#""generation":2"#);
    router.wait_until("using the new configuration", in_force);
    router.store.restore_backup();
    wait_until_restored(&router, 1);
    std::thread::sleep(CONFIRMATION_TTL);
    assert!(in_force(), "the older configuration is in force");
    assert_eq!(send(&router, 1).status, 503);
    // The operator writes the configuration again.
    router.store.put("op/config", &configuration(2));
    router.wait_until("serving", || send(&router, 2).status == 200);
}

#[test]
fn serves_through_restores_that_lose_nothing() {
    let [one, two] = plain_pair();
    for upstream in [&one, &two] {
        upstream.set_actions(&[Action::Answer(200, "whole")]);
    }
    let router = Router::start(&configuration(1), &[&one, &two]);
    router.wait_until("announced", || router.store.contains_key("silverstack/routers/front-1"));
    for times in 1..4 {
        router.store.back_up();
        router.store.restore_backup();
        wait_until_restored(&router, times);
        assert!((0..20).all(|number| send(&router, number).status == 200), "{times}");
    }
    std::thread::sleep(CONFIRMATION_TTL);
    assert_eq!(send(&router, 21).status, 200);
}

#[test]
fn keeps_an_evacuation_that_the_restore_lost_for_a_while() {
    let [evacuated, other] = plain_pair();
    let router = Router::start_unready(&unused_host(), |store| {
        store.put("op/config", &configuration(1));
        for (upstream, zone) in [(&evacuated, "zone-a"), (&other, "zone-b")] {
            let mut entry = upstream.entry("ready", 1);
            entry["zone"] = zone.into();
            store.put(&upstream.key(), &entry);
        }
    });
    router.wait_until("serving", || send_ten(&router, &evacuated) > 0);
    router.store.back_up();
    router.store.put("op/evacuate/zone-a", &json!({}));
    router.wait_until("using only the other domain", || send_ten(&router, &evacuated) == 0);
    router.store.restore_backup();
    wait_until_restored(&router, 1);
    assert_eq!(send_ten(&router, &evacuated), 0);
    // The operator does not write the evacuation again.
    std::thread::sleep(REWRITE_TIMEOUT);
    router.wait_until("using the domain again", || send_ten(&router, &evacuated) > 0);
}

#[test]
fn ignores_answers_of_an_earlier_era() {
    let [one, late] = plain_pair();
    let router = Router::start(&configuration(1), &[&one]);
    router.store.set_era(7);
    wait_until_restored(&router, 1);
    router.store.set_era(6);
    router
        .wait_until("ignoring the earlier era", || router.has_logged("the store does not answer"));
    router.store.put(&late.key(), &late.entry("ready", 1));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(send_ten(&router, &late), 0);
    router.store.set_era(8);
    router.wait_until("using the new upstream", || send_ten(&router, &late) > 0);
}
