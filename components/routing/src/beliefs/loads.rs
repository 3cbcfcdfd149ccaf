//! What other routers tell of their own load, where upstreams are reached directly.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use wire::{Load, Loads, Observation, Observations, Outcome};

use crate::Effect;
use crate::beliefs::outlook;
use crate::beliefs::upstream::Upstream;
use crate::selection::candidates::Upstreams;
use crate::state::State;

/// How long a router's word counts that is not heard from any more. What it had
/// under way ends with its connections when it was killed, and in a second or two
/// when it was cut off.
const LASTS: Millis = Millis(2_000);

/// How long after the last word of anybody loads are still taken to be known.
/// Routers that tell anything do so each 400 ms at least.
const KNOWN: Millis = Millis(1_000);

/// The most upstreams of which a router tells at a time, so that it fits one
/// datagram.
const MOST_TOLD: usize = 40;

/// The loads that other routers told, by router.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    told: HashMap<Arc<str>, (Millis, Loads)>,
    latest: Option<Millis>,
    /// When another router last told what answers had told it.
    heard: Option<Millis>,
    /// When another router was last known to be current.
    current: Option<Millis>,
}

impl Peers {
    /// Takes a router's word, and puts the sums of all into `upstreams`.
    fn record(&mut self, loads: Loads, upstreams: &mut Upstreams, now: Millis) {
        self.told.insert(loads.router.clone(), (now, loads));
        self.told.retain(|_, (at, _)| at.until(now) < LASTS);
        self.latest = Some(now);
        for upstream in upstreams.values_mut() {
            upstream.peer_load = 0;
            upstream.peer_waiting = 0;
        }
        for (_, loads) in self.told.values() {
            for load in &loads.upstreams {
                if let Some(upstream) = upstreams.get_mut(&load.upstream) {
                    upstream.peer_load += load.requests;
                    upstream.peer_waiting += load.waiting;
                }
            }
        }
    }

    /// Whether other routers tell what answers tell them.
    pub(crate) fn has_observations(&self, now: Millis) -> bool {
        self.heard.is_some_and(|at| at.until(now) < KNOWN)
    }

    /// Whether the loads of other routers are known.
    pub(crate) fn has_loads(&self, now: Millis) -> bool {
        self.latest.is_some_and(|at| at.until(now) < KNOWN)
    }
}

impl State {
    pub(crate) fn receive_loads(&mut self, loads: Loads, now: Millis) {
        self.record_current(loads.current, now);
        self.peers.record(loads, &mut self.upstreams, now);
    }

    fn record_current(&mut self, current: bool, now: Millis) {
        if current {
            self.peers.current = Some(now);
        }
    }

    /// Whether another router can tell now which configuration is the newest, so
    /// that callers are served there.
    pub fn has_current_peer(&self, now: Millis) -> bool {
        self.peers.current.is_some_and(|at| at.until(now) < KNOWN)
    }

    /// Whether this router is ready as far as its configuration goes.
    fn has_current_plan(&self, now: Millis) -> bool {
        self.plan.is_some() && self.is_confirmed_within(self.settings.ready_ms, now)
    }

    /// Takes what answers told another router.
    pub(crate) fn receive_observations(&mut self, heard: &Observations, now: Millis) {
        self.record_current(heard.current, now);
        self.peers.heard = Some(now);
        for told in &heard.upstreams {
            let Some(upstream) = self.upstreams.get_mut(&told.upstream) else { continue };
            if upstream.record_load(told.requests, told.waiting, now - Millis(told.age_ms)) {
                let mean = self.mean_loads.entry(upstream.pool()).or_default();
                *mean = outlook::update_mean(*mean, told.requests);
            }
        }
    }

    /// Takes how requests of another router ended.
    pub(crate) fn receive_outcomes(&mut self, outcomes: &[Outcome], now: Millis) -> Vec<Effect> {
        for told in outcomes {
            if let Some(upstream) = self.upstreams.get_mut(&told.upstream) {
                upstream.health.add(told.successes, told.failures, now);
            }
        }
        Vec::new()
    }

    /// How this router's requests have ended since it was asked last, for the others.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        let told = |it: &mut Upstream| {
            let (good, bad) = it.health.take_unreported()?;
            Some(Outcome { upstream: it.name().clone(), successes: good, failures: bad })
        };
        self.upstreams.values_mut().filter_map(told).take(MOST_TOLD).collect()
    }

    /// What answers have told this router since it was asked last, for the others.
    pub fn take_observations(&mut self, now: Millis) -> Observations {
        let told = |it: &mut Upstream| {
            let (requests, waiting, at) = it.unreported_load.take()?;
            let age_ms = at.until(now).0;
            Some(Observation { upstream: it.name().clone(), requests, waiting, age_ms })
        };
        let current = self.has_current_plan(now);
        Observations {
            current,
            upstreams: self.upstreams.values_mut().filter_map(told).take(MOST_TOLD).collect(),
        }
    }

    /// This router's own load, for the others.
    pub fn loads(&self, router: &Arc<str>, now: Millis) -> Loads {
        let loaded = self.upstreams.values().filter(|it| it.own_load > 0);
        let load = |it: &Upstream| Load {
            upstream: it.name().clone(),
            requests: it.own_load,
            waiting: it.own_waiting,
        };
        let upstreams = loaded.map(load).collect();
        Loads { router: router.clone(), current: self.has_current_plan(now), upstreams }
    }
}
