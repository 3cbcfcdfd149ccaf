//! The demand on a pool of upstreams, as known to one router.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;

use crate::ledger::Ledger;
use crate::standing::Standing;
use crate::summary::{MAX_DEMANDS, Summary};
use crate::view::View;

/// How long a pool counts as saturated after this was last observed.
const SATURATED_TTL: Millis = Millis(2_000);

/// How long a pool counts as starving after a workspace within its share was refused. Covers two
/// summary intervals.
const STARVING_TTL: Millis = Millis(800);

/// How long a router's last summary is valid. Covers several summary intervals.
const SUMMARY_TTL: Millis = Millis(2_000);

/// How long a computed view is reused.
const VIEW_TTL: Millis = Millis(100);

/// The largest number of routers whose summaries are kept.
const MAX_ROUTERS: usize = 1_024;

/// The demand on a pool and the resulting shares.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    own: Ledger,
    /// The latest summary of each other router, with the time it was received.
    summaries: BTreeMap<Arc<str>, (Millis, Summary)>,
    view: Option<View>,
    /// Until when the pool counts as saturated, as observed here and as reported by others.
    saturated_until: Millis,
    reported_saturated_until: Millis,
    /// The same for starving.
    starving_until: Millis,
    reported_starving_until: Millis,
}

impl Pool {
    /// Counts a request of a workspace; `fingerprint` identifies retries.
    pub fn record_request(&mut self, workspace: u64, priority: i32, fingerprint: u64, now: Millis) {
        self.own.record_request(workspace, priority, fingerprint, now);
    }

    /// Counts a request that was sent to the pool.
    pub fn record_sent(&mut self, workspace: u64, priority: i32, now: Millis) {
        self.own.record_sent(workspace, priority, now);
    }

    /// Records a refusal for lack of capacity, which marks the pool as saturated.
    pub fn record_refusal(&mut self, fingerprint: u64, now: Millis) {
        self.own.record_refusal(fingerprint, now);
        self.mark_saturated(now);
    }

    /// Records the refusal of a workspace over its share. It does not mark the pool as saturated,
    /// as the saturation would then renew itself.
    pub fn record_share_refusal(&mut self, fingerprint: u64, now: Millis) {
        self.own.record_refusal(fingerprint, now);
    }

    /// Records that the pool was observed to be saturated.
    pub fn mark_saturated(&mut self, now: Millis) {
        self.saturated_until = now + SATURATED_TTL;
    }

    /// Records that a workspace within its share was refused.
    pub fn mark_starving(&mut self, now: Millis) {
        self.starving_until = now + STARVING_TTL;
    }

    /// Whether workspaces within their shares were recently refused, at this router or at others.
    pub fn is_starving(&self, now: Millis) -> bool {
        now < self.starving_until.max(self.reported_starving_until)
    }

    /// Whether the pool is saturated, as observed here or reported by other routers.
    pub fn is_saturated(&self, now: Millis) -> bool {
        now < self.saturated_until.max(self.reported_saturated_until)
    }

    /// Stores the summary of another router unless a later one is known.
    pub fn receive(&mut self, router: &Arc<str>, mut summary: Summary, now: Millis) {
        self.expire(now);
        if self.summaries.get(router).is_some_and(|(_, known)| known.at >= summary.at) {
            return;
        }
        if self.summaries.len() >= MAX_ROUTERS && !self.summaries.contains_key(router) {
            return;
        }
        if summary.saturated {
            self.reported_saturated_until = now + SATURATED_TTL;
        }
        if summary.starving {
            self.reported_starving_until = now + STARVING_TTL;
        }
        summary.demands.truncate(MAX_DEMANDS);
        self.summaries.insert(router.clone(), (now, summary));
    }

    /// Returns this router's summary for the others; `None` unless the pool is saturated.
    ///
    /// Its flags are set only for what was observed here. Otherwise routers would prolong a
    /// saturation by repeating each other's reports.
    pub fn summarize(&self, now: Millis) -> Option<Summary> {
        if !self.is_saturated(now) {
            return None;
        }
        let (demands, remainder) = self.own.summarize(now);
        let (saturated, starving) = (now < self.saturated_until, now < self.starving_until);
        Some(Summary { at: now, saturated, starving, demands, remainder })
    }

    /// Returns the standing of a workspace for requests of `priority`. `weight` maps a workspace
    /// to its weight, which must be positive.
    pub fn standing(
        &mut self,
        workspace: u64,
        priority: i32,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Standing {
        let own = weight(workspace);
        self.view(weight, now).standing(workspace, priority, own)
    }

    /// Returns the `count` workspaces with the largest demand, largest first, with their
    /// standings at all priorities.
    pub fn largest(
        &self,
        count: usize,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Vec<(u64, Standing)> {
        let view = self.new_view(&weight, now);
        let standing = |name: &u64| (*name, view.standing(*name, i32::MAX, weight(*name)));
        let mut all: Vec<_> = view.workspaces.keys().map(standing).collect();
        all.sort_by(|one, other| other.1.demand.total_cmp(&one.1.demand));
        all.truncate(count);
        all
    }

    /// Returns the cached view, or a new one if it is too old.
    fn view(&mut self, weight: impl Fn(u64) -> f64, now: Millis) -> &View {
        let cached = self.view.take().filter(|view| view.at.until(now) < VIEW_TTL);
        let view = cached.unwrap_or_else(|| self.new_view(weight, now));
        self.view.insert(view)
    }

    fn new_view(&self, weight: impl Fn(u64) -> f64, now: Millis) -> View {
        let is_valid = |entry: &&(Millis, Summary)| entry.0.until(now) < SUMMARY_TTL;
        let summaries =
            self.summaries.values().filter(is_valid).map(|entry| (entry.0.until(now), &entry.1));
        View::new(self.own.iter(now), summaries, weight, now)
    }

    /// Drops summaries that are no longer valid.
    fn expire(&mut self, now: Millis) {
        self.summaries.retain(|_, (at, _)| at.until(now) < SUMMARY_TTL);
    }
}
