//! Following the platform's store: the configuration and the upstreams.
//!
//! A router looks at the store at a fixed pace. Each look brings what has
//! changed since the last one, and proves that the configuration in force was
//! the newest when the look began.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use clock::Millis;
use edge::{Batch, Fact, Fault};
use intents::{Document, Plan};
use routing::{Event, Host};
use spdlog::{info, warn};

use crate::core::Core;

/// How long a look waits for a change, so that it is answered soon in any case.
const WAIT: Millis = Millis(250);

/// The pause after a look that failed; the store's outages end without notice.
const PAUSE: Millis = Millis(300);

/// How long after an outage entries that were removed meanwhile are still
/// taken to live: upstreams that live are back within about two seconds.
const RETURN: Millis = Millis(2_000);

/// The upstreams that the store lists, and what of it is to be believed.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    hosts: BTreeMap<Arc<str>, Entry>,
    /// When the last outage ended.
    returned: Option<Millis>,
}

#[derive(Debug)]
struct Entry {
    host: Host,
    sequence: u64,
    /// When an entry that was removed around an outage is taken to be gone.
    gone_at: Option<Millis>,
}

impl Directory {
    /// The store answers again after it did not.
    pub(crate) fn came_back(&mut self, now: Millis) {
        self.returned = Some(now);
    }

    /// Takes an entry; an older one than known changes nothing. Returns whether
    /// anything has changed.
    pub(crate) fn put(&mut self, host: Host, sequence: u64) -> bool {
        let known = self.hosts.get(&host.name);
        if known.is_some_and(|it| it.sequence > sequence && it.gone_at.is_none()) {
            return false;
        }
        let changed = known.is_none_or(|it| it.host != host);
        self.hosts.insert(host.name.clone(), Entry { host, sequence, gone_at: None });
        changed
    }

    /// Takes the removal of an entry. Returns whether anything has changed.
    pub(crate) fn remove(&mut self, name: &str, now: Millis) -> bool {
        let recent = self.returned.filter(|it| it.until(now) < RETURN);
        let Some(returned) = recent else {
            return self.hosts.remove(name).is_some();
        };
        if let Some(entry) = self.hosts.get_mut(name) {
            entry.gone_at = Some(returned + RETURN);
        }
        false
    }

    /// Takes a whole list: what is not in it was removed.
    pub(crate) fn keep_only(&mut self, names: &[Arc<str>], now: Millis) -> bool {
        let missing: Vec<_> = self.hosts.keys().filter(|it| !names.contains(it)).cloned().collect();
        missing.iter().fold(false, |changed, name| self.remove(name, now) | changed)
    }

    /// Lets go of entries whose time to come back is over.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let before = self.hosts.len();
        self.hosts.retain(|_, it| it.gone_at.is_none_or(|at| at > now));
        self.hosts.len() != before
    }

    /// The upstreams that are taken to live.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        self.hosts.values().map(|it| it.host.clone()).collect()
    }
}

/// Follows the store until the process stops.
pub(crate) async fn follow(core: Rc<Core>, look: Millis) {
    let mut feed = Feed { core, directory: Directory::default(), revision: None, lost: false };
    loop {
        let started = feed.core.clock.now();
        let pause = match feed.look().await {
            Ok(()) => {
                feed.core.apply(Event::Current { at: started });
                look
            }
            Err(fault) => {
                feed.failed(&fault);
                PAUSE
            }
        };
        tokio::time::sleep(pause.duration()).await;
    }
}

struct Feed {
    core: Rc<Core>,
    directory: Directory,
    /// The revision up to which all changes were taken.
    revision: Option<u64>,
    /// Whether the last look failed.
    lost: bool,
}

impl Feed {
    async fn look(&mut self) -> Result<(), Fault> {
        let store = self.core.edges().store.clone();
        let whole = self.revision.is_none();
        let batch = match self.revision {
            Some(revision) => store.watch(revision, WAIT).await?,
            None => store.read().await?,
        };
        if std::mem::take(&mut self.lost) {
            info!("the store answers again", kv: { revision = batch.revision });
            self.directory.came_back(self.core.clock.now());
        }
        self.take(batch, whole);
        Ok(())
    }

    fn failed(&mut self, fault: &Fault) {
        if *fault == Fault::HistoryGone {
            info!("the store's history is gone; everything is read anew");
            self.revision = None;
            return;
        }
        if !std::mem::replace(&mut self.lost, true) {
            warn!("the store does not answer", kv: { reason = fault.to_string() });
        }
    }

    fn take(&mut self, batch: Batch, whole: bool) {
        let now = self.core.clock.now();
        let mut changed = false;
        let mut names = Vec::new();
        for fact in batch.facts {
            match fact {
                Fact::Upstream { host, sequence } => {
                    names.push(host.name.clone());
                    changed |= self.directory.put(host, sequence);
                }
                Fact::Gone(name) => changed |= self.directory.remove(&name, now),
                Fact::Configuration(document) => self.configure(*document, batch.revision),
                Fact::Unreadable { key, reason } => {
                    warn!("an entry can't be read", kv: { key = &*key, reason });
                }
            }
        }
        if whole {
            changed |= self.directory.keep_only(&names, now);
        }
        changed |= self.directory.expire(now);
        if changed {
            let hosts = self.directory.hosts();
            info!("upstreams changed", kv: {
                upstreams = hosts.len(),
                leaving = hosts.iter().filter(|it| it.leaving).count(),
                revision = batch.revision,
            });
            self.core.apply(Event::Hosts(hosts));
        }
        self.revision = Some(batch.revision);
    }

    fn configure(&self, document: Document, revision: u64) {
        let generation = document.generation;
        match Plan::compile(document) {
            Ok(plan) => {
                info!("configuration taken", kv: { generation, revision });
                self.core.apply(Event::Configure(Arc::new(plan)));
            }
            Err(fault) => {
                warn!("configuration refused", kv: { generation, fault = fault.to_string() });
            }
        }
    }
}
