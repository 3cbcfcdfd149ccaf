//! The order in which waiting requests get the permits of a pool.
//!
//! Requests that have waited for a certain part of their objective go first, by deadline. The
//! others are sorted by these keys:
//!
//! 1. priority, which is ignored for every eighth permit (`FAIR_INTERVAL`) to prevent starvation;
//! 2. early retries after all others;
//! 3. the tag of the workspace, as in start-time fair queueing: it grows with every permit, so
//!    that workspaces alternate. A workspace that was idle resumes at the tag served last, so it
//!    neither saves up credit nor is charged for permits that no other workspace requested. A
//!    retry at its time counts one tag less;
//! 4. retries at their time first;
//! 5. requests that must not be repeated first;
//! 6. the earliest deadline.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;

use crate::retries::Timing;

/// One permit out of this many ignores priority.
const FAIR_INTERVAL: u32 = 8;

/// The largest number of waiting requests. Also the number of tags and of usage counts above
/// which outdated ones are dropped.
const MAX_ENTRIES: usize = 256;

/// The part of its objective, as a divisor, after which a waiting request goes before newer ones
/// and is no longer shed for them. Otherwise requests that have waited would be refused for newer
/// ones.
const PROTECTED_DIVISOR: u64 = 10;

/// The part of the time left within which a request must be expected to get its permit. The
/// margin covers variation around the expected wait.
const WAIT_RATIO: f64 = 0.7;

/// The same for workspaces with heavy use and for early retries. Leaves room for other
/// workspaces.
const REDUCED_WAIT_RATIO: f64 = 0.1;

/// The ratio to the mean usage above which the use of a workspace is heavy.
const HEAVY_USE_RATIO: f64 = 1.5;

/// The half-life of usage counts, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;

/// The usage count below which a workspace is ignored.
const MIN_USAGE: f64 = 0.1;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The router and its number for the request.
    pub id: (Arc<str>, u64),
    /// The workspace.
    pub workspace: Arc<str>,
    /// The hash of the work.
    pub fingerprint: u64,
    /// Lower values go first.
    pub priority: i32,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// When it arrived relative to its retry time.
    pub timing: Timing,
    /// When it arrived at its router.
    pub arrived: Millis,
    /// When it stops waiting.
    pub deadline: Millis,
    /// The target time to an answer.
    pub objective: Millis,
    /// Upstreams that it was already sent to.
    pub avoid: Vec<Arc<str>>,
}

/// The requests that wait for a permit of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiter>,
    scheduler: Scheduler,
}

/// Fair order between workspaces.
#[derive(Clone, Debug, Default)]
struct Scheduler {
    /// The tags of workspaces that got permits.
    tags: HashMap<Arc<str>, u64>,
    /// The tag of the workspace served last.
    current: u64,
    served: u32,
    /// The permits that workspaces got, as decaying counts with the time of the last update.
    usage: HashMap<Arc<str>, (f64, Millis)>,
}

impl Scheduler {
    fn tag(&self, workspace: &str) -> u64 {
        self.tags.get(workspace).copied().unwrap_or_default().max(self.current)
    }

