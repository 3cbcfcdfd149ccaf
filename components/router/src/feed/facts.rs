//! Taking what the store or another router told.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::{Batch, Fact};
use intents::{Document, Plan};
use routing::{Event, Host};
use spdlog::{info, warn};

use super::Feed;
use crate::memory;

/// The most entries of upstreams that can't be read of which the log tells.
const MOST_UNREADABLE: usize = 256;

/// What a batch says that is acted on once it is read to its end.
#[derive(Default)]
struct Summary {
    /// Whether the upstreams have changed.
    changed: bool,
    /// Upstreams that say they are cold, and for how much longer.
    cold: Vec<(Arc<str>, Millis)>,
    /// The upstreams that it names, by their entries.
    names: Vec<Arc<str>>,
    /// The routers that it names.
    routers: BTreeSet<Arc<str>>,
    /// The configuration of the highest generation; only that one is compiled.
    newest: Option<Box<Document>>,
    /// What was remembered of the upstreams.
    remembered: Vec<Host>,
    /// What was remembered of warm parts.
    parts: Bytes,
}

impl Feed {
    /// Takes a batch; `whole` says that it holds all there is, not only changes.
    pub(super) fn take(&mut self, batch: Batch, whole: bool) {
        let now = self.core.clock.now();
        let mut summary = Summary::default();
        for fact in batch.facts {
            self.note(fact, &mut summary);
        }
        if whole {
            self.core.fleet().roster().retain(&summary.routers);
        }
        self.meet_routers();
        let stored = summary.newest.as_ref().map(|it| it.generation);
        self.stored = stored.unwrap_or(if whole { 0 } else { self.stored });
        if let Some(document) = summary.newest {
            self.configure(*document, batch.revision.number);
        }
        if whole {
            summary.changed |= self.listing.keep_only(&summary.names);
        }
        let starts = !std::mem::replace(&mut self.started, true);
        let mechanisms = self.core.settings.routing.mechanisms;
        if starts && mechanisms.upstreams {
            summary.changed |= self.recall(summary.remembered, now);
        }
        summary.changed |= self.listing.expire(now);
        if summary.changed {
            self.publish(batch.revision.number);
        }
        self.evacuate(batch.revision.number);
        self.chill(summary.cold);
        if starts && mechanisms.parts {
            self.recall_parts(&summary.parts);
        }
        self.revision = Some(batch.revision);
        // One router writes for the whole fleet.
        let writes = self.core.fleet().writes();
        self.memory.set_writer(writes);
        if writes {
            self.memory.remember(&self.listing);
        }
    }

    /// At the start, upstreams that were remembered and are not listed.
    fn recall(&mut self, hosts: Vec<Host>, now: Millis) -> bool {
        let remembered = hosts.len();
        let missing = self.listing.restore(hosts, now);
        if missing {
            info!("upstreams are missing that were remembered", kv: { remembered });
        }
        missing
    }

    /// At the start, where parts were warm when that was last written down.
    fn recall_parts(&self, remembered: &[u8]) {
        let warm = memory::decode(remembered);
        let parts: usize = warm.iter().map(|it| it.prefixes.len()).sum();
        if parts > 0 {
            info!("warm parts recalled", kv: { upstreams = warm.len(), parts });
        }
        for warm in warm {
            self.core.apply(Event::WarmPrefixes(warm));
        }
    }

    /// Takes one fact of a batch; what waits for the end of it goes to `summary`.
    fn note(&mut self, fact: Fact, summary: &mut Summary) {
        match fact {
            Fact::Upstream { host, sequence, cold } => {
                summary.names.push(host.entry().clone());
                self.unreadable.remove(host.entry());
                if cold > Millis::ZERO {
                    summary.cold.push((host.name.clone(), cold));
                }
                summary.changed |= self.listing.put(host, sequence);
            }
            Fact::UpstreamRemoved(entry) => {
                self.unreadable.remove(&entry);
                summary.changed |= self.listing.remove(&entry);
            }
            Fact::UnreadableUpstream { entry, reason } => {
                self.leave_unreadable(&entry, &reason, summary);
            }
            Fact::UpstreamMissing(entry) => self.listing.mark_missing(&entry, self.returned()),
            Fact::Router(announcement) => {
                summary.routers.insert(announcement.router.name.clone());
                self.core.fleet().roster().insert(announcement);
            }
            Fact::RouterRemoved(name) => {
                summary.routers.remove(&name);
                self.core.fleet().roster().remove(&name);
            }
            Fact::Evacuated(domain) => {
                self.evacuated.insert(domain);
            }
            Fact::Restored(domain) => {
                self.evacuated.remove(&domain);
            }
            // The operator may have to write again that a domain is to take nothing.
            Fact::AllRestored if self.doubted_until.is_some() => {}
            Fact::AllRestored => self.evacuated.clear(),
            Fact::Configuration(document) => {
                let known = summary.newest.as_ref().map_or(0, |it| it.generation);
                if document.generation > known {
                    summary.newest = Some(document);
                }
            }
            Fact::SavedHosts(hosts) => summary.remembered = hosts,
            Fact::SavedPrefixes(parts) => summary.parts = parts,
            Fact::Crashes { router, crashes } => {
                if router == self.core.settings.name {
                    self.core.crashes.recall(&crashes);
                }
                self.core.apply(Event::Crashes(crashes));
            }
            Fact::CrashesRemoved(router) => {
                if router == self.core.settings.name {
                    self.core.crashes.tell_again();
                }
            }
            Fact::Unreadable { key, reason } => {
                warn!("an entry can't be read", kv: { key = &*key, reason });
            }
        }
    }

