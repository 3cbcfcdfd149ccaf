//! Patterns of load, played without sockets or clocks: what admission is worth.

use experiment::overload::{Pattern, Report, run};
use routing::Mechanisms;

const SEED: u64 = 1;

/// The seconds of the load, and those after it in which callers come back.
const LOAD: std::ops::Range<usize> = 4..10;
const AFTER: std::ops::Range<usize> = 14..16;

fn with(pattern: Pattern) -> Report {
    run(pattern, Mechanisms::default(), SEED)
}

fn without(pattern: Pattern) -> Report {
    run(pattern, Mechanisms { admission: false, ..Mechanisms::default() }, SEED)
}

/// How many of 100 requests that were sent first in these seconds were answered in time.
fn in_time(report: &Report, seconds: std::ops::Range<usize>) -> u64 {
    let (asked, in_time) = report.seconds[seconds]
        .iter()
        .fold((0, 0), |(asked, in_time), it| (asked + it.asked, in_time + it.in_time));
    100 * in_time / asked
}

/// What must hold where much more comes than the engines serve.
fn check(pattern: Pattern) {
    let (with, without) = (with(pattern), without(pattern));
    let tables = format!("{}\n{}", with.table(), without.table());
    assert!(with.expired * 20 <= without.expired, "callers give up: {tables}");
    assert!(in_time(&with, LOAD) * 2 >= in_time(&without, LOAD) * 3, "in time: {tables}");
    assert!(in_time(&with, AFTER) >= 90, "in time after it: {tables}");
    assert!(in_time(&without, AFTER) < 90, "the pattern is no longer hard: {tables}");
}

#[test]
fn nothing_is_turned_away_in_calm() {
    let report = with(Pattern::Calm);
    assert_eq!(report.total().in_time, report.total().asked, "{}", report.table());
}

#[test]
fn a_surge_is_over_soon_after_it_ends() {
    check(Pattern::Surge);
}

#[test]
fn what_is_left_of_the_engines_serves_in_time_what_it_takes() {
    check(Pattern::EnginesLost);
}

#[test]
fn engines_that_drop_parts_read_fewer_again_where_they_tell_their_slots() {
    let (told, untold) = (with(Pattern::ShortMemory), with(Pattern::ShortMemoryUntold));
    let tables = format!("{}\n{}", told.table(), untold.table());
    assert!(told.read * 10 <= untold.read * 9, "tokens read: {tables}");
}

#[test]
fn the_patterns_bring_what_they_brought() {
    for pattern in Pattern::ALL {
        insta::assert_snapshot!(pattern.name(), with(pattern).table());
    }
}
