//! Answers in time under overload, with and without admission control.

use experiment::overload::{Pattern, Report, run};
use routing::Mechanisms;

const SEED: u64 = 1;

/// The seconds of the overload, and those after the recovery.
const OVERLOAD: std::ops::Range<usize> = 4..10;
const RECOVERED: std::ops::Range<usize> = 14..16;

/// Runs the pattern with admission control.
fn with(pattern: Pattern) -> Report {
    run(pattern, Mechanisms::default(), SEED)
}

/// Runs the pattern without admission control.
fn without(pattern: Pattern) -> Report {
    run(pattern, Mechanisms { admission: false, ..Mechanisms::default() }, SEED)
}

/// Returns the percentage of the requests first sent in `seconds` that were answered in time.
fn in_time_percent(report: &Report, seconds: std::ops::Range<usize>) -> u64 {
    let (asked, in_time) = report.seconds[seconds]
        .iter()
        .fold((0, 0), |(asked, in_time), second| (asked + second.asked, in_time + second.in_time));
    100 * in_time / asked
}

/// Checks that admission control reduces timeouts and recovers under an overload.
fn check_overload(pattern: Pattern) {
    let (with, without) = (with(pattern), without(pattern));
    let tables = format!("{}\n{}", with.table(), without.table());
    assert!(with.expired * 20 <= without.expired, "timeouts: {tables}");
    assert!(
        in_time_percent(&with, OVERLOAD) * 2 >= in_time_percent(&without, OVERLOAD) * 3,
        "in time: {tables}"
    );
    assert!(in_time_percent(&with, RECOVERED) >= 90, "in time after the overload: {tables}");
    assert!(
        in_time_percent(&without, RECOVERED) < 90,
        "no overload without admission control: {tables}"
    );
}

#[test]
fn usual_load_is_answered_in_time() {
    let report = with(Pattern::Calm);
    assert_eq!(report.total().in_time, report.total().asked, "{}", report.table());
}

#[test]
fn recovers_soon_after_a_surge() {
    check_overload(Pattern::Surge);
}

#[test]
fn remaining_engines_answer_in_time_after_an_outage() {
    check_overload(Pattern::EnginesLost);
}

#[test]
fn published_slots_reduce_repeated_prefill() {
    let (published, hidden) = (with(Pattern::ShortMemory), with(Pattern::ShortMemoryHiddenSlots));
    let tables = format!("{}\n{}", published.table(), hidden.table());
    assert!(published.read * 10 <= hidden.read * 9, "prefilled tokens: {tables}");
}

#[test]
fn patterns_match_their_snapshots() {
    for pattern in Pattern::ALL {
        insta::assert_snapshot!(pattern.name(), with(pattern).table());
    }
}
