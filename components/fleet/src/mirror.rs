//! A copy of the store's content for the routers that query this one.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::{Batch, Era, Fact, Revision};

/// How many removals are kept; routers that query for changes before them get all facts.
const MAX_REMOVED: usize = 4_096;

/// The revision that a router has read up to; `None` before its first read.
pub type Position = Option<Revision>;

/// Identifies what a fact is about; a later fact with the same key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Configuration,
    Upstream(Arc<str>),
    Evacuated(Arc<str>),
    Router(Arc<str>),
    Crashes(Arc<str>),
    SavedHosts,
    SavedBuilds,
    SavedPrefixes,
}

/// A fact with the time and revision of its arrival.
#[derive(Debug)]
struct Entry {
    fact: Fact,
    /// Routers at a lower revision need the fact; see [`Entry::settle`].
    revision: u64,
    /// The latest revision that the fact may be of: the pages of one read differ in revision.
    latest: u64,
    at: Millis,
}

impl Entry {
    /// Marks the fact as changed again once this router has reached `latest`. A fact of a read of
    /// several pages may be newer than the batch's revision, so that a router which reached that
    /// revision from another source may lack it.
    fn settle(&mut self, revision: u64) {
        if self.revision < self.latest && self.latest <= revision {
            self.revision = revision;
        }
    }
}

/// The latest fact for each key, and the removals since.
#[derive(Debug, Default)]
pub struct Mirror {
    position: Position,
    entries: BTreeMap<Key, Entry>,
    /// The facts that removed entries.
    removed: BTreeMap<Key, Entry>,
    /// Changes after this revision are known.
    history_start: u64,
    /// The revision of the latest list of evacuated domains. A domain may have been evacuated and
    /// restored, or the reverse, between the revision before and this one.
    listed_at: u64,
}

impl Mirror {
    /// The revision that this router has read up to.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Applies a batch that arrived at `now`.
    ///
    /// `full` marks a batch of the whole content, `recovering` one that follows an outage, so that
    /// removed upstreams are only missing. `keep_evacuated` keeps failure domains evacuated that
    /// the batch doesn't list.
    pub fn apply(
        &mut self,
        batch: &Batch,
        full: bool,
        recovering: bool,
        keep_evacuated: bool,
        now: Millis,
    ) {
        if self.position.is_none_or(|position| position.era != batch.revision.era) {
            *self = Self { history_start: batch.revision.number, ..Self::default() };
        }
        self.position = Some(batch.revision);
        let revision = batch.revision.number;
        self.entries.values_mut().for_each(|entry| entry.settle(revision));
        self.removed.values_mut().for_each(|entry| entry.settle(revision));
        let new_entry = |fact| Entry { fact, revision, latest: batch.latest, at: now };
        let mut listed = Vec::new();
        let mut is_listing = full;
        for fact in &batch.facts {
            // The changes before the list are of upstreams, in order.
            is_listing |= *fact == Fact::AllRestored;
            if let Some(key) = key_of(fact) {
                self.put(key.clone(), new_entry(published(fact, recovering)), !is_listing);
                listed.push(key);
            }
        }
        if is_listing && !keep_evacuated {
            self.listed_at = revision;
        }
        listed.sort();
        let is_complete = |key: &Key| match key {
            Key::Evacuated(_) => is_listing && !keep_evacuated,
            _ => full,
        };
        let gone = self
            .entries
            .keys()
            .filter(|key| is_complete(key) && listed.binary_search(key).is_err());
        for key in gone.cloned().collect::<Vec<_>>() {
            if let Some(fact) = removal(&key) {
                self.put(key, new_entry(published(&fact, recovering)), true);
            }
        }
    }

    /// Stores a fact. It is `changed` unless it is part of a listing, which may repeat known facts.
    fn put(&mut self, key: Key, entry: Entry, changed: bool) {
        if is_removal(&entry.fact) {
            self.entries.remove(&key);
            self.record_removal(key, entry);
            return;
        }
        self.removed.remove(&key);
        // A change back to a known value is new to routers that know the value in between.
        if changed || self.entries.get(&key).is_none_or(|known| known.fact != entry.fact) {
            self.entries.insert(key, entry);
        }
    }

