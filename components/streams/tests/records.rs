//! Records of streams and the builds that may have begun one.

use std::collections::BTreeSet;

use clock::Millis;
use streams::{Builds, Ledger, MAX_STREAM_AGE, keepers};
use wire::{Build, Peer};

const NOW: Millis = Millis(100_000);

fn build(pool: &str, version: &str) -> Build {
    Build { pool: pool.into(), version: version.into() }
}

fn listed(builds: &[Build]) -> BTreeSet<Build> {
    builds.iter().cloned().collect()
}

fn sole(builds: &Builds, now: Millis) -> Option<&str> {
    builds.sole("a", now).map(|build| &*build.version)
}

#[test]
fn a_router_that_starts_later_trusts_no_build_until_older_streams_have_ended() {
    let mut builds = Builds::default();
    builds.set_listed(listed(&[build("a", "v1")]), NOW);
    assert_eq!(sole(&builds, NOW + MAX_STREAM_AGE - Millis(1)), None);
    assert_eq!(sole(&builds, NOW + MAX_STREAM_AGE), Some("v1"));
}

#[test]
fn restored_builds_are_complete_and_count_as_just_gone() {
    let mut builds = Builds::default();
    builds.set_listed(listed(&[build("a", "v1")]), NOW);
    builds.restore([build("a", "v1")], NOW);
    assert_eq!(sole(&builds, NOW), Some("v1"));
    builds.restore([build("a", "v2")], NOW);
    assert_eq!(sole(&builds, NOW), None);
    assert_eq!(sole(&builds, NOW + MAX_STREAM_AGE), Some("v1"));
}

#[test]
fn a_build_that_has_gone_may_still_have_begun_a_stream() {
    let mut builds = Builds::default();
    builds.restore([], NOW);
    builds.set_listed(listed(&[build("a", "v1"), build("b", "v9")]), NOW);
    assert_eq!(sole(&builds, NOW), Some("v1"));
    builds.set_listed(listed(&[build("a", "v1"), build("a", "v2")]), NOW);
    assert_eq!(sole(&builds, NOW), None);
    builds.set_listed(listed(&[build("a", "v2")]), NOW);
    assert_eq!(sole(&builds, NOW + MAX_STREAM_AGE - Millis(1)), None);
    assert_eq!(sole(&builds, NOW + MAX_STREAM_AGE), Some("v2"));
}

#[test]
fn the_first_record_of_a_stream_stays() {
    let mut ledger = Ledger::default();
    ledger.record(1, &build("a", "v1"), Millis(500), NOW);
    ledger.record(1, &build("a", "v2"), Millis(900), NOW);
    assert_eq!(&*ledger.find(1, NOW + Millis(899)).expect("a record").version, "v1");
    assert!(ledger.find(1, NOW + Millis(900)).is_none());
    assert!(ledger.find(2, NOW).is_none());
}

#[test]
fn records_are_bounded_in_time_and_number() {
    let mut ledger = Ledger::default();
    for stream in 0..40_000 {
        ledger.record(stream, &build("a", "v1"), Millis(u64::MAX / 2), NOW);
    }
    assert!(ledger.len() <= 16_384, "{} records", ledger.len());
    assert!(ledger.find(39_999, NOW).is_some());
    let later = NOW + MAX_STREAM_AGE;
    assert!(ledger.find(39_999, later).is_none());
    ledger.record(1, &build("a", "v1"), Millis(1), later);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn most_keepers_stay_when_a_router_goes() {
    let peer = |number: usize| Peer {
        name: format!("router-{number}").into(),
        hints: None,
        domain: "".into(),
        strength: 1,
    };
    let routers: Vec<_> = (0..20).map(peer).collect();
    for stream in 0..200 {
        let all = keepers(stream, routers.iter());
        assert_eq!(all.len(), 3);
        let fewer = keepers(stream, routers[1..].iter());
        let common = all.iter().filter(|router| fewer.contains(router)).count();
        assert!(common >= 2, "stream {stream}: {common} keepers stay");
    }
}
