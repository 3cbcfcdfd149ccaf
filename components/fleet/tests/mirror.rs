//! Routers that read from a mirror reach the store's content.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::{Batch, Era, Fact, Revision};
use fleet::Mirror;
use proptest::prelude::*;
use routing::Host;

const UPSTREAMS: usize = 6;

fn revision(number: u64) -> Revision {
    Revision { era: Era(0), number }
}

fn upstream(entry: usize, sequence: u64) -> Fact {
    let host = Host {
        name: format!("i-{entry}").into(),
        entry: Arc::default(),
        address: "10.0.0.1:80".into(),
        domain: "zone-a".into(),
        labels: BTreeMap::default(),
        leaving: sequence.is_multiple_of(3),
        slots: 4,
        born: 0,
        version: "".into(),
    };
    Fact::Upstream { host, sequence, cold: Millis::ZERO }
}

/// The state of a router after some facts.
#[derive(Debug, Default, PartialEq)]
struct Reader {
    upstreams: BTreeMap<Arc<str>, u64>,
    evacuated: Vec<Arc<str>>,
    position: Option<u64>,
}

impl Reader {
    fn apply(&mut self, facts: &[Fact], full: bool, number: u64) {
        if full {
            *self = Self::default();
        }
        for fact in facts {
            match fact {
                Fact::Upstream { host, sequence, .. } => {
                    self.upstreams.insert(host.name.clone(), *sequence);
                }
                Fact::UpstreamRemoved(name) | Fact::UpstreamMissing(name) => {
                    self.upstreams.remove(name);
                }
                Fact::Evacuated(domain) => {
                    self.evacuated.retain(|evacuated| evacuated != domain);
                    self.evacuated.push(domain.clone());
                    self.evacuated.sort();
                }
                Fact::Restored(domain) => self.evacuated.retain(|evacuated| evacuated != domain),
                Fact::AllRestored => self.evacuated.clear(),
                _ => {}
            }
        }
        self.position = Some(number);
    }

    /// Reads the changes, or everything, from a mirror.
    fn read(&mut self, mirror: &Mirror, now: Millis) {
        let Some(position) = mirror.position() else { return };
        let changes = self.position.and_then(|number| mirror.changes_since(revision(number), now));
        match changes {
            Some(facts) => self.apply(&facts, false, position.number),
            None => self.apply(&mirror.all(now), true, position.number),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize),
    Remove(usize),
    Evacuate,
    Restore,
    /// The mirror's router polls the store for changes, or reads everything.
    Poll {
        full: bool,
    },
    /// A reader reads from the mirror.
    Read(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..UPSTREAMS).prop_map(Step::Write),
        (0..UPSTREAMS).prop_map(Step::Remove),
        Just(Step::Evacuate),
        Just(Step::Restore),
        any::<bool>().prop_map(|full| Step::Poll { full }),
        (0..3_usize).prop_map(Step::Read),
    ]
}

proptest! {
    #[test]
    fn readers_reach_the_stores_content(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let domain: Arc<str> = "zone-b".into();
        let mut expected = Reader::default();
        let mut history: Vec<(u64, Fact)> = Vec::new();
        let mut number = 1;
        let mut polled_revision = 0;
        let mut mirror = Mirror::default();
        let mut readers: [Reader; 3] = Default::default();
        let poll = |full: bool, polled_revision: &mut u64, mirror: &mut Mirror, expected: &Reader,
                    history: &[(u64, Fact)], number: u64| {
            let facts = if full || *polled_revision == 0 {
                let upstreams = expected.upstreams.iter().map(|(name, sequence)| {
                    upstream(name[2..].parse().expect("a number"), *sequence)
                });
                let evacuated = expected.evacuated.iter().cloned().map(Fact::Evacuated);
                std::iter::once(Fact::AllRestored).chain(upstreams).chain(evacuated).collect()
            } else {
                history.iter().filter(|(at, _)| *at > *polled_revision).map(|(_, fact)| fact.clone()).collect()
            };
            let full = full || *polled_revision == 0;
            *polled_revision = number;
            let batch = Batch { facts, revision: revision(number), ..Batch::default() };
            mirror.apply(&batch, full, false, false, Millis(number));
        };
        for step in steps {
            let fact = match step {
                Step::Write(entry) => Some(upstream(entry, number)),
                Step::Remove(entry) => Some(Fact::UpstreamRemoved(format!("i-{entry}").into())),
                Step::Evacuate => Some(Fact::Evacuated(domain.clone())),
                Step::Restore => Some(Fact::Restored(domain.clone())),
                Step::Poll { full } => {
                    poll(full, &mut polled_revision, &mut mirror, &expected, &history, number);
                    None
                }
                Step::Read(reader) => {
                    readers[reader].read(&mirror, Millis(number));
                    None
                }
            };
            if let Some(fact) = fact {
                number += 1;
                expected.apply(std::slice::from_ref(&fact), false, number);
                history.push((number, fact));
            }
        }
        poll(false, &mut polled_revision, &mut mirror, &expected, &history, number);
        expected.position = Some(number);
        for reader in &mut readers {
            reader.read(&mirror, Millis(number));
            prop_assert_eq!(&*reader, &expected);
        }
    }
}

