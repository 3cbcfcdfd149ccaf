//! Reports of loads to the leaders of a pool.

use std::sync::Arc;

use admission::{Effect, Event, Peer, Settings, State};
use clock::Millis;

/// How long a receiver may be silent before it is skipped.
const TTL: u64 = 3_000;

/// When the sidecars get the list of members.
const START: u64 = 1_000;

fn peer(number: usize) -> Peer {
    Peer { name: format!("e{number}").into(), address: format!("a{number}").into() }
}

/// A sidecar in a pool of `count`, as `number`.
fn sidecar(number: usize, count: usize) -> State {
    let settings = Settings { report_keep_ms: TTL, ..Settings::default() };
    let mut state = State::new(settings, peer(number), 1);
    state.apply(Event::Peers((0..count).map(peer).collect()), Millis(START));
    state
}

/// The receivers of a sidecar's reports, with their times, until `end`.
fn reports(number: usize, count: usize, end: u64) -> Vec<(u64, Arc<str>)> {
    let mut state = sidecar(number, count);
    let mut reports = Vec::new();
    for now in (START..end).step_by(100) {
        for effect in state.apply(Event::Tick, Millis(now)) {
            if let Effect::Report { to, report } = effect
                && !report.sum
            {
                reports.push((now, to.name));
            }
        }
    }
    reports
}

/// The reports of each member of a pool of `count` that first reports to another.
fn reporters(count: usize, end: u64) -> Vec<Vec<(u64, Arc<str>)>> {
    let all = (0..count).map(|number| reports(number, count, end));
    let reporters: Vec<_> =
        all.filter(|reports| reports.first().is_some_and(|(at, _)| *at == START)).collect();
    assert!(reporters.len() > count / 2, "{} of {count}", reporters.len());
    reporters
}

#[test]
fn skips_a_receiver_that_never_answers() {
    for count in [3, 40] {
        for reports in reporters(count, START + TTL + 100) {
            let (_, first) = &reports[0];
            let last = reports.last().filter(|(at, _)| *at == START + TTL);
            // A member that comes next itself records its load and sends no report.
            assert!(last.is_none_or(|(_, to)| to != first), "{count}: {reports:?}");
        }
    }
}

#[test]
fn does_not_skip_a_receiver_before_its_time() {
    for count in [3, 40] {
        for reports in reporters(count, START + TTL) {
            assert!(reports.len() > 1, "{count}: {reports:?}");
            assert!(reports.iter().all(|(_, to)| *to == reports[0].1), "{count}: {reports:?}");
        }
    }
}
