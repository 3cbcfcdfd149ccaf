//! The demand on a pool as this router sees it at one time, and the shares that follow.

use std::collections::BTreeMap;

use clock::Millis;

use crate::count::{Count, kept};
use crate::fill::{Group, max_min_level};
use crate::standing::{Rank, Standing};
use crate::summary::{Summary, requests};

/// By how much the parts may differ that are served of a workspace and of all others before
/// the workspace is over its share: within it callers come by chance, and views of routers differ.
const TOLERANCE: f64 = 0.25;

/// The least demand of a pool, and of a workspace, that says anything, in requests.
const LEAST_POOL: f64 = 20.0;
const LEAST_WORKSPACE: f64 = 4.0;

/// What is known of a workspace, in requests that fade.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Held {
    /// What it wants, for each priority.
    pub lines: BTreeMap<i32, f64>,
    /// What it may want beside that, of the sums that others told.
    pub rest: f64,
    /// What of it all was sent.
    pub served: f64,
    /// The sums that it is in no case part of: demand, sent.
    apart: (f64, f64),
}

impl Held {
    /// What it wants.
    pub fn demand(&self) -> f64 {
        self.lines.values().sum::<f64>() + self.rest
    }

    /// What it wants at `priority` and at more urgent ones.
    fn demand_up_to(&self, priority: i32) -> f64 {
        self.lines.range(..=priority).map(|it| it.1).sum::<f64>() + self.rest
    }
}

/// A view of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub at: Millis,
    pub held: BTreeMap<u64, Held>,
    level: f64,
    /// What all want, and what of it is in their shares.
    demand: f64,
    shares: f64,
    /// The age of the oldest word.
    age: Option<Millis>,
}

impl View {
    /// The view at `now` of the own lines and of the words of others, each with its age.
    pub(crate) fn new<'a>(
        own: impl Iterator<Item = (u64, i32, Count)>,
        words: impl Iterator<Item = (Millis, &'a Summary)> + Clone,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Self {
        let mut held: BTreeMap<u64, Held> = BTreeMap::new();
        let mut add = |workspace, priority, demand, served| {
            let it = held.entry(workspace).or_default();
            *it.lines.entry(priority).or_default() += demand;
            it.served += served;
        };
        for (workspace, priority, count) in own {
            add(workspace, priority, count.demand(), count.served);
        }
        for (age, word) in words.clone() {
            for line in &word.demands {
                let (asked, served) = (requests(line.requested), requests(line.served));
                add(line.workspace, line.priority, asked * kept(age), served * kept(age));
            }
        }
        let unknown = spread(&mut held, words.clone());
        let age = words.map(|it| it.0).max();
        Self::share(held, unknown, age, weight, now)
    }

    fn share(
        held: BTreeMap<u64, Held>,
        unknown: (f64, f64, f64),
        age: Option<Millis>,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Self {
        let (count, asked, served) = unknown;
        let claim = |(name, it): (&u64, &Held)| Group {
            demand: it.demand(),
            weight: weight(*name),
            count: 1.0,
        };
        let mut claims: Vec<Group> = held.iter().map(claim).collect();
        if count > 0.0 {
            claims.push(Group { demand: asked / count, weight: 1.0, count });
        }
        let demand: f64 = claims.iter().map(|it| it.demand * it.count).sum();
        let room: f64 = held.values().map(|it| it.served).sum::<f64>() + served;
        let level = max_min_level(&mut claims, room);
        let shares = room.min(demand);
        Self { at: now, held, level, demand, shares, age }
    }

    /// How `workspace`, which counts `weight`, stands for requests of `priority`.
    pub(crate) fn standing(&self, workspace: u64, priority: i32, weight: f64) -> Standing {
        let Some(held) = self.held.get(&workspace) else {
            return Standing { rank: Rank::Below, ..Standing::default() }.aged(self.age);
        };
        let (all, demand) = (held.demand(), held.demand_up_to(priority));
        let share = all.min(weight * self.level);
        let rank = self.rank(demand, share, all);
        Standing { rank, demand, served: held.served, share, age_ms: None }.aged(self.age)
    }

    /// Where a workspace is that wants `demand` of `all` its requests.
    fn rank(&self, demand: f64, share: f64, all: f64) -> Rank {
        if demand <= share {
            return Rank::Below;
        }
        let others = self.demand - all;
        if self.demand < LEAST_POOL || demand < LEAST_WORKSPACE || others < LEAST_WORKSPACE {
            return Rank::At;
        }
        let served = (self.shares - share) / others;
        let times = served * demand / share.max(f64::MIN_POSITIVE);
        if times > 1.0 + TOLERANCE { Rank::Over(times) } else { Rank::At }
    }
}

/// Spreads the sums of words over the workspaces that they may be of; returns how many there
/// are that nobody named, and what they want and were sent in all.
fn spread<'a>(
    held: &mut BTreeMap<u64, Held>,
    words: impl Iterator<Item = (Millis, &'a Summary)>,
) -> (f64, f64, f64) {
    let known = count(held.len());
    let mut each = (0.0, 0.0);
    let mut unknown = (0.0_f64, 0.0, 0.0);
    for (age, word) in words {
        let mut named: Vec<u64> = word.demands.iter().map(|it| it.workspace).collect();
        named.sort_unstable();
        named.dedup();
        let others = known - count(named.len());
        let workspaces = f64::from(word.remainder.workspaces);
        let among = workspaces.max(others);
        if among <= 0.0 {
            continue;
        }
        let asked = requests(word.remainder.requested) * kept(age) / among;
        let served = requests(word.remainder.served) * kept(age) / among;
        each.0 += asked;
        each.1 += served;
        for name in named {
            if let Some(it) = held.get_mut(&name) {
                it.apart.0 += asked;
                it.apart.1 += served;
            }
        }
        let more = among - others;
        unknown = (unknown.0.max(more), unknown.1 + asked * more, unknown.2 + served * more);
    }
    for it in held.values_mut() {
        it.rest = (each.0 - it.apart.0).max(0.0);
        it.served += (each.1 - it.apart.1).max(0.0);
    }
    unknown
}

#[expect(clippy::cast_precision_loss, reason = "few beside 2^53")]
fn count(many: usize) -> f64 {
    many as f64
}
