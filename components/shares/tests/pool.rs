//! What a pool says of workspaces, and what it makes of the words of other routers.

use std::sync::Arc;

use clock::Millis;
use shares::{Demand, MAX_DEMANDS, Pool, Rank, Remainder, Standing, Summary};

const NOW: Millis = Millis(1_000_000);

const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

/// Workspaces.
const HOT: u64 = 1;
const CALM: u64 = 2;

/// A workspace asks for `count` things, of which some are served.
fn ask(pool: &mut Pool, workspace: u64, priority: i32, count: u64, served: u64) {
    for place in 0..count {
        let content = workspace * 10_000 + u64::from(priority.unsigned_abs()) * 1_000 + place;
        pool.record_request(workspace, priority, content, NOW);
        if place < served {
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

fn word(at: u64, workspace: u64, asked: u32, served: u32) -> Summary {
    let (asked, served) = (10 * asked, 10 * served);
    let line = Demand { workspace, priority: URGENT, requested: asked, served };
    Summary { at: Millis(at), saturated: true, starving: true, demands: vec![line], remainder: Remainder::default() }
}

fn other() -> Arc<str> {
    "front-2".into()
}

#[test]
fn a_workspace_that_asks_for_many_times_what_others_do_is_over_its_share() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 40);
    for workspace in 2..12 {
        ask(&mut pool, workspace, URGENT, 10, 8);
    }
    assert_eq!([rank(&mut pool, HOT), rank(&mut pool, CALM)], ["over", "below"]);
    let hot = standing(&mut pool, HOT, URGENT);
    // 120 of 180 are served; the others want 100 of them.
    assert!((hot.share - 20.0).abs() < 1e-9, "{hot:?}");
}

#[test]
fn where_room_is_left_over_nobody_is_held_to_a_share() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 80);
    ask(&mut pool, CALM, URGENT, 10, 10);
    assert_eq!([rank(&mut pool, HOT), rank(&mut pool, CALM)], ["below", "below"]);
}

#[test]
fn a_workspace_alone_is_not_over_its_share() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 10);
    assert_eq!(rank(&mut pool, HOT), "at");
}

#[test]
fn workspaces_that_are_alike_are_not_over_their_shares() {
    let mut pool = Pool::default();
    for workspace in 1..9 {
        ask(&mut pool, workspace, URGENT, 20, 5);
    }
    for workspace in 1..9 {
        assert_eq!(rank(&mut pool, workspace), "at");
    }
}

#[test]
fn of_a_workspace_that_is_over_its_share_what_is_more_urgent_is_served_first() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 10, 5);
    ask(&mut pool, HOT, LESS_URGENT, 70, 35);
    for workspace in 2..12 {
        ask(&mut pool, workspace, URGENT, 10, 6);
    }
    let times = |pool: &mut Pool, priority| standing(pool, HOT, priority).rank.excess_ratio();
    assert!((times(&mut pool, URGENT) - 1.0).abs() < f64::EPSILON);
    assert!(times(&mut pool, LESS_URGENT) > 4.0);
}

#[test]
fn work_that_was_refused_and_comes_back_is_asked_for_once() {
    let mut pool = Pool::default();
    for _ in 0..6 {
        ask(&mut pool, HOT, URGENT, 20, 0);
        for place in 0..20 {
            pool.record_refusal(HOT * 10_000 + 5_000 + place, NOW);
        }
    }
    assert!((standing(&mut pool, HOT, URGENT).demand - 20.0).abs() < 1e-9);
}

#[test]
fn what_others_tell_counts_like_the_own_requests() {
    let mut pool = Pool::default();
    for workspace in 1..12 {
        ask(&mut pool, workspace, URGENT, 10, 5);
    }
    assert_eq!(rank(&mut pool, HOT), "at");
    let mut pool = pool.clone();
    pool.receive(&other(), word(1, HOT, 70, 35), NOW + Millis(100));
    let hot = pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(100));
    assert!(matches!(hot.rank, Rank::Over(_)), "{hot:?}");
    assert_eq!(hot.age_ms, Some(0));
}

#[test]
fn words_that_come_twice_or_late_change_nothing() {
    let mut pool = Pool::default();
    pool.receive(&other(), word(200, HOT, 30, 10), NOW);
    pool.receive(&other(), word(200, HOT, 30, 10), NOW);
    pool.receive(&other(), word(100, HOT, 90, 10), NOW);
    assert!((standing(&mut pool, HOT, URGENT).demand - 30.0).abs() < 1e-9);
    pool.receive(&other(), word(300, HOT, 40, 10), NOW);
    let later = NOW + Millis(100);
    let demand = pool.standing(HOT, URGENT, |_| 1.0, later).demand;
    assert!((38.0..40.0).contains(&demand), "{demand}");
}

