//! What the store holds, kept for the routers that ask for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::{Batch, Era, Fact, Revision};

/// The most removals that are kept. A router that asks for changes since before them gets
/// everything.
const MOST_REMOVED: usize = 4_096;

/// How far a router has come that asks: the revision, in its era.
pub type Position = Option<Revision>;

/// What facts are told apart by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Configuration,
    Upstream(Arc<str>),
    Evacuated(Arc<str>),
    Router(Arc<str>),
    Crashes(Arc<str>),
    Remembered,
    RememberedParts,
}

/// A fact, and when it was learnt.
#[derive(Debug)]
struct Entry {
    fact: Fact,
    /// The revision up to which this router had come when it learnt it.
    revision: u64,
    /// The latest revision that it may be of: it may have been read after others of its batch.
    latest: u64,
    at: Millis,
}

impl Entry {
    /// Counts as learnt anew once this router has come as far as the entry may: who came to the
    /// revision of its batch elsewhere may lack it.
    fn settle(&mut self, revision: u64) {
        if self.revision < self.latest && self.latest <= revision {
            self.revision = revision;
        }
    }
}

/// The latest fact of each kind that a router has learnt, with the removals since.
#[derive(Debug, Default)]
pub struct Mirror {
    position: Position,
    entries: BTreeMap<Key, Entry>,
    /// What was removed: the fact that says so.
    removed: BTreeMap<Key, Entry>,
    /// Removals up to this revision are no longer kept.
    forgotten: u64,
}

impl Mirror {
    /// How far this router has come; `None` before it has read anything.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes what was learnt at `now`. `whole` says that it is all there is; `returns`, that the
    /// store answers again after an outage, so that what is missing may come back; `doubted`,
    /// that failure domains are not taken back because the store does not name them.
    pub fn apply(&mut self, batch: &Batch, whole: bool, returns: bool, doubted: bool, now: Millis) {
        if self.position.is_none_or(|it| it.era != batch.revision.era) {
            *self = Self { forgotten: batch.revision.number, ..Self::default() };
        }
        self.position = Some(batch.revision);
        let revision = batch.revision.number;
        self.entries.values_mut().for_each(|it| it.settle(revision));
        self.removed.values_mut().for_each(|it| it.settle(revision));
        let learnt = |fact| Entry { fact, revision, latest: batch.latest, at: now };
        let mut kept = Vec::new();
        let restored = whole || batch.facts.contains(&Fact::AllRestored);
        for fact in &batch.facts {
            if let Some(key) = key(fact) {
                self.put(key.clone(), learnt(told(fact, returns)), !restored);
                kept.push(key);
            }
        }
        kept.sort();
        let is_gone = |it: &Key| match it {
            Key::Evacuated(_) => restored && !doubted,
            _ => whole,
        };
        let gone = self.entries.keys().filter(|it| is_gone(it) && kept.binary_search(it).is_err());
        for key in gone.cloned().collect::<Vec<_>>() {
            if let Some(fact) = removal(&key) {
                self.put(key, learnt(told(&fact, returns)), true);
            }
        }
    }

    /// Takes a fact. One that is only listed, not changed, is no news where it is known.
    fn put(&mut self, key: Key, entry: Entry, changed: bool) {
        if is_removal(&entry.fact) {
            self.entries.remove(&key);
            self.remember_removal(key, entry);
            return;
        }
        self.removed.remove(&key);
        // What changed and changed back is news to who knows of the first change only.
        if changed || self.entries.get(&key).is_none_or(|it| it.fact != entry.fact) {
            self.entries.insert(key, entry);
        }
    }

