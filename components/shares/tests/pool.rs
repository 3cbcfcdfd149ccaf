//! Standings of workspaces, and summaries between routers.

use std::sync::Arc;

use clock::Millis;
use shares::{Demand, MAX_DEMANDS, Pool, Rank, Remainder, Standing, Summary};

const NOW: Millis = Millis(1_000_000);

const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

const HOT: u64 = 1;
const CALM: u64 = 2;

/// Records `count` requests of a workspace, the first `served` of them as sent.
fn record(pool: &mut Pool, workspace: u64, priority: i32, count: u64, served: u64) {
    for index in 0..count {
        let fingerprint = workspace * 10_000 + u64::from(priority.unsigned_abs()) * 1_000 + index;
        pool.record_request(workspace, priority, fingerprint, NOW);
        if index < served {
            pool.record_sent(workspace, priority, NOW);
        }
    }
}

fn standing(pool: &mut Pool, workspace: u64, priority: i32) -> Standing {
    pool.standing(workspace, priority, |_| 1.0, NOW)
}

fn rank(pool: &mut Pool, workspace: u64) -> &'static str {
    standing(pool, workspace, URGENT).rank.name()
}

fn summary(at: u64, workspace: u64, requested: u32, served: u32) -> Summary {
    let (requested, served) = (10 * requested, 10 * served);
    let demand = Demand { workspace, priority: URGENT, requested, served };
    Summary {
        at: Millis(at),
        saturated: true,
        starving: true,
        demands: vec![demand],
        remainder: Remainder::default(),
    }
}

fn other() -> Arc<str> {
    "front-2".into()
}

#[test]
fn a_workspace_with_many_times_the_demand_of_others_is_over_its_share() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 40);
    for workspace in 2..12 {
        record(&mut pool, workspace, URGENT, 10, 8);
    }
    assert_eq!([rank(&mut pool, HOT), rank(&mut pool, CALM)], ["over", "below"]);
    let hot = standing(&mut pool, HOT, URGENT);
    // 120 of 180 requests are served; the others request 100.
    assert!((hot.share - 20.0).abs() < 1e-9, "{hot:?}");
}

#[test]
fn with_spare_capacity_no_workspace_is_over_its_share() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 80);
    record(&mut pool, CALM, URGENT, 10, 10);
    assert_eq!([rank(&mut pool, HOT), rank(&mut pool, CALM)], ["below", "below"]);
}

#[test]
fn a_single_workspace_is_not_over_its_share() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 10);
    assert_eq!(rank(&mut pool, HOT), "at");
}

#[test]
fn workspaces_with_equal_demand_are_not_over_their_shares() {
    let mut pool = Pool::default();
    for workspace in 1..9 {
        record(&mut pool, workspace, URGENT, 20, 5);
    }
    for workspace in 1..9 {
        assert_eq!(rank(&mut pool, workspace), "at");
    }
}

#[test]
fn urgent_requests_are_within_the_share_of_a_workspace_that_exceeds_it() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 10, 5);
    record(&mut pool, HOT, LESS_URGENT, 70, 35);
    for workspace in 2..12 {
        record(&mut pool, workspace, URGENT, 10, 6);
    }
    let times = |pool: &mut Pool, priority| standing(pool, HOT, priority).rank.excess_ratio();
    assert!((times(&mut pool, URGENT) - 1.0).abs() < f64::EPSILON);
    assert!(times(&mut pool, LESS_URGENT) > 4.0);
}

#[test]
fn retries_of_refused_requests_are_counted_once() {
    let mut pool = Pool::default();
    for _ in 0..6 {
        record(&mut pool, HOT, URGENT, 20, 0);
        for index in 0..20 {
            pool.record_refusal(HOT * 10_000 + 5_000 + index, NOW);
        }
    }
    assert!((standing(&mut pool, HOT, URGENT).demand - 20.0).abs() < 1e-9);
}

#[test]
fn summaries_count_like_own_requests() {
    let mut pool = Pool::default();
    for workspace in 1..12 {
        record(&mut pool, workspace, URGENT, 10, 5);
    }
    assert_eq!(rank(&mut pool, HOT), "at");
    let mut pool = pool.clone();
    pool.receive(&other(), summary(1, HOT, 70, 35), NOW + Millis(100));
    let hot = pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(100));
    assert!(matches!(hot.rank, Rank::Over(_)), "{hot:?}");
    assert_eq!(hot.age_ms, Some(0));
}

#[test]
fn repeated_and_late_summaries_are_ignored() {
    let mut pool = Pool::default();
    pool.receive(&other(), summary(200, HOT, 30, 10), NOW);
    pool.receive(&other(), summary(200, HOT, 30, 10), NOW);
    pool.receive(&other(), summary(100, HOT, 90, 10), NOW);
    assert!((standing(&mut pool, HOT, URGENT).demand - 30.0).abs() < 1e-9);
    pool.receive(&other(), summary(300, HOT, 40, 10), NOW);
    let later = NOW + Millis(100);
    let demand = pool.standing(HOT, URGENT, |_| 1.0, later).demand;
    assert!((38.0..40.0).contains(&demand), "{demand}");
}

