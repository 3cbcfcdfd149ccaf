//! The concurrency limit of an upstream.

use clock::Millis;
use permits::{Issuer, Limit, Settings};
use wire::{Claims, Held};

const OBJECTIVE: Millis = Millis(300);
const NOW: Millis = Millis(10_000);

/// Records answers at a constant latency.
fn answer(limit: &mut Limit, count: u64) {
    for _ in 0..count {
        limit.record_answer(Millis(60), Millis(70), false);
    }
}

#[test]
fn the_limit_recovers_to_the_listed_slots_after_refusals() {
    // The upstream is full of requests that were sent without permits.
    let mut limit = Limit::new(6);
    for at in 0..3 {
        limit.record_refusal(2, NOW + Millis(200 * at));
    }
    answer(&mut limit, 100);
    assert!(limit.permits(OBJECTIVE, NOW + Millis(2_000)) >= 6);
}

#[test]
fn an_upstream_that_refuses_everything_gets_one_request_at_a_time() {
    let mut limit = Limit::new(6);
    for at in 0..10 {
        limit.record_refusal(4, NOW + Millis(100 * at));
    }
    assert_eq!(limit.permits(OBJECTIVE, NOW + Millis(1_000)), 0, "during the backoff");
    assert_eq!(limit.permits(OBJECTIVE, NOW + Millis(10_000)), 1, "after the backoff");
    answer(&mut limit, 50);
    assert!(limit.permits(OBJECTIVE, NOW + Millis(10_500)) >= 6);
}

#[test]
fn refusals_lower_the_limit_to_no_less_than_half_of_the_listed_slots() {
    let mut limit = Limit::new(6);
    let before = limit.permits(OBJECTIVE, NOW);
    limit.record_refusal(6, NOW);
    let after = limit.permits(OBJECTIVE, NOW);
    assert!(after < before, "{after} of {before}");
    assert!(after >= 3);
}

#[test]
fn without_listed_slots_the_limit_follows_the_latency() {
    let mut limit = Limit::new(0);
    let before = limit.permits(OBJECTIVE, NOW);
    for _ in 0..500 {
        limit.record_answer(Millis(60), Millis(70), true);
    }
    let grown = limit.permits(OBJECTIVE, NOW);
    assert!(grown > before, "{grown} after {before}");
    for _ in 0..200 {
        limit.record_answer(Millis(200), Millis(210), true);
    }
    assert!(limit.permits(OBJECTIVE, NOW) < grown, "the limit falls while requests queue");
}

#[test]
fn listing_an_upstream_with_held_permits_resets_its_limit_to_the_listed_slots() {
    let held = vec![Held { upstream: "up-0".into(), numbers: vec![1] }];
    let claims = Claims { router: "router-1".into(), held, ..Claims::default() };
    let mut with_held = Issuer::new(Settings::default(), NOW);
    with_held.receive(&claims, NOW);
    let mut listed = Issuer::new(Settings::default(), NOW);
    for issuer in [&mut with_held, &mut listed] {
        issuer.set_upstreams(&[("up-0".into(), 40)]);
    }
    let permits = |issuer: &Issuer| issuer.upstreams(NOW).map(|upstream| upstream.1).sum::<usize>();
    assert_eq!(permits(&with_held), permits(&listed));
    // The same holds if the number of slots changes later.
    listed.set_upstreams(&[("up-0".into(), 6)]);
    assert!(permits(&listed) < permits(&with_held));
}
