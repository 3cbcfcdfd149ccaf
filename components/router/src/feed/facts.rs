//! Applies answers of the store or of another router.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use edge::{Batch, Fact};
use intents::{Document, Plan};
use routing::{Event, Host};
use spdlog::{info, warn};
use wire::Build;

use super::{Feed, Stored};
use crate::persistence;

/// The most unreadable upstream entries that are logged.
const MAX_LOGGED_UNREADABLE: usize = 256;

/// The parts of a batch that are applied after all of it is read.
#[derive(Default)]
struct Deferred {
    changed: bool,
    /// Cold upstreams, and for how much longer they are cold.
    cold: Vec<(Arc<str>, Millis)>,
    /// Entries of the listed upstreams.
    entries: Vec<Arc<str>>,
    /// Names of the listed routers.
    routers: BTreeSet<Arc<str>>,
    /// The configuration of the highest generation; only this one is compiled.
    newest: Option<Box<Document>>,
    /// The last configuration, if there is any.
    stored: Option<Stored>,
    /// Upstreams saved by the router that writes for the fleet.
    saved_upstreams: Vec<Host>,
    /// Builds saved by the same router; `None` if there are none saved.
    saved_builds: Option<Vec<Build>>,
    /// Warm prefixes saved by the same router.
    saved_prefixes: Bytes,
}

impl Feed {
    /// Applies a batch; `full` if it is a full read and not only changes.
    pub(super) fn apply_batch(&mut self, batch: Batch, full: bool) {
        let now = self.core.clock.now();
        let mut deferred = Deferred::default();
        for fact in batch.facts {
            self.apply_fact(fact, &mut deferred);
        }
        if full {
            self.core.fleet().roster().retain(&deferred.routers);
        }
        self.update_routers();
        let unchanged = if full { Stored::Generation(0) } else { self.stored };
        self.stored = deferred.stored.unwrap_or(unchanged);
        if let Some(document) = deferred.newest {
            self.configure(*document, batch.revision.number);
        }
        if full {
            deferred.changed |= self.listing.keep_only(&deferred.entries);
        }
        let is_first = !std::mem::replace(&mut self.has_read, true);
        let mechanisms = self.core.settings.routing.mechanisms;
        self.load_builds(deferred.saved_builds, is_first);
        if is_first && mechanisms.upstreams {
            deferred.changed |= self.load_upstreams(deferred.saved_upstreams, now);
        }
        deferred.changed |= self.listing.expire(now);
        if deferred.changed {
            self.publish_upstreams(batch.revision.number);
        }
        self.update_evacuated(batch.revision.number);
        self.mark_cold(deferred.cold);
        if is_first && mechanisms.parts {
            self.load_prefixes(&deferred.saved_prefixes);
        }
        self.revision = Some(batch.revision);
        // One router writes for the whole fleet.
        let is_writer = self.core.fleet().is_writer();
        self.saver.set_writer(is_writer);
        if is_writer {
            self.saver.save(&self.listing);
        }
    }

    /// Loads saved upstreams that are not listed at startup; returns whether there are any.
    fn load_upstreams(&mut self, hosts: Vec<Host>, now: Millis) -> bool {
        let remembered = hosts.len();
        let missing = self.listing.restore(hosts, now);
        if missing {
            info!("upstreams are missing that were remembered", kv: { remembered });
        }
        missing
    }

    /// Passes saved builds to the routing state. At the first start of the fleet there are none.
    fn load_builds(&self, saved: Option<Vec<Build>>, is_first: bool) {
        let direct = self.core.settings.direct.as_ref();
        let is_first_start = is_first && direct.is_some_and(|direct| direct.first_start);
        let Some(builds) = saved.or_else(|| is_first_start.then(Vec::new)) else { return };
        info!("builds received", kv: { builds = builds.len() });
        self.core.apply(Event::Builds(builds));
    }

    /// Loads saved warm prefixes at startup.
    fn load_prefixes(&self, saved: &[u8]) {
        let warm = persistence::decode(saved);
        let parts: usize = warm.iter().map(|warm| warm.prefixes.len()).sum();
        if parts > 0 {
            info!("warm prefixes restored", kv: { upstreams = warm.len(), parts });
        }
        for warm in warm {
            self.core.apply(Event::WarmPrefixes(warm));
        }
    }

    /// Applies one fact of a batch, or adds it to `deferred` for the end of the batch.
    fn apply_fact(&mut self, fact: Fact, deferred: &mut Deferred) {
        match fact {
            Fact::Upstream { host, sequence, cold } => {
                deferred.entries.push(host.entry().clone());
                self.unreadable.remove(host.entry());
                if cold > Millis::ZERO {
                    deferred.cold.push((host.name.clone(), cold));
                }
                deferred.changed |= self.listing.put(host, sequence);
            }
            Fact::UpstreamRemoved(entry) => {
                self.unreadable.remove(&entry);
                deferred.changed |= self.listing.remove(&entry);
            }
            Fact::UnreadableUpstream { entry, reason } => {
                self.drop_unreadable(&entry, &reason, deferred);
            }
            Fact::UpstreamMissing(entry) => self.listing.mark_missing(&entry, self.grace_start()),
            Fact::Router(announcement) => {
                deferred.routers.insert(announcement.router.name.clone());
                self.core.fleet().roster().insert(announcement);
            }
            Fact::RouterRemoved(name) => {
                deferred.routers.remove(&name);
                self.core.fleet().roster().remove(&name);
            }
            Fact::Evacuated(domain) => {
                self.evacuated.insert(domain);
            }
            Fact::Restored(domain) => {
                self.evacuated.remove(&domain);
            }
            // The operator may still have to write the evacuation again.
            Fact::AllRestored if self.incomplete_until.is_some() => {}
            Fact::AllRestored => self.evacuated.clear(),
            Fact::Configuration(document) => {
                let known = deferred.newest.as_ref().map_or(0, |document| document.generation);
                deferred.stored = Some(Stored::Generation(document.generation.max(known)));
                if document.generation > known {
                    deferred.newest = Some(document);
                }
            }
            Fact::UnreadableConfiguration { reason } => {
                deferred.stored = Some(Stored::Unreadable);
                self.core.metrics.record_change("configuration_unreadable");
                warn!("configuration unreadable", kv: { reason });
            }
            Fact::SavedHosts(hosts) => deferred.saved_upstreams = hosts,
            Fact::SavedBuilds(builds) => deferred.saved_builds = Some(builds),
            Fact::SavedPrefixes(prefixes) => deferred.saved_prefixes = prefixes,
            Fact::Crashes { router, crashes } => {
                if router == self.core.settings.name {
                    self.core.crashes.load(&crashes);
                }
                self.core.apply(Event::Crashes(crashes));
            }
            Fact::CrashesRemoved(router) => {
                if router == self.core.settings.name {
                    self.core.crashes.report_again();
                }
            }
            Fact::Unreadable { key, reason } => {
                warn!("an entry can't be read", kv: { key = &*key, reason });
            }
        }
    }

