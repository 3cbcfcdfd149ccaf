//! Exchange of loads, load observations and outcomes between routers that reach their upstreams
//! directly.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use wire::{Load, Loads, Observation, Observations, Outcome};

use crate::Effect;
use crate::selection::candidates::Upstreams;
use crate::state::State;
use crate::upstreams::estimate;
use crate::upstreams::upstream::Upstream;

/// How long the loads of a router count after its last report.
const LOADS_TTL: Millis = Millis(2_000);

/// How long a kind of message counts as being exchanged after the last one of any router.
const MESSAGE_TTL: Millis = Millis(1_000);

/// Maximum number of upstreams in a message of outcomes or observations, so that it fits one
/// datagram.
const MAX_ENTRIES: usize = 40;

/// Maximum size of the entries in a report of loads, so that it fits the 16 KiB that routers read of
/// a datagram.
const MAX_LOADS_BYTES: usize = 15 * 1_024;

/// What other routers have reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    /// The latest loads of each router, and when they were received.
    loads: HashMap<Arc<str>, (Millis, Loads)>,
    /// When loads of any router were last received.
    loads_at: Option<Millis>,
    /// When observations of any router were last received.
    observations_at: Option<Millis>,
    /// When another router last reported that its configuration was confirmed.
    current_at: Option<Millis>,
}

impl Peers {
    /// Records the loads of one router and updates the sums of all routers in `upstreams`.
    fn record(&mut self, loads: Loads, upstreams: &mut Upstreams, now: Millis) {
        self.loads.insert(loads.router.clone(), (now, loads));
        self.loads.retain(|_, (at, _)| at.until(now) < LOADS_TTL);
        self.loads_at = Some(now);
        for upstream in upstreams.values_mut() {
            upstream.peer_load = 0;
            upstream.peer_waiting = 0;
        }
        for (_, loads) in self.loads.values() {
            for load in &loads.upstreams {
                if let Some(upstream) = upstreams.get_mut(&load.upstream) {
                    upstream.peer_load += load.requests;
                    upstream.peer_waiting += load.waiting;
                }
            }
        }
    }

    /// Whether any other router has recently sent observations.
    pub(crate) fn has_observations(&self, now: Millis) -> bool {
        self.observations_at.is_some_and(|at| at.until(now) < MESSAGE_TTL)
    }

    /// Whether any other router has recently sent loads.
    pub(crate) fn has_loads(&self, now: Millis) -> bool {
        self.loads_at.is_some_and(|at| at.until(now) < MESSAGE_TTL)
    }
}

impl State {
    /// Records the loads received from another router.
    pub(crate) fn receive_loads(&mut self, loads: Loads, now: Millis) {
        self.record_current(loads.current, now);
        self.peers.record(loads, &mut self.upstreams, now);
    }

    fn record_current(&mut self, current: bool, now: Millis) {
        if current {
            self.peers.current_at = Some(now);
        }
    }

    /// Whether another router has recently reported that its configuration was confirmed, so that
    /// it can serve callers.
    pub fn has_current_peer(&self, now: Millis) -> bool {
        self.peers.current_at.is_some_and(|at| at.until(now) < MESSAGE_TTL)
    }

    /// Whether the configuration was confirmed within `ready_ms`.
    fn has_confirmed_plan(&self, now: Millis) -> bool {
        self.plan.is_some() && self.is_confirmed_within(self.settings.ready_ms, now)
    }

    /// Records the load observations received from another router.
    pub(crate) fn receive_observations(&mut self, observations: &Observations, now: Millis) {
        self.record_current(observations.current, now);
        self.peers.observations_at = Some(now);
        for entry in &observations.upstreams {
            let Some(upstream) = self.upstreams.get_mut(&entry.upstream) else { continue };
            let at = now - Millis(entry.age_ms);
            let trend = self.trends.entry(upstream.pool()).or_default();
            upstream.record_change(entry.requests, at, now, trend);
            if upstream.record_load(entry.requests, entry.waiting, at) {
                let mean = self.mean_loads.entry(upstream.pool()).or_default();
                *mean = estimate::update_mean(*mean, entry.requests);
            }
        }
    }

    /// Records the outcomes received from another router.
    pub(crate) fn receive_outcomes(&mut self, outcomes: &[Outcome], now: Millis) -> Vec<Effect> {
        for outcome in outcomes {
            if let Some(upstream) = self.upstreams.get_mut(&outcome.upstream) {
                upstream.health.add(outcome.successes, outcome.failures, now);
            }
        }
        Vec::new()
    }

    /// Takes up to `MAX_ENTRIES` unreported outcomes of own requests, for other routers.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        let outcome = |upstream: &mut Upstream| {
            let (successes, failures) = upstream.health.take_unreported()?;
            Some(Outcome { upstream: upstream.name().clone(), successes, failures })
        };
        self.upstreams.values_mut().filter_map(outcome).take(MAX_ENTRIES).collect()
    }

    /// Takes up to `MAX_ENTRIES` unreported load observations, for other routers.
    pub fn take_observations(&mut self, now: Millis) -> Observations {
        let observation = |upstream: &mut Upstream| {
            let (requests, waiting, at) = upstream.unreported_load.take()?;
            let age_ms = at.until(now).0;
            Some(Observation { upstream: upstream.name().clone(), requests, waiting, age_ms })
        };
        let current = self.has_confirmed_plan(now);
        Observations {
            current,
            upstreams: self
                .upstreams
                .values_mut()
                .filter_map(observation)
                .take(MAX_ENTRIES)
                .collect(),
        }
    }

    /// The loads of this router, named `router`, for other routers: the highest if not all fit a
    /// datagram.
    pub fn loads(&self, router: &Arc<str>, now: Millis) -> Loads {
        let loaded = self.upstreams.values().filter(|upstream| upstream.own_load > 0);
        let load = |upstream: &Upstream| Load {
            upstream: upstream.name().clone(),
            requests: upstream.own_load,
            waiting: upstream.own_waiting,
        };
        let upstreams = fit_datagram(loaded.map(load).collect());
        Loads { router: router.clone(), current: self.has_confirmed_plan(now), upstreams }
    }
}

/// Keeps the highest loads that fit a datagram; all in their order if they fit.
fn fit_datagram(mut loads: Vec<Load>) -> Vec<Load> {
    if loads.iter().map(encoded_size).sum::<usize>() <= MAX_LOADS_BYTES {
        return loads;
    }
    loads.sort_by_key(|load| std::cmp::Reverse(load.requests));
    let mut left = MAX_LOADS_BYTES;
    let fits = |load: &Load| {
        let rest = left.checked_sub(encoded_size(load));
        left = rest.unwrap_or_default();
        rest.is_some()
    };
    loads.into_iter().take_while(fits).collect()
}

/// The size of a load in a message: the name with its length, and two numbers.
fn encoded_size(load: &Load) -> usize {
    let name = load.upstream.len();
    number_size(name as u64) + name + number_size(load.requests) + number_size(load.waiting)
}

/// The size of a number in a message.
fn number_size(number: u64) -> usize {
    match number {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