    /// The index in `waiting` of the next request.
    fn next<'a>(&self, waiting: impl Iterator<Item = &'a Waiter>, now: Millis) -> Option<usize> {
        let ignores_priority = (self.served + 1).is_multiple_of(FAIR_INTERVAL);
        let order = |waiter: &Waiter| {
            let priority = if ignores_priority { 0 } else { waiter.priority };
            // A retry at its time goes one tag ahead of new requests.
            let ahead = u64::from(waiter.timing == Timing::OnTime);
            let tag = (self.tag(&waiter.workspace) + 1).saturating_sub(ahead);
            // Early retries go last within their priority.
            (priority, waiter.timing == Timing::Early, tag, waiter.timing, waiter.repeatable)
        };
        let key = |waiter: &Waiter| {
            let order = (!waiter.is_protected(now)).then(|| order(waiter));
            (order, waiter.deadline, waiter.arrived)
        };
        waiting.enumerate().min_by_key(|(_, waiter)| key(waiter)).map(|(index, _)| index)
    }

    /// The workspaces with heavy use.
    fn heavy_users(&self, now: Millis) -> Vec<Arc<str>> {
        let usage = |(name, (count, at)): (&Arc<str>, &(f64, Millis))| {
            let count = decay(*count, *at, now);
            (count > MIN_USAGE).then(|| (name.clone(), count))
        };
        let usage: Vec<_> = self.usage.iter().filter_map(usage).collect();
        let total: f64 = usage.iter().map(|entry| entry.1).sum();
        let mean = total / f64::from(u32::try_from(usage.len().max(1)).unwrap_or(u32::MAX));
        usage
            .into_iter()
            .filter(|entry| entry.1 > mean * HEAVY_USE_RATIO)
            .map(|entry| entry.0)
            .collect()
    }

    /// Adds a permit to a workspace's usage.
    fn add_usage(&mut self, workspace: &Arc<str>, now: Millis) {
        let (count, at) = self.usage.get(workspace).copied().unwrap_or_default();
        self.usage.insert(workspace.clone(), (decay(count, at, now) + 1.0, now));
        if self.usage.len() > MAX_ENTRIES {
            self.usage.retain(|_, (count, at)| decay(*count, *at, now) > MIN_USAGE);
        }
    }

    fn advance(&mut self, workspace: &Arc<str>) {
        let tag = self.tag(workspace);
        self.current = tag;
        self.served = self.served.wrapping_add(1);
        self.tags.insert(workspace.clone(), tag + 1);
        if self.tags.len() > MAX_ENTRIES {
            self.tags.retain(|_, other| *other > tag);
        }
    }
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiting.push(waiter);
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, id: &(Arc<str>, u64)) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.id != *id);
        self.waiting.len() != before
    }

    /// Returns a waiting request.
    pub fn get(&self, id: &(Arc<str>, u64)) -> Option<&Waiter> {
        self.waiting.iter().find(|waiter| waiter.id == *id)
    }

    /// The longest objective of the waiting requests.
    pub fn longest_objective(&self) -> Option<Millis> {
        self.waiting.iter().map(|waiter| waiter.objective).max()
    }

    /// Returns the next request for which `fits` is true.
    pub fn peek(&self, fits: impl Fn(&Waiter) -> bool, now: Millis) -> Option<&Waiter> {
        self.next_index(fits, now).map(|index| &self.waiting[index])
    }

    /// Removes and returns the next request for which `fits` is true.
    pub fn pop(&mut self, fits: impl Fn(&Waiter) -> bool, now: Millis) -> Option<Waiter> {
        let index = self.next_index(fits, now)?;
        let waiter = self.waiting.remove(index);
        self.scheduler.advance(&waiter.workspace);
        self.scheduler.add_usage(&waiter.workspace, now);
        Some(waiter)
    }

    /// The index of the next request for which `fits` is true.
    fn next_index(&self, fits: impl Fn(&Waiter) -> bool, now: Millis) -> Option<usize> {
        let indices: Vec<usize> =
            (0..self.waiting.len()).filter(|index| fits(&self.waiting[*index])).collect();
        let next = self.scheduler.next(indices.iter().map(|index| &self.waiting[*index]), now)?;
        Some(indices[next])
    }

    /// Removes and returns the requests that would not get a permit in time if the pool
    /// completes `rate_per_ms` requests per millisecond.
    pub fn shed(&mut self, rate_per_ms: f64, now: Millis) -> Vec<Waiter> {
        let mut scheduler = self.scheduler.clone();
        let mut left: Vec<Waiter> = std::mem::take(&mut self.waiting);
        let mut shed = Vec::new();
        let heavy_users = self.scheduler.heavy_users(now);
        while let Some(next) = scheduler.next(left.iter(), now) {
            let waiter = left.remove(next);
            let position = u32::try_from(self.waiting.len() + 1).unwrap_or(u32::MAX);
            let wait = f64::from(position) / rate_per_ms.max(0.000_1);
            let is_reduced =
                waiter.timing == Timing::Early || heavy_users.contains(&waiter.workspace);
            let ratio = if is_reduced { REDUCED_WAIT_RATIO } else { WAIT_RATIO };
            if self.waiting.len() < MAX_ENTRIES && is_in_time(&waiter, wait / ratio, now) {
                scheduler.advance(&waiter.workspace);
                self.waiting.push(waiter);
            } else {
                shed.push(waiter);
            }
        }
        shed
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Waiter {
    /// Whether it has waited long enough that newer requests don't displace it.
    fn is_protected(&self, now: Millis) -> bool {
        self.arrived.until(now).0 * PROTECTED_DIVISOR > self.objective.0
    }
}

/// Whether a request that expects to wait `wait` milliseconds gets its permit in time.
/// Protected requests are in time until their deadline.
fn is_in_time(waiter: &Waiter, wait: f64, now: Millis) -> bool {
    let left = now.until(waiter.deadline);
    if waiter.is_protected(now) {
        return left > Millis::ZERO;
    }
    #[expect(clippy::cast_precision_loss, reason = "part of an objective")]
    let in_time = wait <= left.0 as f64;
    in_time
}

fn decay(count: f64, at: Millis, now: Millis) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "seconds")]
    let age = at.until(now).0 as f64;
    count * 0.5_f64.powf(age / HALF_LIFE_MS)
}
