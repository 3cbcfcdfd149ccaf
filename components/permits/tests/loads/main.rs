//! Pools under the loads that they were made for.

mod world;

use permits::{Settings, Wait};
use world::{Comes, Setup, Sums, World};

/// The most of all arrivals that an upstream may turn away.
const AWAY: f64 = 0.03;

/// The least of what an upstream serves that is to be served in time, where the routers hear of
/// each other within a small part of the objective.
const SERVED: f64 = 0.95;

/// The same where a message takes a part of the objective that counts.
const SERVED_LATE: f64 = 0.80;

fn check(setup: &Setup, served: f64) -> Sums {
    let sums = World::play(setup.clone());
    let part = sums.served(setup);
    println!("{setup:?}\n{sums:?}\n  served {part:.3}, away {:.3}", sums.away());
    assert!(sums.away() < AWAY, "{setup:?}: {sums:?}");
    assert!(part >= served, "{part:.3} of {served}: {setup:?}: {sums:?}");
    assert_eq!(sums.both, 0, "what is refused was never granted");
    sums
}

#[test]
fn what_an_upstream_serves_is_served_in_time_and_little_is_turned_away() {
    for routers in [4, 27, 385] {
        for demand in [1.25, 2.5] {
            let sums = check(&Setup { routers, demand, ..Setup::default() }, SERVED);
            assert_eq!(sums.waited_long, 0, "a refused request waited over a tenth: {sums:?}");
        }
    }
}

#[test]
fn messages_that_are_old_or_lost_cost_little() {
    for routers in [4, 27, 385] {
        check(&Setup { routers, delay: 50, demand: 2.5, ..Setup::default() }, SERVED_LATE);
        check(&Setup { routers, lost: 0.1, demand: 2.5, ..Setup::default() }, SERVED_LATE);
        check(&Setup { routers, doubled: 0.3, demand: 2.5, ..Setup::default() }, SERVED);
    }
}

#[test]
fn a_workspace_at_many_times_its_usual_does_not_take_the_room_of_the_others() {
    for hot_at_one in [false, true] {
        // The others ask for 0.69 of what is served, the first for as much as 8 of them.
        let setup = Setup { demand: 1.3, workspaces: 10, hot: 8.0, hot_at_one, ..Setup::default() };
        let sums = check(&setup, SERVED);
        let [served, refused] = sums.others;
        let part = world::count(refused) / world::count(served + refused);
        assert!(part < 0.05, "{part} of the others are refused: {sums:?}");
    }
}

#[test]
fn callers_that_come_at_their_time_fare_better_than_those_that_come_early() {
    let part = |comes| {
        let sums = check(&Setup { demand: 1.25, comes, ..Setup::default() }, 0.9);
        let [served, refused] = sums.returned;
        world::count(served) / world::count((served + refused).max(1))
    };
    let (early, on_time, late) = (part(Comes::Early), part(Comes::OnTime), part(Comes::Late));
    assert!(on_time > early, "{on_time} on time, {early} early, {late} late");
    assert!(late > early, "{late} late, {early} early");
}

#[test]
fn requests_wait_only_where_that_is_set() {
    let none = Settings { wait: Wait::None };
    let none = World::play(Setup { settings: none, ..Setup::default() });
    let short = World::play(Setup::default());
    println!("none {none:?}\nshort {short:?}");
    assert!(short.in_time >= none.in_time, "none {none:?}, short {short:?}");
    assert!(none.away() < AWAY);
}

#[test]
fn an_owner_that_is_lost_costs_little() {
    let setup = Setup { owner_lost: Some(4_000), ..Setup::default() };
    check(&setup, 0.90);
}

#[test]
fn an_owner_that_is_frozen_costs_no_more_than_its_time() {
    let setup = Setup { frozen: Some((3_000, 5_000)), ..Setup::default() };
    check(&setup, 0.75);
}

#[test]
fn two_owners_cost_little() {
    check(&Setup { two_owners: Some((3_000, 5_000)), ..Setup::default() }, 0.75);
}

#[test]
fn a_router_that_does_not_hear_the_owner_costs_its_part() {
    check(&Setup { cut: Some(3), ..Setup::default() }, 0.85);
}
