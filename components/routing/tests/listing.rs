//! What of the platform's list of upstreams is believed, and when.

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
    }
}

fn two() -> Listing {
    let mut listing = Listing::default();
    assert!(listing.put(host("a", false), 1));
    assert!(listing.put(host("b", false), 1));
    listing
}

fn names(listing: &Listing) -> Vec<String> {
    listing.hosts().iter().map(|it| it.name.to_string()).collect()
}

#[test]
fn a_heartbeat_changes_nothing_and_an_old_one_brings_nothing_back() {
    let mut listing = two();
    assert!(!listing.put(host("a", false), 2));
    assert!(listing.put(host("a", true), 3));
    assert!(!listing.put(host("a", false), 2));
    assert!(listing.hosts()[0].leaving);
}

#[test]
fn what_is_removed_in_calm_is_gone_at_once() {
    let mut listing = two();
    assert!(listing.remove("a"));
    assert_eq!(names(&listing), ["b"]);
    assert!(listing.keep_only(&[]));
    assert!(listing.hosts().is_empty());
}

#[test]
fn what_is_missing_after_an_outage_has_time_to_come_back() {
    let mut listing = two();
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
fn what_others_remember_has_time_to_come_back() {
    let mut listing = two();
    let now = Millis(10_000);
    assert!(listing.restore(vec![host("b", false), host("c", false)], now));
    assert!(!listing.restore(vec![host("b", false)], now));
    assert_eq!(names(&listing), ["a", "b", "c"]);
    assert!(listing.has_expiring());
    // What the list itself says goes first.
    assert!(!listing.put(host("c", false), 1));
    assert!(!listing.has_expiring());
    assert!(!listing.expire(now + MISSING_TTL));
    assert!(listing.restore(vec![host("d", false)], now));
    assert!(listing.expire(now + MISSING_TTL));
    assert_eq!(names(&listing), ["a", "b", "c"]);
}

#[test]
fn what_comes_back_after_an_outage_stays_even_with_a_lower_sequence() {
    let mut listing = two();
    listing.begin_recovery(Millis(10_000));
    listing.remove("a");
    listing.finish_recovery();
    assert!(!listing.put(host("a", false), 0));
    assert_eq!(listing.next_expiry(), None);
    assert!(!listing.expire(Millis(99_000)));
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn what_is_removed_after_the_first_answer_of_an_outage_is_gone_at_once() {
    let mut listing = two();
    listing.begin_recovery(Millis(10_000));
    listing.remove("a");
    listing.finish_recovery();
    assert!(listing.remove("b"));
    assert_eq!(names(&listing), ["a"]);
}

/// A start of upstream `a`.
fn start(born: u64) -> Host {
    Host { name: format!("a@{born}").into(), entry: "a".into(), born, ..host("a", false) }
}

#[test]
fn a_later_start_replaces_an_earlier_one_whatever_their_sequences() {
    let mut listing = two();
    assert!(listing.put(start(10), 50));
    assert!(listing.put(start(20), 1));
    assert!(!listing.put(start(10), 99));
    assert!(!listing.restore(vec![start(10)], Millis(10_000)));
    assert_eq!(names(&listing), ["a@20", "b"]);
    // Nor while the later one's entry is missing after an outage.
    listing.begin_recovery(Millis(10_000));
    assert!(!listing.remove("a"));
    assert!(!listing.put(start(10), 100));
    assert_eq!(names(&listing), ["a@20", "b"]);
}

#[test]
fn what_can_not_be_read_is_not_waited_for() {
    let mut listing = two();
    listing.begin_recovery(Millis(10_000));
    assert!(listing.drop_unreadable("a"));
    assert!(!listing.drop_unreadable("a"));
    assert!(!listing.keep_only(&["b".into()]));
    assert_eq!(names(&listing), ["b"]);
}

#[test]
fn an_entry_that_is_older_than_one_that_was_removed_brings_nothing_back() {
    let mut listing = two();
    assert!(!listing.put(host("a", false), 5));
    assert!(listing.remove("a"));
    assert!(!listing.put(host("a", false), 4));
    assert_eq!(names(&listing), ["b"]);
    // The same as before may be one that had lapsed.
    assert!(listing.put(host("a", false), 5));
}

#[test]
fn an_older_copy_brings_nothing_back_that_was_removed_until_it_is_written_again() {
    let mut listing = two();
    assert!(listing.remove("a"));
    listing.begin_restored_recovery(Millis(10_000));
    assert!(!listing.put(host("a", false), 1));
    assert!(!listing.keep_only(&["a".into()]));
    listing.finish_recovery();
    assert_eq!(names(&listing), ["b"]);
    assert_eq!(listing.next_expiry(), Some(Millis(10_000) + MISSING_TTL));
    assert!(listing.put(host("a", false), 2));
    // A later start is another upstream, whatever its count.
    assert!(listing.remove("a"));
    assert!(listing.put(Host { born: 7, ..host("a", false) }, 0));
}