    fn record_removal(&mut self, key: Key, entry: Entry) {
        self.removed.insert(key, entry);
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, entry)| entry.revision);
        if let Some((key, revision)) = oldest.map(|(key, entry)| (key.clone(), entry.revision)) {
            self.removed.remove(&key);
            self.history_start = self.history_start.max(revision);
        }
    }

    /// Whether all changes after `position` are known.
    pub fn covers(&self, position: Revision) -> bool {
        let Some(known) = self.position else { return false };
        known.era == position.era && (self.history_start..=known.number).contains(&position.number)
    }

    /// The changes after `position`, as of `now`; `None` if they aren't all known, so that a full
    /// batch is needed.
    pub fn changes_since(&self, position: Revision, now: Millis) -> Option<Vec<Fact>> {
        if !self.covers(position) {
            return None;
        }
        let is_new = |entry: &&Entry| entry.revision > position.number;
        let removed = self.removed.values().filter(is_new);
        let changed =
            self.entries.iter().filter(|(key, entry)| is_new(entry) && !is_startup_only(key));
        let all = removed.chain(changed.map(|(_, entry)| entry));
        let mut facts: Vec<_> = all.map(|entry| aged(entry, now)).collect();
        if self.listed_at > position.number {
            facts.retain(|fact| !matches!(fact, Fact::Evacuated(_)));
            facts.push(Fact::AllRestored);
            facts.extend(self.evacuated());
        }
        Some(facts)
    }

    /// The list of evacuated domains, without its head [`Fact::AllRestored`].
    fn evacuated(&self) -> impl Iterator<Item = Fact> {
        let is_evacuated = |fact: &&Fact| matches!(fact, Fact::Evacuated(_));
        self.entries.values().map(|entry| &entry.fact).filter(is_evacuated).cloned()
    }

    /// Whether there are changes after `position` that a running router needs.
    pub fn has_changes_since(&self, position: Revision) -> bool {
        let is_new = |entry: &Entry| entry.revision > position.number;
        self.listed_at > position.number
            || self.removed.values().any(is_new)
            || self.entries.iter().any(|(key, entry)| is_new(entry) && !is_startup_only(key))
    }

    /// The number of stored facts and of stored removals.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.removed.len())
    }

    /// All facts, as of `now`.
    pub fn all(&self, now: Millis) -> Vec<Fact> {
        let entries = self.entries.values().map(|entry| aged(entry, now));
        std::iter::once(Fact::AllRestored).chain(entries).collect()
    }

    /// The era of the latest batch.
    pub fn era(&self) -> Era {
        self.position.map(|position| position.era).unwrap_or_default()
    }
}

/// Whether only starting routers need the fact.
fn is_startup_only(key: &Key) -> bool {
    matches!(key, Key::SavedHosts | Key::SavedPrefixes)
}

/// The fact that removes a key which a full batch doesn't list.
fn removal(key: &Key) -> Option<Fact> {
    match key {
        Key::Upstream(entry) => Some(Fact::UpstreamRemoved(entry.clone())),
        Key::Evacuated(domain) => Some(Fact::Restored(domain.clone())),
        Key::Router(name) => Some(Fact::RouterRemoved(name.clone())),
        Key::Crashes(name) => Some(Fact::CrashesRemoved(name.clone())),
        // These are replaced, but never removed.
        Key::Configuration | Key::SavedHosts | Key::SavedBuilds | Key::SavedPrefixes => None,
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

/// The key of a fact; `None` if it is not stored.
fn key_of(fact: &Fact) -> Option<Key> {
    match fact {
        Fact::Configuration(_) => Some(Key::Configuration),
        Fact::Upstream { host, .. } => Some(Key::Upstream(host.entry().clone())),
        Fact::UpstreamRemoved(entry)
        | Fact::UpstreamMissing(entry)
        | Fact::UnreadableUpstream { entry, .. } => Some(Key::Upstream(entry.clone())),
        Fact::Evacuated(domain) | Fact::Restored(domain) => Some(Key::Evacuated(domain.clone())),
        Fact::Router(announcement) => Some(Key::Router(announcement.router.name.clone())),
        Fact::RouterRemoved(name) => Some(Key::Router(name.clone())),
        Fact::Crashes { router, .. } | Fact::CrashesRemoved(router) => {
            Some(Key::Crashes(router.clone()))
        }
        Fact::SavedHosts(_) => Some(Key::SavedHosts),
        Fact::SavedBuilds(_) => Some(Key::SavedBuilds),
        Fact::SavedPrefixes(_) => Some(Key::SavedPrefixes),
        Fact::AllRestored | Fact::Unreadable { .. } | Fact::UnreadableConfiguration { .. } => None,
    }
}

/// The fact for other routers: after an outage, a removed upstream may come back.
fn published(fact: &Fact, recovering: bool) -> Fact {
    match fact {
        Fact::UpstreamRemoved(entry) if recovering => Fact::UpstreamMissing(entry.clone()),
        _ => fact.clone(),
    }
}

/// The fact as of `now`, with its remaining durations reduced.
fn aged(entry: &Entry, now: Millis) -> Fact {
    let mut fact = entry.fact.clone();
    if let Fact::Upstream { cold, .. } = &mut fact {
        *cold = *cold - entry.at.until(now);
    }
    fact
}
