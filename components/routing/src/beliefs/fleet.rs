//! What is known of the upstreams: which there are, how they are and what they carry.

use std::sync::Arc;

use clock::Millis;
use intents::{Labels, Plan};
use rand::Rng;
use wire::{Status, Welcome};

use crate::beliefs::outlook;
use crate::state::State;
use crate::{Effect, Host, Settings, Upstream};

/// The life of an upstream that is reached directly: its name stands for one
/// start only.
const DIRECT_LIFE: u64 = 1;

/// The label that names the region of an upstream's failure domain.
const REGION: &str = "region";

/// The labels of an upstream: what its host reports, the region of its failure domain, and
/// what operators add.
pub(crate) fn labels(plan: Option<&Plan>, host: &Host, settings: &Settings) -> Labels {
    let mut reported = host.labels.clone();
    if let Some(region) = settings.regions.get(&host.domain) {
        reported.insert(REGION.into(), region.clone());
    }
    plan.map_or_else(|| reported.clone(), |it| it.labels(&host.name, &reported))
}

impl State {
    /// Takes the list of upstreams: what is known of those that stay is kept.
    pub(crate) fn set_hosts(&mut self, hosts: Vec<Host>, now: Millis) -> Vec<Effect> {
        self.index.clear();
        let mut known = std::mem::take(&mut self.upstreams);
        for host in hosts {
            let labels = labels(self.plan.as_deref(), &host, &self.settings);
            let mut upstream = known
                .swap_remove(&host.name)
                .unwrap_or_else(|| Upstream::new(host.clone(), labels.clone()));
            upstream.update_host(host, labels);
            if self.settings.path.trusts_listing() {
                upstream.connected = true;
                upstream.incarnation = DIRECT_LIFE;
            }
            self.upstreams.insert(upstream.host.name.clone(), upstream);
        }
        let gone = known.into_values().filter(|it| !it.is_leaving());
        for upstream in gone {
            self.record_crash(&upstream.host.name, now);
        }
        self.mark_evacuated();
        self.restore_notices();
        self.allocate_quotas(now);
        self.connect(now)
    }

    /// The connections to open next, a few at a time, so that a region that
    /// comes back is not met by all at once.
    pub(crate) fn connect(&self, now: Millis) -> Vec<Effect> {
        self.upstreams
            .values()
            .filter(|upstream| !upstream.connected && !upstream.is_suspect(now))
            .take(self.settings.connects)
            .map(|upstream| Effect::Connect {
                upstream: upstream.host.name.clone(),
                address: upstream.host.address.clone(),
            })
            .collect()
    }

    /// Takes the welcome of a sidecar.
    pub(crate) fn record_connected(&mut self, welcome: &Welcome, now: Millis) -> Vec<Effect> {
        if let Some(upstream) = self.upstreams.get_mut(&welcome.name) {
            upstream.record_status(welcome.status, now);
        }
        Vec::new()
    }

    /// Takes the load that an answer told of its upstream, in requests.
    pub(crate) fn record_load(
        &mut self,
        upstream: &str,
        requests: u64,
        waiting: u64,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        upstream.record_load(requests, waiting, now);
        upstream.unreported_load = Some((requests, waiting, now));
        let mean = self.mean_loads.entry(upstream.pool()).or_default();
        *mean = outlook::update_mean(*mean, requests);
        Vec::new()
    }

    /// Takes the status that a sidecar told with a reply.
    pub(crate) fn record_status(&mut self, id: u64, status: Status, now: Millis) {
        let name = self.requests.get(&id).and_then(|it| it.upstream());
        let told = self.settings.path.has_sidecars();
        if let Some(upstream) = name.and_then(|it| self.upstreams.get_mut(it)).filter(|_| told) {
            upstream.record_status(status, now);
        }
    }

    /// Something came from an upstream: it is no longer left alone.
    pub(crate) fn record_alive(&mut self, upstream: &str) -> Vec<Effect> {
        if let Some(it) = self.upstreams.get_mut(upstream) {
            if it.suspect_until > Millis::ZERO {
                self.pending_effects.push(Effect::Recovered { upstream: it.host.name.clone() });
            }
            it.mark_connected();
        }
        Vec::new()
    }

    /// An upstream could not be connected to.
    pub(crate) fn record_unreachable(&mut self, upstream: &str, now: Millis) -> Vec<Effect> {
        if let Some(it) = self.upstreams.get_mut(upstream) {
            it.reachable = false;
        }
        self.mark_suspect(upstream, now);
        Vec::new()
    }

    /// One broken connection says little about an upstream that is reached
    /// directly: it is left alone only when the next one breaks too, or none can
    /// be opened.
    pub(crate) fn record_connection_failure(
        &mut self,
        upstream: &Arc<str>,
        sent: bool,
        now: Millis,
    ) {
        if let Some(it) = self.upstreams.get_mut(upstream).filter(|_| !sent) {
            it.reachable = false;
        }
        let first = match self.upstreams.get_mut(upstream) {
            Some(it) if it.failures == 0 && sent && self.settings.path.tolerates_one_failure() => {
                it
            }
            _ => return self.mark_suspect(upstream, now),
        };
        first.failures = 1;
    }

    /// Another upstream answers at the address of the one that was meant, which
    /// has ended: the list will drop it soon.
    pub(crate) fn mark_replaced(&mut self, id: u64, now: Millis) {
        let until = now + Millis(self.settings.suspect_max_ms);
        let name = self.requests.get(&id).and_then(|it| it.upstream());
        if let Some(upstream) = name.and_then(|it| self.upstreams.get_mut(it)) {
            upstream.suspect_until = until;
            self.pending_effects.push(upstream.suspect_effect());
        }
    }

    /// An upstream has turned a request away. It is left alone for a while, and for longer if it
    /// does so again before it answers: a refused request is no load there, so that it would look
    /// idle and draw more than the others. With a third of the upstreams turning all away for 8 s
    /// at a time, 1 to 5 in 1,000 requests are refused in place of 30 to 39.
    pub(crate) fn record_refusal(&mut self, id: u64, now: Millis) {
        let name = self.requests.get(&id).and_then(|it| it.upstream()).cloned();
        if let Some(name) = name.filter(|it| !self.is_closed(it, now)) {
            self.mark_suspect(&name, now);
        }
    }

    /// Leaves an upstream alone for a while that failed.
    pub(crate) fn mark_suspect(&mut self, upstream: &str, now: Millis) {
        let jitter = self.rng.random::<f64>();
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.mark_suspect(&self.settings, jitter, now);
            self.pending_effects.push(upstream.suspect_effect());
        }
    }
}