    fn remember_removal(&mut self, key: Key, entry: Entry) {
        self.removed.insert(key, entry);
        if self.removed.len() <= MOST_REMOVED {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, it)| it.revision);
        if let Some((key, revision)) = oldest.map(|(key, it)| (key.clone(), it.revision)) {
            self.removed.remove(&key);
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Whether it is known what has changed after `position`.
    pub fn covers(&self, position: Revision) -> bool {
        let Some(known) = self.position else { return false };
        known.era == position.era && (self.forgotten..=known.number).contains(&position.number)
    }

    /// What has changed after `position`, as of `now`; `None` where that is not known, so that
    /// everything is to be told.
    pub fn changes_since(&self, position: Revision, now: Millis) -> Option<Vec<Fact>> {
        if !self.covers(position) {
            return None;
        }
        let is_new = |it: &&Entry| it.revision > position.number;
        let removed = self.removed.values().filter(is_new);
        let changed = self.entries.iter().filter(|(key, it)| is_new(it) && !is_for_starts(key));
        Some(removed.chain(changed.map(|(_, it)| it)).map(|it| aged(it, now)).collect())
    }

    /// Whether anything that a running router wants has changed after `position`.
    pub fn has_changes_since(&self, position: Revision) -> bool {
        let is_new = |it: &Entry| it.revision > position.number;
        self.removed.values().any(is_new)
            || self.entries.iter().any(|(key, it)| is_new(it) && !is_for_starts(key))
    }

    /// How many facts and removals are kept.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.removed.len())
    }

    /// All that is known, as of `now`.
    pub fn all(&self, now: Millis) -> Vec<Fact> {
        let entries = self.entries.values().map(|it| aged(it, now));
        std::iter::once(Fact::AllRestored).chain(entries).collect()
    }

    /// The era of the store that was heard of last.
    pub fn era(&self) -> Era {
        self.position.map(|it| it.era).unwrap_or_default()
    }
}

/// What only routers that start have a use for.
fn is_for_starts(key: &Key) -> bool {
    matches!(key, Key::Remembered | Key::RememberedParts)
}

/// What says that a whole list lacks what is kept under `key`.
fn removal(key: &Key) -> Option<Fact> {
    match key {
        Key::Upstream(entry) => Some(Fact::UpstreamRemoved(entry.clone())),
        Key::Evacuated(domain) => Some(Fact::Restored(domain.clone())),
        Key::Router(name) => Some(Fact::RouterRemoved(name.clone())),
        Key::Crashes(name) => Some(Fact::CrashesRemoved(name.clone())),
        // Nobody takes these back.
        Key::Configuration | Key::Remembered | Key::RememberedParts => None,
    }
}

fn is_removal(fact: &Fact) -> bool {
    matches!(
        fact,
        Fact::UpstreamRemoved(_)
            | Fact::UpstreamMissing(_)
            | Fact::Restored(_)
            | Fact::RouterRemoved(_)
            | Fact::CrashesRemoved(_)
    )
}

/// What a fact is told apart by; none where it is of no use to others.
fn key(fact: &Fact) -> Option<Key> {
    match fact {
        Fact::Configuration(_) => Some(Key::Configuration),
        Fact::Upstream { host, .. } => Some(Key::Upstream(host.entry().clone())),
        Fact::UpstreamRemoved(entry)
        | Fact::UpstreamMissing(entry)
        | Fact::UnreadableUpstream { entry, .. } => Some(Key::Upstream(entry.clone())),
        Fact::Evacuated(domain) | Fact::Restored(domain) => Some(Key::Evacuated(domain.clone())),
        Fact::Router(it) => Some(Key::Router(it.router.name.clone())),
        Fact::RouterRemoved(name) => Some(Key::Router(name.clone())),
        Fact::Crashes { router, .. } | Fact::CrashesRemoved(router) => {
            Some(Key::Crashes(router.clone()))
        }
        Fact::SavedHosts(_) => Some(Key::Remembered),
        Fact::SavedPrefixes(_) => Some(Key::RememberedParts),
        Fact::AllRestored | Fact::Unreadable { .. } => None,
    }
}

/// A fact as it is told to others: an entry that was missing after an outage may come back.
fn told(fact: &Fact, returns: bool) -> Fact {
    match fact {
        Fact::UpstreamRemoved(entry) if returns => Fact::UpstreamMissing(entry.clone()),
        _ => fact.clone(),
    }
}

/// A fact as of `now`: what is left of a time has become less.
fn aged(entry: &Entry, now: Millis) -> Fact {
    let mut fact = entry.fact.clone();
    if let Fact::Upstream { cold, .. } = &mut fact {
        *cold = *cold - entry.at.until(now);
    }
    fact
}
