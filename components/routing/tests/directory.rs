//! What of the platform's list of upstreams is believed, and when.

use clock::Millis;
use intents::Labels;
use routing::{Directory, Host, RETURN};

fn host(name: &str, leaving: bool) -> Host {
    Host {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        domain: "d".into(),
        labels: Labels::new(),
        leaving,
    }
}

fn two() -> Directory {
    let mut directory = Directory::default();
    assert!(directory.put(host("a", false), 1));
    assert!(directory.put(host("b", false), 1));
    directory
}

fn names(directory: &Directory) -> Vec<String> {
    directory.hosts().iter().map(|it| it.name.to_string()).collect()
}

#[test]
fn a_heartbeat_changes_nothing_and_an_old_one_brings_nothing_back() {
    let mut directory = two();
    assert!(!directory.put(host("a", false), 2));
    assert!(directory.put(host("a", true), 3));
    assert!(!directory.put(host("a", false), 2));
    assert!(directory.hosts()[0].leaving);
}

#[test]
fn what_is_removed_in_calm_is_gone_at_once() {
    let mut directory = two();
    assert!(directory.remove("a"));
    assert_eq!(names(&directory), ["b"]);
    assert!(directory.keep_only(&[]));
    assert!(directory.hosts().is_empty());
}

#[test]
fn what_is_missing_after_an_outage_has_time_to_come_back() {
    let mut directory = two();
    let now = Millis(10_000);
    directory.came_back(now);
    assert!(!directory.keep_only(&["b".into()]));
    assert_eq!(names(&directory), ["a", "b"]);
    assert_eq!(directory.next_expiry(), Some(now + RETURN));
    assert!(!directory.expire(now + RETURN - Millis(1)));
    assert!(directory.expire(now + RETURN));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn what_comes_back_after_an_outage_stays_even_with_a_lower_sequence() {
    let mut directory = two();
    directory.came_back(Millis(10_000));
    directory.remove("a");
    directory.settle();
    assert!(!directory.put(host("a", false), 0));
    assert_eq!(directory.next_expiry(), None);
    assert!(!directory.expire(Millis(99_000)));
    assert_eq!(names(&directory), ["a", "b"]);
}

#[test]
fn what_is_removed_after_the_first_answer_of_an_outage_is_gone_at_once() {
    let mut directory = two();
    directory.came_back(Millis(10_000));
    directory.remove("a");
    directory.settle();
    assert!(directory.remove("b"));
    assert_eq!(names(&directory), ["a"]);
}
