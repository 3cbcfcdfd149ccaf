//! The list of upstreams: versions of entries, outages of the store and expiry.

use clock::Millis;
use intents::Labels;
use routing::{Host, Listing, MISSING_TTL};

fn host(name: &str, leaving: bool) -> Host {
    Host {
        name: name.into(),
        entry: "".into(),
        address: "127.0.0.1:1".into(),
        domain: "d".into(),
        labels: Labels::new(),
        leaving,
        slots: 0,
        born: 0,
        version: "".into(),
    }
}

fn listing_of_two() -> Listing {
    let mut listing = Listing::default();
    assert!(listing.put(host("a", false), 1));
    assert!(listing.put(host("b", false), 1));
    listing
}

fn names(listing: &Listing) -> Vec<String> {
    listing.hosts().iter().map(|host| host.name.to_string()).collect()
}

#[test]
fn ignores_heartbeats_and_outdated_entries() {
    let mut listing = listing_of_two();
    assert!(!listing.put(host("a", false), 2));
    assert!(listing.put(host("a", true), 3));
    assert!(!listing.put(host("a", false), 2));
    assert!(listing.hosts()[0].leaving);
}

#[test]
fn removes_entries_at_once_outside_a_recovery() {
    let mut listing = listing_of_two();
    assert!(listing.remove("a"));
    assert_eq!(names(&listing), ["b"]);
    assert!(listing.keep_only(&[]));
    assert!(listing.hosts().is_empty());
}

#[test]
fn keeps_entries_that_are_missing_after_an_outage_until_they_expire() {
    let mut listing = listing_of_two();
    let now = Millis(10_000);
    listing.begin_recovery(now);
    assert!(!listing.keep_only(&["b".into()]));
    assert_eq!(names(&listing), ["a", "b"]);
    assert_eq!(listing.next_expiry(), Some(now + MISSING_TTL));
    assert!(!listing.expire(now + MISSING_TTL - Millis(1)));
    assert!(listing.expire(now + MISSING_TTL));
    assert_eq!(names(&listing), ["b"]);
}

#[test]
fn keeps_restored_hosts_until_they_expire() {
    let mut listing = listing_of_two();
    let now = Millis(10_000);
    assert!(listing.restore(vec![host("b", false), host("c", false)], now));
    assert!(!listing.restore(vec![host("b", false)], now));
    assert_eq!(names(&listing), ["a", "b", "c"]);
    assert!(listing.has_expiring());
    // An entry of the list itself replaces a restored one.
    assert!(!listing.put(host("c", false), 1));
    assert!(!listing.has_expiring());
    assert!(!listing.expire(now + MISSING_TTL));
    assert!(listing.restore(vec![host("d", false)], now));
    assert!(listing.expire(now + MISSING_TTL));
    assert_eq!(names(&listing), ["a", "b", "c"]);
}

#[test]
fn keeps_an_entry_that_reappears_after_an_outage_with_a_lower_sequence() {
    let mut listing = listing_of_two();
    listing.begin_recovery(Millis(10_000));
    listing.remove("a");
    listing.finish_recovery();
    assert!(!listing.put(host("a", false), 0));
    assert_eq!(listing.next_expiry(), None);
    assert!(!listing.expire(Millis(99_000)));
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn removes_entries_at_once_after_the_recovery() {
    let mut listing = listing_of_two();
    listing.begin_recovery(Millis(10_000));
    listing.remove("a");
    listing.finish_recovery();
    assert!(listing.remove("b"));
    assert_eq!(names(&listing), ["a"]);
}

/// Upstream `a`, started at `born`.
fn started(born: u64) -> Host {
    Host { name: format!("a@{born}").into(), entry: "a".into(), born, ..host("a", false) }
}

#[test]
fn replaces_an_earlier_start_whatever_the_sequences() {
    let mut listing = listing_of_two();
    assert!(listing.put(started(10), 50));
    assert!(listing.put(started(20), 1));
    assert!(!listing.put(started(10), 99));
    assert!(!listing.restore(vec![started(10)], Millis(10_000)));
    assert_eq!(names(&listing), ["a@20", "b"]);
    // The earlier start stays out while the later one is missing after an outage.
    listing.begin_recovery(Millis(10_000));
    assert!(!listing.remove("a"));
    assert!(!listing.put(started(10), 100));
    assert_eq!(names(&listing), ["a@20", "b"]);
}

/// Guards against ignoring a running upstream for good because an earlier start of it had a clock that
/// was ahead.
#[test]
fn believes_an_earlier_start_that_goes_on_writing() {
    let mut listing = listing_of_two();
    assert!(listing.put(started(20), 7));
    assert!(!listing.put(started(10), 1));
    assert!(!listing.put(started(10), 2));
    assert!(listing.put(started(10), 3));
    assert_eq!(names(&listing), ["a@10", "b"]);
    let leaving = Host { leaving: true, ..started(10) };
    assert!(listing.put(leaving, 4));
    assert!(listing.remove("a"));
    // The same after the later start was removed.
    assert!(listing.put(started(30), 1));
    assert!(listing.remove("a"));
    assert!(!listing.put(started(25), 1) && !listing.put(started(25), 2));
    assert!(listing.put(started(25), 3));
}

#[test]
fn never_believes_an_earlier_start_while_the_later_one_writes_or_nothing_new_comes() {
    let mut listing = listing_of_two();
    assert!(listing.put(started(20), 1));
    for sequence in 2..20 {
        assert!(!listing.put(started(10), sequence));
        assert!(!listing.put(started(10), sequence));
        assert!(!listing.put(started(20), sequence));
    }
    // An older copy of the store holds the same entry each time.
    for _ in 0..20 {
        listing.begin_restored_recovery(Millis(10_000));
        assert!(!listing.put(started(10), 30));
        listing.finish_recovery();
    }
    assert_eq!(names(&listing), ["a@20", "b"]);
}

#[test]
fn drops_an_unreadable_entry_during_a_recovery() {
    let mut listing = listing_of_two();
    listing.begin_recovery(Millis(10_000));
    assert!(listing.drop_unreadable("a"));
    assert!(!listing.drop_unreadable("a"));
    assert!(!listing.keep_only(&["b".into()]));
    assert_eq!(names(&listing), ["b"]);
}

#[test]
fn ignores_an_entry_older_than_the_removed_one() {
    let mut listing = listing_of_two();
    assert!(!listing.put(host("a", false), 5));
    assert!(listing.remove("a"));
    assert!(!listing.put(host("a", false), 4));
    assert_eq!(names(&listing), ["b"]);
    // The same version may be an entry that had lapsed.
    assert!(listing.put(host("a", false), 5));
}

#[test]
fn ignores_removed_entries_of_a_restored_store_until_they_are_written_again() {
    let mut listing = listing_of_two();
    assert!(listing.remove("a"));
    listing.begin_restored_recovery(Millis(10_000));
    assert!(!listing.put(host("a", false), 1));
    assert!(!listing.keep_only(&["a".into()]));
    listing.finish_recovery();
    assert_eq!(names(&listing), ["b"]);
    assert_eq!(listing.next_expiry(), Some(Millis(10_000) + MISSING_TTL));
    assert!(listing.put(host("a", false), 2));
    // A later start is accepted whatever its sequence.
    assert!(listing.remove("a"));
    assert!(listing.put(Host { born: 7, ..host("a", false) }, 0));
}