#[test]
fn a_router_that_says_nothing_more_is_forgotten() {
    let mut pool = Pool::default();
    pool.receive(&other(), word(1, HOT, 30, 10), NOW);
    let later = NOW + Millis(2_500);
    assert_eq!(
        pool.standing(HOT, URGENT, |_| 1.0, later),
        Standing { rank: Rank::Below, ..Standing::default() }
    );
}

#[test]
fn demand_fades() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 40, 40);
    let later = pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(2_000));
    assert!((later.demand - 20.0).abs() < 1e-9, "{later:?}");
}

#[test]
fn nothing_is_told_in_calm() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 40, 40);
    assert_eq!(pool.summarize(NOW), None);
    pool.record_refusal(1, NOW);
    assert!(pool.summarize(NOW).is_some_and(|it| it.saturated));
    assert_eq!(pool.summarize(NOW + Millis(2_500)), None);
}

#[test]
fn work_that_gives_way_is_no_sign_that_a_pool_is_short() {
    let mut pool = Pool::default();
    pool.record_deferral(1, NOW);
    assert!(!pool.is_saturated(NOW));
    pool.record_request(HOT, URGENT, 1, NOW);
    assert!(standing(&mut pool, HOT, URGENT).demand < 1.0);
}

#[test]
fn routers_do_not_keep_each_other_short() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 40, 40);
    pool.receive(&other(), word(1, HOT, 30, 10), NOW);
    let told = pool.summarize(NOW).expect("others need its demand");
    assert!(!told.saturated);
    let mut third = Pool::default();
    third.receive(&other(), told, NOW);
    assert!(!third.is_saturated(NOW));
}

#[test]
fn of_many_workspaces_the_largest_are_told_and_the_others_as_a_sum() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 40, 20);
    for workspace in 2..=1_800 {
        ask(&mut pool, workspace, URGENT, 1, 1);
    }
    pool.mark_saturated(NOW);
    let told = pool.summarize(NOW).expect("it is short");
    assert_eq!(told.demands.len(), MAX_DEMANDS);
    assert_eq!(told.demands[0], Demand { workspace: HOT, priority: URGENT, requested: 400, served: 200 });
    assert_eq!(told.remainder, Remainder { workspaces: 1_768, requested: 17_680, served: 17_680 });
}

#[test]
fn what_is_kept_is_bounded() {
    let mut pool = Pool::default();
    for workspace in 1..=30_000 {
        ask(&mut pool, workspace, URGENT, 1, 1);
        pool.record_refusal(workspace, NOW);
    }
    ask(&mut pool, HOT, URGENT, 40, 20);
    pool.mark_saturated(NOW);
    let told = pool.summarize(NOW).expect("it is short");
    assert!(told.remainder.workspaces < 10_000, "{:?}", told.remainder);
    assert!(standing(&mut pool, HOT, URGENT).demand >= 40.0);
}

#[test]
fn a_workspace_that_counts_more_gets_more() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 40);
    ask(&mut pool, CALM, URGENT, 40, 20);
    let double = |it| if it == HOT { 2.0 } else { 1.0 };
    assert_eq!(pool.standing(HOT, URGENT, double, NOW).rank.name(), "at");
    let mut pool = pool.clone();
    assert_eq!(pool.standing(HOT, URGENT, |_| 1.0, NOW + Millis(200)).rank.name(), "over");
}

#[test]
fn a_workspace_gives_back_what_others_lack_of_their_shares() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 60);
    for workspace in 2..12 {
        ask(&mut pool, workspace, URGENT, 10, 9);
    }
    // 150 are served; the others want 100 of them, so that its share is 50 of the 60 it had.
    let hot = standing(&mut pool, HOT, URGENT);
    assert!((hot.admitted_ratio(1.5) - 0.75).abs() < 1e-9, "{hot:?}");
    assert!((standing(&mut pool, CALM, URGENT).admitted_ratio(1.5) - 1.0).abs() < 1e-9);
}

#[test]
fn a_workspace_gives_nothing_back_where_the_others_are_served() {
    let mut pool = Pool::default();
    ask(&mut pool, HOT, URGENT, 80, 40);
    for workspace in 2..12 {
        ask(&mut pool, workspace, URGENT, 10, 10);
    }
    let hot = standing(&mut pool, HOT, URGENT);
    assert!(matches!(hot.rank, Rank::Over(_)), "{hot:?}");
    assert!((hot.admitted_ratio(1.5) - 1.0).abs() < 1e-9, "{hot:?}");
}

#[test]
fn others_lack_room_for_a_while_after_one_was_refused_here_or_elsewhere() {
    let mut pool = Pool::default();
    pool.receive(&other(), word(1, HOT, 30, 10), NOW);
    assert!(pool.is_starving(NOW + Millis(700)));
    assert!(!pool.is_starving(NOW + Millis(900)));
    assert!(pool.summarize(NOW).is_some_and(|it| !it.starving), "what others told is not handed on");
    pool.mark_starving(NOW);
    assert!(pool.summarize(NOW).is_some_and(|it| it.starving));
}
