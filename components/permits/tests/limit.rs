//! How many requests an upstream is taken to bear.

use clock::Millis;
use permits::{Issuer, Limit, Settings};
use wire::{Claims, Held};

const OBJECTIVE: Millis = Millis(300);
const NOW: Millis = Millis(10_000);

/// Answers come, one each 10 ms, without a queue.
fn answer(limit: &mut Limit, count: u64) {
    for _ in 0..count {
        limit.answered(Millis(60), Millis(70), false);
    }
}

#[test]
fn an_upstream_gets_its_slots_back_after_refusals_that_were_not_of_its_own_permits() {
    // Its queue is full of what was sent before the pool was known to be short.
    let mut limit = Limit::new(6);
    for at in 0..3 {
        limit.refused(2, NOW + Millis(200 * at));
    }
    answer(&mut limit, 100);
    assert!(limit.permits(OBJECTIVE, NOW + Millis(2_000)) >= 6);
}

#[test]
fn an_upstream_that_turns_everything_away_gets_one_request_at_a_time() {
    let mut limit = Limit::new(6);
    for at in 0..10 {
        limit.refused(4, NOW + Millis(100 * at));
    }
    assert_eq!(limit.permits(OBJECTIVE, NOW + Millis(1_000)), 0, "it is left alone");
    assert_eq!(limit.permits(OBJECTIVE, NOW + Millis(10_000)), 1, "and then tried");
    answer(&mut limit, 50);
    assert!(limit.permits(OBJECTIVE, NOW + Millis(10_500)) >= 6);
}

#[test]
fn refusals_lower_the_limit_and_never_below_half_of_what_is_listed() {
    let mut limit = Limit::new(6);
    let before = limit.permits(OBJECTIVE, NOW);
    limit.refused(6, NOW);
    let after = limit.permits(OBJECTIVE, NOW);
    assert!(after < before, "{after} of {before}");
    assert!(after >= 3);
}

#[test]
fn where_no_slots_are_listed_the_limit_is_learnt() {
    let mut limit = Limit::new(0);
    let before = limit.permits(OBJECTIVE, NOW);
    for _ in 0..500 {
        limit.answered(Millis(60), Millis(70), true);
    }
    let grown = limit.permits(OBJECTIVE, NOW);
    assert!(grown > before, "{grown} after {before}");
    for _ in 0..200 {
        limit.answered(Millis(200), Millis(210), true);
    }
    assert!(limit.permits(OBJECTIVE, NOW) < grown, "answers take longer as work queues");
}

#[test]
fn an_upstream_that_was_named_before_it_was_listed_bears_what_it_lists() {
    let held = vec![Held { upstream: "up-0".into(), numbers: vec![1] }];
    let claims = Claims { router: "router-1".into(), held, ..Claims::default() };
    let mut named = Issuer::new(Settings::default(), NOW);
    named.receive(&claims, NOW);
    let mut listed = Issuer::new(Settings::default(), NOW);
    for ledger in [&mut named, &mut listed] {
        ledger.set_upstreams(&[("up-0".into(), 40)]);
    }
    let permits = |ledger: &Issuer| ledger.upstreams(NOW).map(|it| it.1).sum::<usize>();
    assert_eq!(permits(&named), permits(&listed));
    // The same where the list says something else later.
    listed.set_upstreams(&[("up-0".into(), 6)]);
    assert!(permits(&listed) < permits(&named));
}
