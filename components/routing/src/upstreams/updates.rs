//! Updates of the upstreams' state: the host list, connections, reported loads and failures.

use std::sync::Arc;

use clock::Millis;
use intents::{Labels, Plan};
use rand::Rng;
use wire::{Status, Welcome};

use crate::state::State;
use crate::upstreams::estimate;
use crate::{Effect, Host, Settings, Upstream};

/// Incarnation of all upstreams that are reached directly, whose names change with each start.
const DIRECT_INCARNATION: u64 = 1;

/// Label that names the region of an upstream's failure domain.
const REGION_LABEL: &str = "region";

/// The labels of an upstream: those that its host reports, the region of its failure domain, and
/// those that operators add.
pub(crate) fn labels(plan: Option<&Plan>, host: &Host, settings: &Settings) -> Labels {
    let mut reported = host.labels.clone();
    if let Some(region) = settings.regions.get(&host.domain) {
        reported.insert(REGION_LABEL.into(), region.clone());
    }
    plan.map_or_else(|| reported.clone(), |plan| plan.labels(&host.name, &reported))
}

impl State {
    /// Replaces the list of upstreams and keeps the state of those that stay. Upstreams that
    /// disappear without having been leaving count as crashed.
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
                upstream.incarnation = DIRECT_INCARNATION;
            }
            self.upstreams.insert(upstream.host.name.clone(), upstream);
        }
        let gone = known.into_values().filter(|upstream| !upstream.is_leaving());
        for upstream in gone {
            self.record_crash(&upstream.host.name, now);
        }
        self.record_builds(now);
        self.mark_evacuated();
        self.restore_notices();
        self.allocate_quotas(now);
        self.connect(now)
    }

    /// The effects that open the next missing connections. Their number is limited, so that a
    /// recovering region is not flooded.
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

    /// Records a new connection to a sidecar.
    pub(crate) fn record_connected(&mut self, welcome: &Welcome, now: Millis) -> Vec<Effect> {
        if let Some(upstream) = self.upstreams.get_mut(&welcome.name) {
            upstream.record_status(welcome.status, now);
        }
        Vec::new()
    }

    /// Records the load, in requests, that an answer reported for its upstream.
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
        let trend = self.trends.entry(upstream.pool()).or_default();
        upstream.record_change(requests, now, now, trend);
        upstream.record_load(requests, waiting, now);
        upstream.unreported_load = Some((requests, waiting, now));
        let mean = self.mean_loads.entry(upstream.pool()).or_default();
        *mean = estimate::update_mean(*mean, requests);
        Vec::new()
    }

    /// Records the status that a sidecar sent with a reply.
    pub(crate) fn record_status(&mut self, id: u64, status: Status, now: Millis) {
        let name = self.requests.get(&id).and_then(|request| request.upstream());
        let reported = self.settings.path.has_sidecars();
        if let Some(upstream) =
            name.and_then(|name| self.upstreams.get_mut(name)).filter(|_| reported)
        {
            upstream.record_status(status, now);
        }
    }

    /// Records that an upstream has responded: it is no longer suspect.
    pub(crate) fn record_alive(&mut self, upstream: &str) -> Vec<Effect> {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            if upstream.suspect_until > Millis::ZERO {
                self.pending_effects
                    .push(Effect::Recovered { upstream: upstream.host.name.clone() });
            }
            upstream.mark_responsive();
        }
        Vec::new()
    }

    /// Records that no connection to an upstream could be opened.
    pub(crate) fn record_unreachable(&mut self, upstream: &str, now: Millis) -> Vec<Effect> {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.reachable = false;
        }
        self.mark_suspect(upstream, now);
        Vec::new()
    }

    /// Records a failed connection; `sent` is whether the request may have been sent. An upstream
    /// that is reached directly becomes suspect only at the second failure in a row, or when no
    /// connection could be opened.
    pub(crate) fn record_connection_failure(
        &mut self,
        upstream: &Arc<str>,
        sent: bool,
        now: Millis,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream).filter(|_| !sent) {
            upstream.reachable = false;
        }
        let first = match self.upstreams.get_mut(upstream) {
            Some(upstream)
                if upstream.failures == 0 && sent && self.settings.path.tolerates_one_failure() =>
            {
                upstream
            }
            _ => return self.mark_suspect(upstream, now),
        };
        first.failures = 1;
    }

    /// Excludes the upstream of a request because another one answers at its address. The list
    /// will drop the former.
    pub(crate) fn mark_replaced(&mut self, id: u64, now: Millis) {
        let until = now + Millis(self.settings.suspect_max_ms);
        let name = self.requests.get(&id).and_then(|request| request.upstream());
        if let Some(upstream) = name.and_then(|name| self.upstreams.get_mut(name)) {
            upstream.suspect_until = until;
            self.pending_effects.push(upstream.suspect_effect());
        }
    }

    /// Records that an upstream refused a request. Unless it is closed anyway, it is marked as
    /// suspect, as its load would otherwise look low and attract more requests.
    pub(crate) fn record_refusal(&mut self, id: u64, now: Millis) {
        let name = self.requests.get(&id).and_then(|request| request.upstream()).cloned();
        if let Some(name) = name.filter(|name| !self.is_closed(name, now)) {
            self.mark_suspect(&name, now);
        }
    }

    /// Marks an upstream as suspect after a failure.
    pub(crate) fn mark_suspect(&mut self, upstream: &str, now: Millis) {
        let jitter = self.rng.random::<f64>();
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.mark_suspect(&self.settings, jitter, now);
            self.pending_effects.push(upstream.suspect_effect());
        }
    }
}
