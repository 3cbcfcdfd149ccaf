//! The requests that this router received and sent, by workspace and priority.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;

use crate::count::Counter;
use crate::summary::{Demand, MAX_DEMANDS, Remainder, tenths};

/// The largest number of counters. The smaller half is dropped when it is reached.
const MAX_COUNTERS: usize = 8_192;

/// The demand below which a counter is ignored, in requests.
const MIN_DEMAND: f64 = 0.01;

/// The number of refusals kept to recognize retries, and how long each is kept. Callers retry
/// within a few seconds or not at all.
const MAX_REFUSED: usize = 4_096;
const REFUSED_TTL: Millis = Millis(6_000);

/// Counters of this router's own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    counters: BTreeMap<(u64, i32), Counter>,
    refused: BTreeMap<u64, Millis>,
    /// The refusals, oldest first.
    order: VecDeque<(Millis, u64)>,
}

impl Ledger {
    /// Counts a request of a workspace, unless it is the retry of a refused one.
    pub(crate) fn record_request(
        &mut self,
        workspace: u64,
        priority: i32,
        fingerprint: u64,
        now: Millis,
    ) {
        self.expire(now);
        if self.refused.remove(&fingerprint).is_some() {
            return;
        }
        self.counter(workspace, priority, now).requested += 1.0;
    }

    /// Counts a request that was sent to the pool.
    pub(crate) fn record_sent(&mut self, workspace: u64, priority: i32, now: Millis) {
        self.counter(workspace, priority, now).served += 1.0;
    }

    /// Records a refusal, so that the retry is not counted.
    pub(crate) fn record_refusal(&mut self, fingerprint: u64, now: Millis) {
        self.expire(now);
        self.refused.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
    }

    /// Iterates over workspace, priority and counter as of `now`.
    pub(crate) fn iter(&self, now: Millis) -> impl Iterator<Item = (u64, i32, Counter)> {
        let decayed =
            move |(key, counter): (&(u64, i32), &Counter)| (key.0, key.1, counter.at(now));
        self.counters.iter().map(decayed).filter(|entry| entry.2.demand() > MIN_DEMAND)
    }

    /// Returns the largest workspaces, and the sum of the others.
    pub(crate) fn summarize(&self, now: Millis) -> (Vec<Demand>, Remainder) {
        let mut workspaces: BTreeMap<u64, (f64, Vec<Demand>, Counter)> = BTreeMap::new();
        for (workspace, priority, counter) in self.iter(now) {
            let (demand, demands, total) = workspaces.entry(workspace).or_default();
            *demand += counter.demand();
            total.requested += counter.demand();
            total.served += counter.served;
            let (requested, served) = (tenths(counter.demand()), tenths(counter.served));
            demands.push(Demand { workspace, priority, requested, served });
        }
        let mut workspaces: Vec<_> = workspaces.into_values().collect();
        workspaces.sort_by(|one, other| other.0.total_cmp(&one.0));
        let (mut listed, mut remainder, mut count) = (Vec::new(), Counter::default(), 0);
        for (_, demands, total) in workspaces {
            if count == 0 && listed.len() + demands.len() <= MAX_DEMANDS {
                listed.extend(demands);
                continue;
            }
            count += 1;
            remainder.requested += total.requested;
            remainder.served += total.served;
        }
        let (requested, served) = (tenths(remainder.requested), tenths(remainder.served));
        (listed, Remainder { workspaces: count, requested, served })
    }

    /// Returns the counter of a workspace, decayed to `now`.
    fn counter(&mut self, workspace: u64, priority: i32, now: Millis) -> &mut Counter {
        let key = (workspace, priority);
        if self.counters.len() >= MAX_COUNTERS && !self.counters.contains_key(&key) {
            self.drop_smallest(now);
        }
        let counter = self.counters.entry(key).or_default();
        *counter = counter.at(now);
        counter
    }

    /// Drops the half of the counters with the smallest demand.
    fn drop_smallest(&mut self, now: Millis) {
        let mut sizes: Vec<_> =
            self.counters.iter().map(|(key, counter)| (counter.at(now).demand(), *key)).collect();
        sizes.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (_, key) in &sizes[..sizes.len() / 2] {
            self.counters.remove(key);
        }
    }

    /// Drops refusals beyond their time or number.
    fn expire(&mut self, now: Millis) {
        while let Some((at, fingerprint)) = self.order.front().copied() {
            if self.order.len() < MAX_REFUSED && at.until(now) < REFUSED_TTL {
                return;
            }
            self.order.pop_front();
            // Keeps the entry if the request was refused again later.
            if self.refused.get(&fingerprint) == Some(&at) {
                self.refused.remove(&fingerprint);
            }
        }
    }
}
