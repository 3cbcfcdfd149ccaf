//! In which order requests get the places of a pool.
//!
//! The more urgent go first, and one place in a few goes by shares alone, so that nothing
//! starves. Within an urgency, workspaces take turns: each has a tag that grows with every place
//! it gets, and the lowest tag is next. A workspace that was away starts at the tag of the last
//! that was served, so that it neither saves up turns nor pays for places nobody else wanted.
//! Within a workspace, and among equal tags, callers that were told to come now go first, then
//! what may not be repeated, then the earliest deadline.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;

use crate::retries::Timing;

/// Of so many places one goes by shares alone, whatever the urgency.
const FLOOR: u32 = 8;

/// The most requests that wait.
const MOST: usize = 256;

/// One part in so many of an objective, after which a request is let be: it goes before those
/// that came later, so that nobody is refused who has waited.
const SETTLED: u64 = 10;

/// The part of what is left within which a request must be expected to get its place: what is
/// expected is met on the mean only.
const SURE: f64 = 0.7;

/// The same for a workspace that is above its share, and for who comes before its time: they leave
/// room for the others.
const SURE_ABOVE: f64 = 0.1;

/// How many times the mean of all that have been served lately a workspace must have got to be
/// above its share.
const ABOVE: f64 = 1.5;

/// After how long a place that a workspace got counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;

/// What is left of a workspace's places that is not worth counting.
const NOTHING: f64 = 0.1;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The router that asks, and its number.
    pub id: (Arc<str>, u64),
    /// The workspace.
    pub workspace: Arc<str>,
    /// The hash of the work.
    pub content: u64,
    /// Lower goes first.
    pub urgency: i32,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// How it stands to the time that it was told.
    pub standing: Timing,
    /// Since when it waits.
    pub came: Millis,
    /// Until when it may wait.
    pub until: Millis,
    /// The time to an answer that its caller hopes for.
    pub objective: Millis,
    /// The upstreams that it has been to.
    pub avoid: Vec<Arc<str>>,
}

/// The requests that wait for a place of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiter>,
    turns: Turns,
}

/// Whose turn it is.
#[derive(Clone, Debug, Default)]
struct Turns {
    /// The tags of workspaces that have got places.
    tags: HashMap<Arc<str>, u64>,
    /// The tag of the last that was served.
    now: u64,
    served: u32,
    /// The places that workspaces have got lately, fading, and as of when.
    got: HashMap<Arc<str>, (f64, Millis)>,
}

impl Turns {
    fn tag(&self, workspace: &str) -> u64 {
        self.tags.get(workspace).copied().unwrap_or_default().max(self.now)
    }

    /// The place in `waiting` of the next one.
    fn next<'a>(&self, waiting: impl Iterator<Item = &'a Waiter>, now: Millis) -> Option<usize> {
        let by_share = (self.served + 1).is_multiple_of(FLOOR);
        let order = |it: &Waiter| {
            let urgency = if by_share { 0 } else { it.urgency };
            // A caller that keeps its time is a turn ahead of new ones.
            let ahead = u64::from(it.standing == Timing::OnTime);
            let tag = (self.tag(&it.workspace) + 1).saturating_sub(ahead);
            // One that comes before its time gains nothing.
            (urgency, it.standing == Timing::Early, tag, it.standing, it.repeatable)
        };
        let key = |it: &Waiter| {
            let order = (!it.is_settled(now)).then(|| order(it));
            (order, it.until, it.came)
        };
        waiting.enumerate().min_by_key(|(_, it)| key(it)).map(|(place, _)| place)
    }

    /// The workspaces that are above their share.
    fn above(&self, now: Millis) -> Vec<Arc<str>> {
        let got = |(name, (got, at)): (&Arc<str>, &(f64, Millis))| {
            let got = fade(*got, *at, now);
            (got > NOTHING).then(|| (name.clone(), got))
        };
        let got: Vec<_> = self.got.iter().filter_map(got).collect();
        let all: f64 = got.iter().map(|it| it.1).sum();
        let share = all / f64::from(u32::try_from(got.len().max(1)).unwrap_or(u32::MAX));
        got.into_iter().filter(|it| it.1 > share * ABOVE).map(|it| it.0).collect()
    }

    /// Takes that a workspace has got a place.
    fn count(&mut self, workspace: &Arc<str>, now: Millis) {
        let (got, at) = self.got.get(workspace).copied().unwrap_or_default();
        self.got.insert(workspace.clone(), (fade(got, at, now) + 1.0, now));
        if self.got.len() > MOST {
            self.got.retain(|_, (got, at)| fade(*got, *at, now) > NOTHING);
        }
    }

    fn serve(&mut self, workspace: &Arc<str>) {
        let tag = self.tag(workspace);
        self.now = tag;
        self.served = self.served.wrapping_add(1);
        self.tags.insert(workspace.clone(), tag + 1);
        if self.tags.len() > MOST {
            self.tags.retain(|_, it| *it > tag);
        }
    }
}