#[test]
fn a_later_era_replaces_everything() {
    let mut mirror = Mirror::default();
    let apply = |mirror: &mut Mirror, era, number, facts| {
        let revision = Revision { era: Era(era), number };
        mirror.apply(&Batch { facts, revision, ..Batch::default() }, true, false, false, Millis(1));
    };
    apply(&mut mirror, 1, 50, vec![upstream(1, 1), upstream(2, 1)]);
    apply(&mut mirror, 2, 40, vec![upstream(1, 1)]);
    assert_eq!(mirror.changes_since(Revision { era: Era(1), number: 50 }, Millis(2)), None);
    assert_eq!(mirror.all(Millis(2)).len(), 2);
    assert!(mirror.changes_since(Revision { era: Era(2), number: 39 }, Millis(2)).is_none());
}

#[test]
fn upstreams_removed_during_an_outage_are_published_as_missing() {
    let mut mirror = Mirror::default();
    let batch = |number, facts| Batch { facts, revision: revision(number), ..Batch::default() };
    mirror.apply(&batch(1, vec![upstream(1, 1), upstream(2, 1)]), true, false, false, Millis(1));
    mirror.apply(
        &batch(2, vec![Fact::UpstreamRemoved("i-1".into())]),
        false,
        true,
        false,
        Millis(2),
    );
    mirror.apply(
        &batch(3, vec![Fact::UpstreamRemoved("i-2".into())]),
        false,
        false,
        false,
        Millis(3),
    );
    let changes = mirror.changes_since(revision(1), Millis(4)).expect("changes");
    assert_eq!(changes, [Fact::UpstreamMissing("i-1".into()), Fact::UpstreamRemoved("i-2".into())]);
}

#[test]
fn remaining_cold_times_decrease() {
    let mut mirror = Mirror::default();
    let Fact::Upstream { host, sequence, .. } = upstream(1, 1) else { unreachable!() };
    let cold = |left| Fact::Upstream { host: host.clone(), sequence, cold: Millis(left) };
    let batch = Batch { facts: vec![cold(900)], revision: revision(1), ..Batch::default() };
    mirror.apply(&batch, true, false, false, Millis(1_000));
    assert_eq!(mirror.all(Millis(1_400)), [Fact::AllRestored, cold(500)]);
    assert_eq!(mirror.all(Millis(9_000)), [Fact::AllRestored, cold(0)]);
}

/// A mirror after `changes`, each with its revision; that of revision 1 is a full batch.
fn mirror_of(changes: &[(u64, Fact)]) -> Mirror {
    let mut mirror = Mirror::default();
    for (number, fact) in changes {
        let facts = vec![fact.clone()];
        let batch = Batch { facts, revision: revision(*number), ..Batch::default() };
        mirror.apply(&batch, *number == 1, false, false, Millis(*number));
    }
    mirror
}

#[test]
fn changes_between_the_pages_of_a_read_reach_readers_at_the_revision_of_the_first_page() {
    // The first page is of revision 5, the last of 7, in which the upstream changed.
    let read = |mirror: &mut Mirror, number, latest| {
        let facts = vec![Fact::AllRestored, upstream(1, 3)];
        let batch = Batch { facts, revision: revision(number), latest, ..Batch::default() };
        mirror.apply(&batch, true, false, false, Millis(number));
    };
    let position = revision(6);
    let mut watching = mirror_of(&[(1, upstream(1, 1))]);
    read(&mut watching, 5, 7);
    let event = Batch { facts: vec![upstream(1, 3)], revision: revision(9), ..Batch::default() };
    watching.apply(&event, false, false, false, Millis(9));
    assert_eq!(watching.changes_since(position, Millis(9)), Some(vec![upstream(1, 3)]));

    // The next poll may have to read everything again.
    let mut reading = mirror_of(&[(1, upstream(1, 1))]);
    read(&mut reading, 5, 7);
    read(&mut reading, 8, 8);
    let changes = vec![upstream(1, 3), Fact::AllRestored];
    assert_eq!(reading.changes_since(position, Millis(9)), Some(changes));
    // Readers at a later revision don't get it again.
    read(&mut reading, 10, 10);
    assert_eq!(reading.changes_since(revision(8), Millis(9)), Some(vec![Fact::AllRestored]));
    assert_eq!(reading.changes_since(revision(10), Millis(9)), Some(vec![]));
}