#[test]
fn summaries_expire() {
    let mut pool = Pool::default();
    pool.receive(&other(), summary(1, HOT, 30, 10), NOW);
    let later = NOW + Millis(2_500);
    assert_eq!(
        pool.standing(HOT, URGENT, |_| 1.0, later),
        Standing { rank: Rank::Below, ..Standing::default() }
    );
}

#[test]
fn demand_decays() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 40, 40);
    let later = pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(2_000));
    assert!((later.demand - 20.0).abs() < 1e-9, "{later:?}");
}

#[test]
fn there_is_no_summary_unless_the_pool_is_saturated() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 40, 40);
    assert_eq!(pool.summarize(NOW), None);
    pool.record_refusal(1, NOW);
    assert!(pool.summarize(NOW).is_some_and(|summary| summary.saturated));
    assert_eq!(pool.summarize(NOW + Millis(2_500)), None);
}

#[test]
fn a_refusal_for_shares_does_not_mark_the_pool_as_saturated() {
    let mut pool = Pool::default();
    pool.record_share_refusal(1, NOW);
    assert!(!pool.is_saturated(NOW));
    pool.record_request(HOT, URGENT, 1, NOW);
    assert!(standing(&mut pool, HOT, URGENT).demand < 1.0);
}

#[test]
fn reported_saturation_is_not_passed_on() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 40, 40);
    pool.receive(&other(), summary(1, HOT, 30, 10), NOW);
    let summary = pool.summarize(NOW).expect("a summary of the own demand");
    assert!(!summary.saturated);
    let mut third = Pool::default();
    third.receive(&other(), summary, NOW);
    assert!(!third.is_saturated(NOW));
}

#[test]
fn a_summary_lists_the_largest_workspaces_and_sums_the_others() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 40, 20);
    for workspace in 2..=1_800 {
        record(&mut pool, workspace, URGENT, 1, 1);
    }
    pool.mark_saturated(NOW);
    let summary = pool.summarize(NOW).expect("the pool is saturated");
    assert_eq!(summary.demands.len(), MAX_DEMANDS);
    assert_eq!(
        summary.demands[0],
        Demand { workspace: HOT, priority: URGENT, requested: 400, served: 200 }
    );
    assert_eq!(
        summary.remainder,
        Remainder { workspaces: 1_768, requested: 17_680, served: 17_680 }
    );
}

#[test]
fn the_state_is_bounded() {
    let mut pool = Pool::default();
    for workspace in 1..=30_000 {
        record(&mut pool, workspace, URGENT, 1, 1);
        pool.record_refusal(workspace, NOW);
    }
    record(&mut pool, HOT, URGENT, 40, 20);
    pool.mark_saturated(NOW);
    let summary = pool.summarize(NOW).expect("the pool is saturated");
    assert!(summary.remainder.workspaces < 10_000, "{:?}", summary.remainder);
    assert!(standing(&mut pool, HOT, URGENT).demand >= 40.0);
}

#[test]
fn a_larger_weight_gives_a_larger_share() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 40);
    record(&mut pool, CALM, URGENT, 40, 20);
    let double = |workspace| if workspace == HOT { 2.0 } else { 1.0 };
    assert_eq!(pool.standing(HOT, URGENT, double, NOW).rank.name(), "at");
    let mut pool = pool.clone();
    assert_eq!(pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(200)).rank.name(), "over");
}

#[test]
fn a_workspace_served_beyond_its_share_is_admitted_in_part() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 60);
    for workspace in 2..12 {
        record(&mut pool, workspace, URGENT, 10, 9);
    }
    // 150 requests are served and the others request 100, so the share is 50 of the 60 served.
    let hot = standing(&mut pool, HOT, URGENT);
    assert!((hot.admitted_ratio(1.5) - 0.75).abs() < 1e-9, "{hot:?}");
    assert!((standing(&mut pool, CALM, URGENT).admitted_ratio(1.5) - 1.0).abs() < 1e-9);
}

#[test]
fn a_workspace_over_its_share_is_admitted_fully_if_the_others_are_served() {
    let mut pool = Pool::default();
    record(&mut pool, HOT, URGENT, 80, 40);
    for workspace in 2..12 {
        record(&mut pool, workspace, URGENT, 10, 10);
    }
    let hot = standing(&mut pool, HOT, URGENT);
    assert!(matches!(hot.rank, Rank::Over(_)), "{hot:?}");
    assert!((hot.admitted_ratio(1.5) - 1.0).abs() < 1e-9, "{hot:?}");
}

#[test]
fn starving_is_reported_but_not_passed_on_and_expires() {
    let mut pool = Pool::default();
    pool.receive(&other(), summary(1, HOT, 30, 10), NOW);
    assert!(pool.is_starving(NOW + Millis(700)));
    assert!(!pool.is_starving(NOW + Millis(900)));
    assert!(
        pool.summarize(NOW).is_some_and(|summary| !summary.starving),
        "reported starving is not passed on"
    );
    pool.mark_starving(NOW);
    assert!(pool.summarize(NOW).is_some_and(|summary| summary.starving));
}
