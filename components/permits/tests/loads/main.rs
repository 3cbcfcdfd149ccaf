//! Simulated load on a saturated pool.

mod world;

use permits::{Settings, Wait};
use world::{Retry, Setup, Totals, World};

/// The largest fraction of requests that the upstream may refuse.
const MAX_REFUSED: f64 = 0.03;

/// The smallest fraction of the upstream's capacity to be answered in time, where messages take
/// a small part of the objective.
const MIN_UTILIZATION: f64 = 0.95;

/// The same where messages are lost or take a larger part of the objective.
const MIN_UTILIZATION_DELAYED: f64 = 0.80;

fn check(setup: &Setup, min_utilization: f64) -> Totals {
    let totals = World::run(setup.clone());
    let utilization = totals.utilization(setup);
    println!(
        "{setup:?}\n{totals:?}\n  utilization {utilization:.3}, refused {:.3}",
        totals.refused_by_upstream()
    );
    assert!(totals.refused_by_upstream() < MAX_REFUSED, "{setup:?}: {totals:?}");
    assert!(
        utilization >= min_utilization,
        "{utilization:.3} of {min_utilization}: {setup:?}: {totals:?}"
    );
    assert_eq!(totals.granted_and_refused, 0, "a request was granted and refused");
    totals
}

#[test]
fn an_overloaded_upstream_is_used_fully_and_refuses_few_requests() {
    for routers in [4, 27, 385] {
        for demand in [1.25, 2.5] {
            let totals = check(&Setup { routers, demand, ..Setup::default() }, MIN_UTILIZATION);
            assert_eq!(
                totals.refused_late, 0,
                "refused after more than a tenth of the objective: {totals:?}"
            );
        }
    }
}

#[test]
fn delayed_lost_and_repeated_messages_cost_little_utilization() {
    for routers in [4, 27, 385] {
        check(
            &Setup { routers, delay: 50, demand: 2.5, ..Setup::default() },
            MIN_UTILIZATION_DELAYED,
        );
        check(
            &Setup { routers, lost: 0.1, demand: 2.5, ..Setup::default() },
            MIN_UTILIZATION_DELAYED,
        );
        check(
            &Setup { routers, duplicated: 0.3, demand: 2.5, ..Setup::default() },
            MIN_UTILIZATION,
        );
    }
}

#[test]
fn a_workspace_with_excess_demand_does_not_displace_the_others() {
    for hot_at_one in [false, true] {
        // The others request 0.69 of the capacity, the first as much as 8 of them.
        let setup = Setup { demand: 1.3, workspaces: 10, hot: 8.0, hot_at_one, ..Setup::default() };
        let totals = check(&setup, MIN_UTILIZATION);
        let [served, refused] = totals.others;
        let ratio = world::to_f64(refused) / world::to_f64(served + refused);
        assert!(ratio < 0.05, "{ratio} of the others are refused: {totals:?}");
    }
}

#[test]
fn early_retries_succeed_less_often_than_others() {
    let success = |retry| {
        let totals = check(&Setup { demand: 1.25, retry, ..Setup::default() }, 0.9);
        let [served, refused] = totals.retries;
        world::to_f64(served) / world::to_f64((served + refused).max(1))
    };
    let (early, on_time, late) =
        (success(Retry::Early), success(Retry::OnTime), success(Retry::Late));
    assert!(on_time > early, "{on_time} on time, {early} early, {late} late");
    assert!(late > early, "{late} late, {early} early");
}

#[test]
fn waiting_improves_utilization_and_can_be_disabled() {
    let none = Settings { wait: Wait::None };
    let none = World::run(Setup { settings: none, ..Setup::default() });
    let short = World::run(Setup::default());
    println!("none {none:?}\nshort {short:?}");
    assert!(short.in_time >= none.in_time, "none {none:?}, short {short:?}");
    assert!(none.refused_by_upstream() < MAX_REFUSED);
}

#[test]
fn a_restarted_owner_costs_little_utilization() {
    let setup = Setup { owner_lost: Some(4_000), ..Setup::default() };
    check(&setup, 0.90);
}

#[test]
fn a_frozen_owner_costs_no_more_utilization_than_its_pause() {
    let setup = Setup { frozen: Some((3_000, 5_000)), ..Setup::default() };
    check(&setup, 0.75);
}

#[test]
fn two_concurrent_owners_cost_little_utilization() {
    check(&Setup { two_owners: Some((3_000, 5_000)), ..Setup::default() }, 0.75);
}

#[test]
fn a_router_without_replies_from_the_owner_costs_little_utilization() {
    check(&Setup { cut: Some(3), ..Setup::default() }, 0.85);
}
