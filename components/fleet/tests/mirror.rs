//! What one router keeps for others must bring these to what the store holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::{Batch, Era, Fact, Revision};
use fleet::Mirror;
use proptest::prelude::*;
use routing::Host;

/// How many upstreams there may be.
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
    };
    Fact::Upstream { host, sequence, cold: Millis::ZERO }
}

/// What a reader believes after some facts.
#[derive(Debug, Default, PartialEq)]
struct Reader {
    upstreams: BTreeMap<Arc<str>, u64>,
    evacuated: Vec<Arc<str>>,
    position: Option<u64>,
}

impl Reader {
    fn take(&mut self, facts: &[Fact], whole: bool, number: u64) {
        if whole {
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
                    self.evacuated.retain(|it| it != domain);
                    self.evacuated.push(domain.clone());
                    self.evacuated.sort();
                }
                Fact::Restored(domain) => self.evacuated.retain(|it| it != domain),
                Fact::AllRestored => self.evacuated.clear(),
                _ => {}
            }
        }
        self.position = Some(number);
    }

    /// Asks a mirror for what has changed.
    fn ask(&mut self, mirror: &Mirror, now: Millis) {
        let Some(position) = mirror.position() else { return };
        let changes = self.position.and_then(|it| mirror.changes_since(revision(it), now));
        match changes {
            Some(facts) => self.take(&facts, false, position.number),
            None => self.take(&mirror.all(now), true, position.number),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize),
    Remove(usize),
    Evacuate,
    Restore,
    /// The mirror's router looks at changes, or reads everything.
    Look {
        whole: bool,
    },
    /// A reader asks the mirror.
    Ask(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..UPSTREAMS).prop_map(Step::Write),
        (0..UPSTREAMS).prop_map(Step::Remove),
        Just(Step::Evacuate),
        Just(Step::Restore),
        any::<bool>().prop_map(|whole| Step::Look { whole }),
        (0..3_usize).prop_map(Step::Ask),
    ]
}

proptest! {
    #[test]
    fn readers_of_a_mirror_come_to_believe_what_the_store_holds(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let domain: Arc<str> = "zone-b".into();
        let mut held = Reader::default();
        let mut history: Vec<(u64, Fact)> = Vec::new();
        let mut number = 1;
        let mut seen = 0;
        let mut mirror = Mirror::default();
        let mut readers: [Reader; 3] = Default::default();
        let look = |whole: bool, seen: &mut u64, mirror: &mut Mirror, held: &Reader,
                    history: &[(u64, Fact)], number: u64| {
            let facts = if whole || *seen == 0 {
                let upstreams = held.upstreams.iter().map(|(name, sequence)| {
                    upstream(name[2..].parse().expect("a number"), *sequence)
                });
                let evacuated = held.evacuated.iter().cloned().map(Fact::Evacuated);
                std::iter::once(Fact::AllRestored).chain(upstreams).chain(evacuated).collect()
            } else {
                history.iter().filter(|(at, _)| *at > *seen).map(|(_, it)| it.clone()).collect()
            };
            let whole = whole || *seen == 0;
            *seen = number;
            let batch = Batch { facts, revision: revision(number), ..Batch::default() };
            mirror.apply(&batch, whole, false, false, Millis(number));
        };
        for step in steps {
            let fact = match step {
                Step::Write(entry) => Some(upstream(entry, number)),
                Step::Remove(entry) => Some(Fact::UpstreamRemoved(format!("i-{entry}").into())),
                Step::Evacuate => Some(Fact::Evacuated(domain.clone())),
                Step::Restore => Some(Fact::Restored(domain.clone())),
                Step::Look { whole } => {
                    look(whole, &mut seen, &mut mirror, &held, &history, number);
                    None
                }
                Step::Ask(reader) => {
                    readers[reader].ask(&mirror, Millis(number));
                    None
                }
            };
            if let Some(fact) = fact {
                number += 1;
                held.take(std::slice::from_ref(&fact), false, number);
                history.push((number, fact));
            }
        }
        look(false, &mut seen, &mut mirror, &held, &history, number);
        held.position = Some(number);
        for reader in &mut readers {
            reader.ask(&mirror, Millis(number));
            prop_assert_eq!(&*reader, &held);
        }
    }
}

#[test]
fn a_later_era_replaces_everything() {
    let mut mirror = Mirror::default();
    let take = |mirror: &mut Mirror, era, number, facts| {
        let revision = Revision { era: Era(era), number };
        mirror.apply(&Batch { facts, revision, ..Batch::default() }, true, false, false, Millis(1));
    };
    take(&mut mirror, 1, 50, vec![upstream(1, 1), upstream(2, 1)]);
    take(&mut mirror, 2, 40, vec![upstream(1, 1)]);
    assert_eq!(mirror.changes_since(Revision { era: Era(1), number: 50 }, Millis(2)), None);
    assert_eq!(mirror.all(Millis(2)).len(), 2);
    assert!(mirror.changes_since(Revision { era: Era(2), number: 39 }, Millis(2)).is_none());
}

