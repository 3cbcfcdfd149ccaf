//! The upstreams that the platform lists, and what of the list is believed.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use indexmap::IndexMap;

use crate::Host;

/// How long after an outage of the store upstreams are still taken to live whose
/// entries are missing. An entry lapses when its upstream can't renew it; those
/// that live are back within about two seconds, as the platform says.
pub const MISSING_TTL: Millis = Millis(2_000);

/// The most entries that are remembered after they were removed: about 0.4 MB.
const MOST_REMOVED: usize = 4_096;

/// The upstreams that the store lists.
#[derive(Debug, Default)]
pub struct Listing {
    /// By the name of the entry, which stays the same over starts.
    hosts: BTreeMap<Arc<str>, Entry>,
    /// How far entries had come that were removed, the latest last.
    removed: IndexMap<Arc<str>, Progress>,
    /// When the store came back, until what it then said has been taken.
    returned: Option<Millis>,
    /// Whether it came back from an older copy.
    older: bool,
}

/// How far an entry has come: its start and its count since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Progress {
    born: u64,
    sequence: u64,
}

#[derive(Debug)]
struct Entry {
    host: Host,
    sequence: u64,
    /// When an entry that was missing after an outage is taken to be gone.
    gone_at: Option<Millis>,
}

impl Listing {
    /// The store answers again after it did not. What is missing from its first
    /// answer may have lapsed; what goes later has really gone.
    pub fn begin_recovery(&mut self, now: Millis) {
        self.returned = Some(now);
    }

    /// The store holds an older copy of itself: what is missing from its first answer may be
    /// written again, and what had been removed may stand there once more.
    pub fn begin_restored_recovery(&mut self, now: Millis) {
        self.returned = Some(now);
        self.older = true;
    }

    /// The first answer after an outage has been taken.
    pub fn finish_recovery(&mut self) {
        self.returned = None;
        self.older = false;
    }

    /// Takes an entry; one that is older than known changes nothing: of an earlier start, or
    /// of the same and a lower sequence, which begins anew with each start. Returns
    /// whether anything has changed.
    pub fn put(&mut self, host: Host, sequence: u64) -> bool {
        let known = self.hosts.get(host.entry());
        let is_older = |it: &Entry| match host.born.cmp(&it.host.born) {
            Ordering::Less => true,
            Ordering::Equal => sequence < it.sequence && it.gone_at.is_none(),
            Ordering::Greater => false,
        };
        if known.is_some_and(is_older) {
            return false;
        }
        if self.is_of_the_past(&host, sequence) {
            return false;
        }
        self.removed.shift_remove(host.entry());
        let known = self.hosts.get(host.entry());
        let changed = known.is_none_or(|it| it.host != host);
        self.hosts.insert(host.entry().clone(), Entry { host, sequence, gone_at: None });
        changed
    }

    /// Whether an entry is older than one that was removed. What stands in an older copy is so
    /// also where it is the same: an upstream that is there writes again.
    fn is_of_the_past(&self, host: &Host, sequence: u64) -> bool {
        let told = Progress { born: host.born, sequence };
        let removed = self.removed.get(host.entry());
        removed.is_some_and(|it| told < *it || (self.older && told == *it))
    }

    /// Remembers how far an entry had come that is removed.
    fn forget(&mut self, name: &str) -> bool {
        let Some(entry) = self.hosts.remove(name) else { return false };
        let progress = Progress { born: entry.host.born, sequence: entry.sequence };
        if self.removed.len() >= MOST_REMOVED {
            self.removed.shift_remove_index(0);
        }
        self.removed.insert(name.into(), progress);
        true
    }

    /// Takes the removal of an entry. Returns whether anything has changed.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(returned) = self.returned else {
            return self.forget(name);
        };
        if let Some(entry) = self.hosts.get_mut(name) {
            entry.gone_at = Some(returned + MISSING_TTL);
        }
        false
    }

    /// Takes that an entry was missing when the store answered others again after an outage.
    pub fn mark_missing(&mut self, name: &str, now: Millis) {
        if let Some(entry) = self.hosts.get_mut(name) {
            entry.gone_at.get_or_insert(now + MISSING_TTL);
        }
    }

    /// Whether what is missing now may come back.
    pub fn is_recovering(&self) -> bool {
        self.returned.is_some()
    }

    /// Takes an entry that can't be read: the upstream that stood there is not used, also
    /// where an entry that is missing would be waited for. Returns whether there was one.
    pub fn drop_unreadable(&mut self, entry: &str) -> bool {
        self.hosts.remove(entry).is_some()
    }

    /// Takes a whole list, by the names of entries: what is not in it was removed. Returns whether
    /// anything has changed.
    pub fn keep_only(&mut self, names: &[Arc<str>]) -> bool {
        let missing: Vec<_> = self.hosts.keys().filter(|it| !names.contains(it)).cloned().collect();
        missing.iter().fold(false, |changed, name| self.remove(name) | changed)
    }

    /// Takes what was remembered of the list: upstreams that are missing from it may
    /// have lapsed, and have time to come back. Returns whether there were any.
    pub fn restore(&mut self, hosts: Vec<Host>, now: Millis) -> bool {
        let before = self.hosts.len();
        for host in hosts {
            let gone_at = Some(now + MISSING_TTL);
            let entry = Entry { host, sequence: 0, gone_at };
            self.hosts.entry(entry.host.entry().clone()).or_insert(entry);
        }
        self.hosts.len() != before
    }

    /// Whether some upstreams are only taken to live for a while.
    pub fn has_expiring(&self) -> bool {
        self.next_expiry().is_some()
    }

    /// Lets go of entries whose time to come back is over. Returns whether there
    /// were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let over = |(name, it): (&Arc<str>, &Entry)| {
            it.gone_at.is_some_and(|at| at <= now).then(|| name.clone())
        };
        let gone: Vec<_> = self.hosts.iter().filter_map(over).collect();
        gone.iter().fold(false, |any, name| self.forget(name) | any)
    }

    /// When the next entry's time to come back is over.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.hosts.values().filter_map(|it| it.gone_at).min()
    }

    /// The upstreams that are taken to live.
    pub fn hosts(&self) -> Vec<Host> {
        self.hosts.values().map(|it| it.host.clone()).collect()
    }
}