    /// Another writer's entry names no upstream to use; one line tells of it until it can be
    /// read again or goes.
    fn leave_unreadable(&mut self, entry: &Arc<str>, reason: &str, summary: &mut Summary) {
        summary.changed |= self.listing.drop_unreadable(entry);
        if self.unreadable.len() < MOST_UNREADABLE && self.unreadable.insert(entry.clone()) {
            self.core.metrics.belief("entry_unreadable");
            warn!("an entry can't be read", kv: { key = &**entry, reason });
        }
    }

    /// Lets go of upstreams whose time to come back is over.
    pub(super) fn expire(&mut self, now: Millis) {
        if let Some(revision) = self.revision
            && self.listing.expire(now)
        {
            self.publish(revision.number);
        }
    }

    /// Since when upstreams have had time to come back whose entries are missing now.
    pub(super) fn returned(&self) -> Millis {
        let proof = self.core.proof_ms().map(Millis);
        self.freshness.grace_start(proof, self.core.clock.now())
    }

    /// Hands the upstreams to the reducer.
    fn publish(&self, revision: u64) {
        let hosts = self.listing.hosts();
        info!("upstreams changed", kv: {
            upstreams = hosts.len(),
            leaving = hosts.iter().filter(|it| it.leaving).count(),
            revision,
        });
        self.core.apply(Event::Hosts(hosts));
    }

    /// Tells the reducer which failure domains are to take nothing.
    fn evacuate(&mut self, revision: u64) {
        if self.evacuated == self.known_evacuated {
            return;
        }
        for domain in self.evacuated.difference(&self.known_evacuated) {
            self.core.metrics.belief("domain_left");
            info!("failure domain left", kv: { domain = &**domain, revision });
        }
        for domain in self.known_evacuated.difference(&self.evacuated) {
            self.core.metrics.belief("domain_taken_back");
            info!("failure domain taken back", kv: { domain = &**domain, revision });
        }
        self.known_evacuated.clone_from(&self.evacuated);
        self.core.apply(Event::Evacuated(self.evacuated.clone()));
    }

    /// Tells the reducer which upstreams are cold.
    fn chill(&self, cold: Vec<(Arc<str>, Millis)>) {
        for (upstream, left) in cold {
            self.core.metrics.belief("upstream_cold");
            info!("upstream is cold", kv: { upstream = &*upstream, ms = left.0 });
            self.core.apply(Event::Cold { upstream, remaining: left });
        }
    }

    /// Takes which routers there are, where that has changed: for hints, for what cold upstreams
    /// bear, and for the retry budget.
    pub(super) fn meet_routers(&mut self) {
        let known = self.core.fleet().routers(self.core.clock.now());
        self.count_routers();
        if known.len() == self.routers.len() && known.keys().all(|it| self.routers.contains(it)) {
            return;
        }
        if let Some(peers) = self.core.peers() {
            peers.meet(&known);
        }
        self.routers = known.into_keys().collect();
        let own = self.core.settings.name.clone();
        self.core.apply(Event::Members { own, announced: self.routers.clone() });
    }

    /// Tells the reducer among how many routers the retry budget is divided. Announcements lapse
    /// in an outage of the store while their routers live, and those that hear from a router that
    /// ends are named by nobody for a moment: the count goes down only with a restart of all.
    fn count_routers(&mut self) {
        let routers = self.core.fleet().most();
        if routers <= self.most_routers {
            return;
        }
        self.most_routers = routers;
        info!("routers counted", kv: { routers });
        self.core.apply(Event::RouterCount(routers));
    }

    /// Compiles a configuration and hands it to the reducer.
    fn configure(&self, document: Document, revision: u64) {
        let generation = document.generation;
        // An earlier one is never put in force; the one in force comes with each whole list.
        if self.core.plan().is_some_and(|it| it.generation() >= generation) {
            return;
        }
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