#[test]
fn removals_between_the_pages_of_a_read_reach_readers_at_the_revision_of_the_first_page() {
    let mut mirror = mirror_of(&[(1, upstream(1, 1)), (2, upstream(2, 1))]);
    for (number, latest) in [(5, 7), (8, 8)] {
        let facts = vec![Fact::AllRestored, upstream(1, 1)];
        let batch = Batch { facts, revision: revision(number), latest, ..Batch::default() };
        mirror.apply(&batch, true, false, false, Millis(number));
    }
    assert_eq!(
        mirror.changes_since(revision(6), Millis(9)),
        Some(vec![Fact::UpstreamRemoved("i-2".into()), Fact::AllRestored])
    );
}

#[test]
fn a_reverted_change_reaches_readers_that_know_the_value_in_between() {
    let domain: Arc<str> = "zone-b".into();
    let evacuated = Fact::Evacuated(domain);
    // A reader at revision 7 may know that the domain was restored; the mirror skipped to 9.
    let mirror = mirror_of(&[(1, upstream(1, 1)), (5, evacuated.clone()), (9, evacuated.clone())]);
    assert_eq!(mirror.changes_since(revision(7), Millis(9)), Some(vec![evacuated]));
}

/// A batch of changes of upstreams, followed by the list of evacuated domains.
fn listing(number: u64, changes: Vec<Fact>, evacuated: Vec<Fact>) -> Batch {
    let facts = changes.into_iter().chain([Fact::AllRestored]).chain(evacuated).collect();
    Batch { facts, revision: revision(number), ..Batch::default() }
}

#[test]
fn a_domain_restored_and_evacuated_between_two_lists_is_evacuated_at_all_readers() {
    let domain: Arc<str> = "zone-b".into();
    let evacuated = Fact::Evacuated(domain.clone());
    let mut mirror = mirror_of(&[(1, upstream(1, 1)), (5, evacuated.clone())]);
    // Another router has told the reader of revision 7, in which the domain was restored.
    let mut reader = Reader::default();
    reader.apply(&[upstream(1, 1)], true, 7);
    mirror.apply(&listing(9, vec![], vec![evacuated]), false, false, false, Millis(9));
    assert!(mirror.has_changes_since(revision(7)));
    reader.read(&mirror, Millis(9));
    assert_eq!(reader.evacuated, [domain]);
}

#[test]
fn a_domain_evacuated_and_restored_between_two_lists_is_restored_at_all_readers() {
    let mut mirror = mirror_of(&[(1, upstream(1, 1))]);
    let mut reader = Reader::default();
    reader.apply(&[upstream(1, 1), Fact::Evacuated("zone-b".into())], true, 7);
    for (number, full) in [(9, false), (11, true)] {
        mirror.apply(&listing(number, vec![], vec![]), full, false, false, Millis(number));
        assert!(mirror.has_changes_since(revision(7)));
    }
    reader.read(&mirror, Millis(11));
    assert!(reader.evacuated.is_empty());
}

#[test]
fn changes_of_upstreams_beside_a_list_reach_readers_that_know_the_value_in_between() {
    let mut source = mirror_of(&[(1, upstream(1, 1)), (8, upstream(1, 2))]);
    source.apply(&listing(9, vec![upstream(1, 1)], vec![]), false, false, false, Millis(9));
    // The source sends only the latest value, which this router knows, to it and its readers.
    let mut mirror = mirror_of(&[(1, upstream(1, 1))]);
    let facts = source.changes_since(revision(1), Millis(9)).expect("changes");
    let batch = Batch { facts, revision: revision(9), ..Batch::default() };
    mirror.apply(&batch, false, false, false, Millis(9));
    let changes = mirror.changes_since(revision(8), Millis(9)).expect("changes");
    assert!(changes.contains(&upstream(1, 1)), "{changes:?}");
}

#[test]
fn unchanged_listed_facts_are_repeated_only_for_evacuations() {
    let domain: Arc<str> = "zone-b".into();
    let evacuated = Fact::Evacuated(domain);
    let router = Fact::Router(edge::Announcement {
        router: edge::Peer {
            name: "front-1".into(),
            hints: None,
            domain: "zone-a".into(),
            strength: 1,
        },
        hearers: Vec::new(),
        most: 1,
    });
    let mut mirror = mirror_of(&[(1, upstream(1, 1)), (4, router.clone()), (5, evacuated.clone())]);
    let batch = listing(9, vec![], vec![evacuated.clone(), router]);
    mirror.apply(&batch, false, false, false, Millis(9));
    let repeated = vec![Fact::AllRestored, evacuated];
    assert_eq!(mirror.changes_since(revision(7), Millis(9)), Some(repeated));
    // Readers at the revision of the list know it.
    assert_eq!(mirror.changes_since(revision(9), Millis(9)), Some(vec![]));
    assert!(!mirror.has_changes_since(revision(9)));
}