impl Queue {
    /// Takes a request.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiting.push(waiter);
    }

    /// Takes back a request. Returns whether it was there.
    pub fn remove(&mut self, id: &(Arc<str>, u64)) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|it| it.id != *id);
        self.waiting.len() != before
    }

    /// A request that waits.
    pub fn get(&self, id: &(Arc<str>, u64)) -> Option<&Waiter> {
        self.waiting.iter().find(|it| it.id == *id)
    }

    /// The next request for which `fits`.
    pub fn pop(&mut self, fits: impl Fn(&Waiter) -> bool, now: Millis) -> Option<Waiter> {
        let places: Vec<usize> =
            (0..self.waiting.len()).filter(|it| fits(&self.waiting[*it])).collect();
        let next = self.turns.next(places.iter().map(|it| &self.waiting[*it]), now)?;
        let waiter = self.waiting.remove(places[next]);
        self.turns.serve(&waiter.workspace);
        self.turns.count(&waiter.workspace, now);
        Some(waiter)
    }

    /// Takes out those that would wait for too long in a pool that frees `rate_per_ms` places.
    pub fn shed(&mut self, rate_per_ms: f64, now: Millis) -> Vec<Waiter> {
        let mut turns = self.turns.clone();
        let mut left: Vec<Waiter> = std::mem::take(&mut self.waiting);
        let mut shed = Vec::new();
        let above = self.turns.above(now);
        while let Some(next) = turns.next(left.iter(), now) {
            let waiter = left.remove(next);
            let before = u32::try_from(self.waiting.len() + 1).unwrap_or(u32::MAX);
            let wait = f64::from(before) / rate_per_ms.max(0.000_1);
            let gives_way = waiter.standing == Timing::Early || above.contains(&waiter.workspace);
            let sure = if gives_way { SURE_ABOVE } else { SURE };
            if self.waiting.len() < MOST && is_in_time(&waiter, wait / sure, now) {
                turns.serve(&waiter.workspace);
                self.waiting.push(waiter);
            } else {
                shed.push(waiter);
            }
        }
        shed
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Waiter {
    /// Whether it has waited for so long that later ones do not push it out.
    fn is_settled(&self, now: Millis) -> bool {
        self.came.until(now).0 * SETTLED > self.objective.0
    }
}

/// Whether a request that has `wait` milliseconds before it gets its place in time. One that is
/// settled is let be until its time is over.
fn is_in_time(waiter: &Waiter, wait: f64, now: Millis) -> bool {
    let left = now.until(waiter.until);
    if waiter.is_settled(now) {
        return left > Millis::ZERO;
    }
    #[expect(clippy::cast_precision_loss, reason = "a part of an objective")]
    let in_time = wait <= left.0 as f64;
    in_time
}

fn fade(count: f64, at: Millis, now: Millis) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "seconds")]
    let age = at.until(now).0 as f64;
    count * 0.5_f64.powf(age / HALF_LIFE_MS)
}
