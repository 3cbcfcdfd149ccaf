//! What routers tell each other of warm parts of prompts, and how a request
//! waits for parts that are being read.

use std::sync::Arc;

use clock::Millis;
use wire::{Stage, WarmPrefixes};

use crate::requests::request::{Phase, Request};
use crate::state::State;
use crate::{Effect, Prefix};

/// The share of its objective that a request may wait: one part in so many. With
/// the longest common part, 10,512 tokens on the mean, read in 220 ms, a quarter
/// of the sites' 1,200 ms is enough.
const PATIENCE: u64 = 4;

/// How often a request that waits looks again, in milliseconds.
const LOOK_AGAIN: Millis = Millis(20);

/// The most parts that are told at a time, so that a hint fits one datagram.
const MAX_TOLD: usize = 100;

/// Until when a request that came at `now` may wait for another's reading; one
/// without an objective does not wait.
pub(crate) fn patience(objective_ms: Option<u64>, now: Millis) -> Millis {
    now + Millis(objective_ms.unwrap_or_default() / PATIENCE)
}

/// The most that is remembered for routers that start, counted by upstream and part: 8
/// bytes each, 44 KB as the store sends them.
const MOST_REMEMBERED: usize = 4_096;

/// Tells the other routers of `parts`, if there are any.
pub(crate) fn share(upstream: &Arc<str>, mut parts: Vec<u64>, stage: Stage) -> Option<Effect> {
    parts.truncate(MAX_TOLD);
    let warm = WarmPrefixes { upstream: upstream.clone(), prefixes: parts, stage };
    (!warm.prefixes.is_empty()).then_some(Effect::PublishPrefixes(warm))
}

impl State {
    /// Takes another router's word on an upstream.
    pub(crate) fn receive_prefixes(&mut self, warm: &WarmPrefixes, now: Millis) -> Vec<Effect> {
        if !self.upstreams.contains_key(&warm.upstream) {
            return Vec::new();
        }
        match warm.stage {
            Stage::Prefilling => {
                self.prefix_index.record_prefilling(&warm.prefixes, &warm.upstream, now)
            }
            Stage::Cached => self.prefix_index.record_cached(&warm.prefixes, &warm.upstream),
        };
        Vec::new()
    }

    /// What is known of warm parts at the upstreams there are, for routers that start,
    /// and how often it has changed.
    pub fn warm_prefixes(&self) -> (u64, Vec<WarmPrefixes>) {
        let mut held = self.prefix_index.latest(MOST_REMEMBERED);
        held.retain(|upstream, _| self.upstreams.contains_key(upstream));
        let warm =
            |(upstream, parts)| WarmPrefixes { upstream, prefixes: parts, stage: Stage::Cached };
        (self.prefix_index.changes(), held.into_iter().map(warm).collect())
    }

    /// Whether a request that has not been sent should wait: `upstream` is reading
    /// all that it shares with another, and would read it twice.
    pub(crate) fn should_wait(&self, id: u64, upstream: &str, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let reading = |part: &Prefix| self.prefix_index.is_prefilling(part.hash, upstream, now);
        self.settings.mechanisms.waits
            && request.tries.is_empty()
            && now < request.wait_until
            && request.arrival.prefixes.last().is_some_and(reading)
    }

    /// Lets a request wait a little.
    pub(crate) fn wait(&mut self, id: u64) -> Vec<Effect> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Waiting;
        }
        vec![Effect::Wait(LOOK_AGAIN)]
    }

    /// A request has waited: upstreams are ranked anew, as loads have changed.
    pub(crate) fn handle_wait_elapsed(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let waiting = |it: &Request| it.phase == Phase::Waiting;
        if !self.requests.get(&id).is_some_and(waiting) {
            return Vec::new();
        }
        self.rank(id, now);
        self.send_next(id, now)
    }

    /// What others should know when a request is sent to `upstream`, which has
    /// nobody to copy from that is known to hold what it lacks.
    pub(crate) fn begin_reading(
        &mut self,
        id: u64,
        upstream: &Arc<str>,
        now: Millis,
    ) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let last = request.arrival.prefixes.last()?;
        let elsewhere =
            self.prefix_index.holders(last.hash).any(|it| self.upstreams.contains_key(it));
        if !self.settings.path.tracks_prefixes() || elsewhere {
            return None;
        }
        let parts =
            self.prefix_index.record_prefilling(&request.arrival.prefix_hashes(), upstream, now);
        share(upstream, parts, Stage::Prefilling)
    }
}