#[test]
fn what_is_missing_after_an_outage_is_told_as_missing() {
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
    let told = mirror.changes_since(revision(1), Millis(4)).expect("changes");
    assert_eq!(told, [Fact::UpstreamMissing("i-1".into()), Fact::UpstreamRemoved("i-2".into())]);
}

#[test]
fn what_is_left_of_a_time_becomes_less() {
    let mut mirror = Mirror::default();
    let Fact::Upstream { host, sequence, .. } = upstream(1, 1) else { unreachable!() };
    let cold = |left| Fact::Upstream { host: host.clone(), sequence, cold: Millis(left) };
    let batch = Batch { facts: vec![cold(900)], revision: revision(1), ..Batch::default() };
    mirror.apply(&batch, true, false, false, Millis(1_000));
    assert_eq!(mirror.all(Millis(1_400)), [Fact::AllRestored, cold(500)]);
    assert_eq!(mirror.all(Millis(9_000)), [Fact::AllRestored, cold(0)]);
}

/// A mirror that has learnt `changes`, each of one revision.
fn learnt(changes: &[(u64, Fact)]) -> Mirror {
    let mut mirror = Mirror::default();
    for (number, fact) in changes {
        let facts = vec![fact.clone()];
        let batch = Batch { facts, revision: revision(*number), ..Batch::default() };
        mirror.apply(&batch, *number == 1, false, false, Millis(*number));
    }
    mirror
}

#[test]
fn what_was_read_after_the_revision_of_a_read_is_told_to_those_that_have_come_to_that_revision() {
    // Its first part is of revision 5, its last of 7, in which the upstream changed.
    let read = |mirror: &mut Mirror, number, latest| {
        let facts = vec![Fact::AllRestored, upstream(1, 3)];
        let batch = Batch { facts, revision: revision(number), latest, ..Batch::default() };
        mirror.apply(&batch, true, false, false, Millis(number));
    };
    let position = revision(6);
    let mut watches = learnt(&[(1, upstream(1, 1))]);
    read(&mut watches, 5, 7);
    let event = Batch { facts: vec![upstream(1, 3)], revision: revision(9), ..Batch::default() };
    watches.apply(&event, false, false, false, Millis(9));
    assert_eq!(watches.changes_since(position, Millis(9)), Some(vec![upstream(1, 3)]));

    // The history may be gone again by the next look.
    let mut reads = learnt(&[(1, upstream(1, 1))]);
    read(&mut reads, 5, 7);
    read(&mut reads, 8, 8);
    assert_eq!(reads.changes_since(position, Millis(9)), Some(vec![upstream(1, 3)]));
    // It is told once: what was known then is no news later.
    read(&mut reads, 10, 10);
    assert_eq!(reads.changes_since(revision(8), Millis(9)), Some(vec![]));
}

#[test]
fn what_was_removed_after_the_revision_of_a_read_is_told_to_those_that_have_come_to_that_revision()
{
    let mut mirror = learnt(&[(1, upstream(1, 1)), (2, upstream(2, 1))]);
    for (number, latest) in [(5, 7), (8, 8)] {
        let facts = vec![Fact::AllRestored, upstream(1, 1)];
        let batch = Batch { facts, revision: revision(number), latest, ..Batch::default() };
        mirror.apply(&batch, true, false, false, Millis(number));
    }
    assert_eq!(
        mirror.changes_since(revision(6), Millis(9)),
        Some(vec![Fact::UpstreamRemoved("i-2".into())])
    );
}

#[test]
fn what_changed_and_changed_back_is_told_to_those_that_know_it_otherwise() {
    let domain: Arc<str> = "zone-b".into();
    let evacuated = Fact::Evacuated(domain);
    // Who has come to 7 elsewhere knows that it was restored then; this one was told of 9 only.
    let mirror = learnt(&[(1, upstream(1, 1)), (5, evacuated.clone()), (9, evacuated.clone())]);
    assert_eq!(mirror.changes_since(revision(7), Millis(9)), Some(vec![evacuated]));
}

#[test]
fn what_is_listed_again_as_it_was_is_no_news() {
    let domain: Arc<str> = "zone-b".into();
    let evacuated = Fact::Evacuated(domain);
    let mut mirror = learnt(&[(1, upstream(1, 1)), (5, evacuated.clone())]);
    let facts = vec![Fact::AllRestored, evacuated];
    let batch = Batch { facts, revision: revision(9), ..Batch::default() };
    mirror.apply(&batch, false, false, false, Millis(9));
    assert_eq!(mirror.changes_since(revision(7), Millis(9)), Some(vec![]));
}