    /// Removes an upstream whose entry can't be read. Logs the entry once until it becomes readable
    /// or is removed.
    fn drop_unreadable(&mut self, entry: &Arc<str>, reason: &str, deferred: &mut Deferred) {
        deferred.changed |= self.listing.drop_unreadable(entry);
        if self.unreadable.len() < MAX_LOGGED_UNREADABLE && self.unreadable.insert(entry.clone()) {
            self.core.metrics.record_change("entry_unreadable");
            warn!("an entry can't be read", kv: { key = &**entry, reason });
        }
    }

    /// Drops upstreams whose grace period has ended.
    pub(super) fn expire(&mut self, now: Millis) {
        if let Some(revision) = self.revision
            && self.listing.expire(now)
        {
            self.publish_upstreams(revision.number);
        }
    }

    /// The start of the current grace period, in which missing upstreams may return.
    pub(super) fn grace_start(&self) -> Millis {
        let confirmation_age = self.core.confirmation_age_ms().map(Millis);
        self.freshness.grace_start(confirmation_age, self.core.clock.now())
    }

    /// Passes the upstreams to the routing state.
    fn publish_upstreams(&self, revision: u64) {
        let hosts = self.listing.hosts();
        let versions: BTreeSet<_> = hosts.iter().map(|host| &host.version).collect();
        info!("upstreams changed", kv: {
            upstreams = hosts.len(),
            versions = versions.len(),
            leaving = hosts.iter().filter(|host| host.leaving).count(),
            revision,
        });
        self.core.apply(Event::Hosts(hosts));
        self.core.stream_records.review();
    }

    /// Passes changed evacuations of failure domains to the routing state.
    fn update_evacuated(&mut self, revision: u64) {
        if self.evacuated == self.applied_evacuated {
            return;
        }
        for domain in self.evacuated.difference(&self.applied_evacuated) {
            self.core.metrics.record_change("domain_left");
            info!("failure domain evacuated", kv: { domain = &**domain, revision });
        }
        for domain in self.applied_evacuated.difference(&self.evacuated) {
            self.core.metrics.record_change("domain_taken_back");
            info!("failure domain restored", kv: { domain = &**domain, revision });
        }
        self.applied_evacuated.clone_from(&self.evacuated);
        self.core.apply(Event::Evacuated(self.evacuated.clone()));
    }

    /// Passes cold upstreams to the routing state.
    fn mark_cold(&self, cold: Vec<(Arc<str>, Millis)>) {
        for (upstream, remaining) in cold {
            self.core.metrics.record_change("upstream_cold");
            info!("upstream is cold", kv: { upstream = &*upstream, ms = remaining.0 });
            self.core.apply(Event::Cold { upstream, remaining });
        }
    }

    /// Passes a changed set of routers to the peers and the routing state, and their number if it
    /// grew.
    pub(super) fn update_routers(&mut self) {
        let known = self.core.fleet().routers(self.core.clock.now());
        self.update_router_count();
        if known.len() == self.routers.len() && known.keys().all(|name| self.routers.contains(name))
        {
            return;
        }
        if let Some(peers) = self.core.peers() {
            peers.set_routers(&known);
        }
        self.routers = known.into_keys().collect();
        let own = self.core.settings.name.clone();
        self.core.apply(Event::Members { own, announced: self.routers.clone() });
    }

    /// Passes the number of routers that share the retry budget to the routing state. The number
    /// never decreases at runtime: announcements expire in an outage of the store while their
    /// routers still run, and subscribers of a stopped poller are missing from all announcements
    /// for a moment.
    fn update_router_count(&mut self) {
        let routers = self.core.fleet().max_routers();
        if routers <= self.max_routers {
            return;
        }
        self.max_routers = routers;
        info!("routers counted", kv: { routers });
        self.core.apply(Event::RouterCount(routers));
    }

    /// Compiles a configuration and passes it to the routing state.
    fn configure(&self, document: Document, revision: u64) {
        let generation = document.generation;
        // An earlier generation is never applied. Full reads contain the current one.
        if self.core.plan().is_some_and(|plan| plan.generation() >= generation) {
            return;
        }
        match Plan::compile(document) {
            Ok(plan) => {
                info!("configuration taken", kv: { generation, revision });
                self.core.apply(Event::Configure(Arc::new(plan)));
                self.core.stream_records.review();
            }
            Err(error) => {
                self.core.metrics.record_change("configuration_refused");
                warn!("configuration refused", kv: { generation, fault = error.to_string() });
            }
        }
    }
}
