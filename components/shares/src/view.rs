//! The demand on a pool at one time, and the resulting shares.

use std::collections::BTreeMap;

use clock::Millis;

use crate::count::{Counter, decay};
use crate::fill::{Group, max_min_level};
use crate::standing::{Rank, Standing};
use crate::summary::{Summary, requests};

/// The margin by which a ratio must exceed 1 to count as [`Rank::Over`]. Covers random arrivals and
/// differences between the views of routers.
const TOLERANCE: f64 = 0.25;

/// The demand of a pool, and of a workspace, below which it is not ranked, in requests.
const MIN_POOL_DEMAND: f64 = 20.0;
const MIN_WORKSPACE_DEMAND: f64 = 4.0;

/// The known demand of a workspace, as decaying counts of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Workspace {
    /// The demand by priority.
    pub demands: BTreeMap<i32, f64>,
    /// The estimated demand within the remainders of summaries.
    pub estimated: f64,
    /// The requests sent to the pool.
    pub served: f64,
    /// The estimates from summaries that list the workspace: demand and served. They are
    /// subtracted, as the workspace is not part of their remainders.
    excluded: (f64, f64),
}

impl Workspace {
    /// The demand at all priorities.
    pub fn demand(&self) -> f64 {
        self.demands.values().sum::<f64>() + self.estimated
    }

    /// The demand at `priority` and more urgent ones.
    fn demand_up_to(&self, priority: i32) -> f64 {
        self.demands.range(..=priority).map(|entry| entry.1).sum::<f64>() + self.estimated
    }
}

/// The demand on a pool and the level of its max-min shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub at: Millis,
    pub workspaces: BTreeMap<u64, Workspace>,
    level: f64,
    /// The total demand, and the sum of all shares.
    demand: f64,
    shares: f64,
    /// The age of the oldest summary.
    age: Option<Millis>,
}

impl View {
    /// Computes the view at `now` from the own counters and the summaries of other routers, each
    /// with its age.
    pub(crate) fn new<'a>(
        own: impl Iterator<Item = (u64, i32, Counter)>,
        summaries: impl Iterator<Item = (Millis, &'a Summary)> + Clone,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Self {
        let mut workspaces: BTreeMap<u64, Workspace> = BTreeMap::new();
        let mut add = |name, priority, demand, served| {
            let workspace = workspaces.entry(name).or_default();
            *workspace.demands.entry(priority).or_default() += demand;
            workspace.served += served;
        };
        for (workspace, priority, counter) in own {
            add(workspace, priority, counter.demand(), counter.served);
        }
        for (age, summary) in summaries.clone() {
            for demand in &summary.demands {
                let (requested, served) = (requests(demand.requested), requests(demand.served));
                add(demand.workspace, demand.priority, requested * decay(age), served * decay(age));
            }
        }
        let unlisted = spread_remainders(&mut workspaces, summaries.clone());
        let age = summaries.map(|entry| entry.0).max();
        Self::allocate(workspaces, unlisted, age, weight, now)
    }

    /// Computes the shares. `unlisted` has the number of unlisted workspaces, and their total
    /// demand and served requests.
    fn allocate(
        workspaces: BTreeMap<u64, Workspace>,
        unlisted: (f64, f64, f64),
        age: Option<Millis>,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Self {
        let (count, requested, served) = unlisted;
        let group = |(name, workspace): (&u64, &Workspace)| Group {
            demand: workspace.demand(),
            weight: weight(*name),
            count: 1.0,
        };
        let mut groups: Vec<Group> = workspaces.iter().map(group).collect();
        if count > 0.0 {
            groups.push(Group { demand: requested / count, weight: 1.0, count });
        }
        let demand: f64 = groups.iter().map(|group| group.demand * group.count).sum();
        let capacity: f64 =
            workspaces.values().map(|workspace| workspace.served).sum::<f64>() + served;
        let level = max_min_level(&mut groups, capacity);
        let shares = capacity.min(demand);
        Self { at: now, workspaces, level, demand, shares, age }
    }

    /// Returns the standing of `workspace` with `weight` for requests of `priority`.
    pub(crate) fn standing(&self, workspace: u64, priority: i32, weight: f64) -> Standing {
        let Some(workspace) = self.workspaces.get(&workspace) else {
            return Standing { rank: Rank::Below, ..Standing::default() }.with_age(self.age);
        };
        let (total, demand) = (workspace.demand(), workspace.demand_up_to(priority));
        let share = total.min(weight * self.level);
        let rank = self.rank(demand, share, total);
        Standing { rank, demand, served: workspace.served, share, age_ms: None }.with_age(self.age)
    }

    /// Ranks a workspace with `demand` at some priorities and `total` at all.
    fn rank(&self, demand: f64, share: f64, total: f64) -> Rank {
        if demand <= share {
            return Rank::Below;
        }
        let others = self.demand - total;
        if self.demand < MIN_POOL_DEMAND
            || demand < MIN_WORKSPACE_DEMAND
            || others < MIN_WORKSPACE_DEMAND
        {
            return Rank::At;
        }
        let others_served = (self.shares - share) / others;
        let ratio = others_served * demand / share.max(f64::MIN_POSITIVE);
        if ratio > 1.0 + TOLERANCE { Rank::Over(ratio) } else { Rank::At }
    }
}

/// Spreads the remainder of each summary evenly over the workspaces that it does not list.
/// Returns the estimated number of workspaces that are in no list, and their total demand and
/// served requests.
fn spread_remainders<'a>(
    workspaces: &mut BTreeMap<u64, Workspace>,
    summaries: impl Iterator<Item = (Millis, &'a Summary)>,
) -> (f64, f64, f64) {
    let known = to_f64(workspaces.len());
    let mut each = (0.0, 0.0);
    let mut unlisted = (0.0_f64, 0.0, 0.0);
    for (age, summary) in summaries {
        let mut listed: Vec<u64> = summary.demands.iter().map(|demand| demand.workspace).collect();
        listed.sort_unstable();
        listed.dedup();
        let candidates = known - to_f64(listed.len());
        let count = f64::from(summary.remainder.workspaces);
        let among = count.max(candidates);
        if among <= 0.0 {
            continue;
        }
        let requested = requests(summary.remainder.requested) * decay(age) / among;
        let served = requests(summary.remainder.served) * decay(age) / among;
        each.0 += requested;
        each.1 += served;
        for name in listed {
            if let Some(workspace) = workspaces.get_mut(&name) {
                workspace.excluded.0 += requested;
                workspace.excluded.1 += served;
            }
        }
        let more = among - candidates;
        unlisted =
            (unlisted.0.max(more), unlisted.1 + requested * more, unlisted.2 + served * more);
    }
    for workspace in workspaces.values_mut() {
        workspace.estimated = (each.0 - workspace.excluded.0).max(0.0);
        workspace.served += (each.1 - workspace.excluded.1).max(0.0);
    }
    unlisted
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
