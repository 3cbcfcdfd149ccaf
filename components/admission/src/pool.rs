//! The load of the pool, aggregated over a tree of its members.
//!
//! Members are sorted in rendezvous order, so members with the same list agree without an
//! election. In a small pool the first member sums all loads. In a large one the first `k`, the
//! square root of the pool's size, are leaders: each member reports to one of them, and they
//! report their sums to the first, the root. Receivers that don't answer for a while are skipped.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::{Pool, key, rank};
use wire::Report;

use crate::{Peer, Settings};

/// The largest pool with a single leader.
const MAX_FLAT_MEMBERS: usize = 16;

/// The rendezvous key that orders the members.
const ORDER_KEY: u64 = 0;

/// The part of the reported load above which a change is large, as a divisor.
const LARGE_CHANGE_DIVISOR: u64 = 16;

/// The reports sent per `ttl` while the load does not change. A member does not expire if one is
/// lost.
const HEARTBEATS_PER_TTL: u64 = 3;

/// The aggregation tree as seen by one member.
#[derive(Debug)]
pub(crate) struct Tree {
    own: Peer,
    incarnation: u64,
    /// How long a report is valid: `report_keep_ms` of the settings.
    ttl: Millis,
    /// All members in order, including this one; `None` before the first list.
    order: Option<Vec<Peer>>,
    /// The index of this member in the order.
    index: usize,
    /// The members that report to this one, including itself if it is a leader.
    group: Aggregate,
    /// The sums that leaders report to this one.
    sums: Aggregate,
    /// The pool in the last answer to a report.
    last_answer: Pool,
    /// Reports of the own load to a leader.
    load_uplink: Uplink,
    /// Reports of the group's sum to the root.
    sum_uplink: Uplink,
}

impl Tree {
    pub(crate) fn new(own: Peer, incarnation: u64, settings: &Settings) -> Self {
        Self {
            own,
            incarnation,
            ttl: Millis(settings.report_keep_ms),
            order: None,
            index: 0,
            group: Aggregate::default(),
            sums: Aggregate::default(),
            last_answer: Pool::default(),
            load_uplink: Uplink::default(),
            sum_uplink: Uplink::default(),
        }
    }

    /// Replaces the list of the other members.
    pub(crate) fn set_members(&mut self, mut peers: Vec<Peer>, now: Millis) {
        peers.retain(|peer| peer.name != self.own.name);
        peers.push(self.own.clone());
        rank(ORDER_KEY, &mut peers, |peer| (&peer.name, 1.0));
        self.index = peers.iter().position(|peer| peer.name == self.own.name).unwrap_or(0);
        let leaders = leader_count(peers.len());
        if self.index < leaders {
            let mine = peers
                .iter()
                .enumerate()
                .filter(|(index, peer)| leader_index(*index, peer, leaders) == self.index);
            self.group.add_members(mine.map(|(_, peer)| &peer.name), now);
        }
        self.order = Some(peers);
    }

    /// Records a report and returns the load of the pool as known to this member.
    pub(crate) fn receive(&mut self, report: &Report, now: Millis) -> Pool {
        if report.sum {
            self.sums.record(report, now);
            return self.total(now);
        }
        self.group.record(report, now);
        self.known_pool(now)
    }

    /// Records the answer to a report of the own load, or of the group's `sum`.
    pub(crate) fn record_answer(&mut self, pool: Pool, sum: bool, now: Millis) {
        self.last_answer = pool;
        let uplink = if sum { &mut self.sum_uplink } else { &mut self.load_uplink };
        uplink.answered = Some(now);
    }

    /// Takes the reports that are due, with their receivers.
    pub(crate) fn take_reports(
        &mut self,
        load: u64,
        settings: &Settings,
        now: Millis,
    ) -> Vec<(Peer, Report)> {
        let listed = self.order.as_deref().unwrap_or_default();
        self.group.expire(self.ttl, now, listed);
        self.sums.expire(self.ttl, now, listed);
        let own = self.report_load(load, settings, now);
        let sum = self.report_sum(settings, now);
        own.into_iter().chain(sum).collect()
    }

    /// The pool with the current own load. The others count as idle before the first answer.
    /// Before the list of members is known, their number is `u32::MAX`, which reduces the bound to
    /// its constant part.
    pub(crate) fn pool(&self, load: u64, now: Millis) -> Pool {
        let Some(order) = &self.order else { return Pool { load, members: u32::MAX } };
        let members = u32::try_from(order.len()).unwrap_or(u32::MAX);
        let Some((reported, _)) = self.load_uplink.sent else { return Pool { load, members } };
        if self.load_uplink.answered.is_none() {
            return Pool { load, members };
        }
        let known = self.known_pool(now);
        let others = known.load.saturating_sub(reported);
        Pool { load: others + load, members: known.members.max(1) }
    }

    fn leaders(&self) -> usize {
        leader_count(self.order.as_ref().map_or(1, Vec::len))
    }

    fn is_leader(&self) -> bool {
        self.index < self.leaders()
    }

    /// The pool with current loads for the own group, and those of the last answer for the rest.
    fn known_pool(&self, now: Millis) -> Pool {
        if !self.is_leader() {
            return self.last_answer;
        }
        if self.index == 0 {
            return self.total(now);
        }
        let group = self.group.pool(self.ttl, now);
        let sent = self.sum_uplink.sent.map_or(0, |(load, _)| load);
        let others = self.last_answer.load.saturating_sub(sent);
        Pool { load: others + group.load, members: self.last_answer.members.max(group.members) }
    }

    /// The sum over all members, for the root. Until `ttl` after the first sum all listed members
    /// are counted, those not yet reported without load.
    fn total(&self, now: Millis) -> Pool {
        let group = self.group.pool(self.ttl, now);
        let sums = self.sums.pool(self.ttl, now);
        let listed = self.order.as_ref().map_or(0, Vec::len);
        let starting = self.sums.elapsed(now) <= self.ttl;
        let members = group.members + sums.members;
        let members = if starting && self.leaders() > 1 {
            members.max(u32::try_from(listed).unwrap_or(u32::MAX))
        } else {
            members
        };
        Pool { load: group.load + sums.load, members }
    }

    fn report_load(
        &mut self,
        load: u64,
        settings: &Settings,
        now: Millis,
    ) -> Option<(Peer, Report)> {
        if !self.load_uplink.is_due(load, settings, now) {
            return None;
        }
        let leaders = self.leaders();
        let first = leader_index(self.index, &self.own, leaders);
        let to = self.receiver(first, leaders, self.load_uplink.missed(self.ttl, now));
        self.load_uplink.record_sent(load, now);
        let report = self.report(load, 1, false);
        if to.name != self.own.name {
            return Some((to, report));
        }
        self.group.record(&report, now);
        self.load_uplink.answered = Some(now);
        None
    }

    fn report_sum(&mut self, settings: &Settings, now: Millis) -> Option<(Peer, Report)> {
        let leaders = self.leaders();
        let group = self.group.pool(self.ttl, now);
        if leaders == 1 || !self.is_leader() || !self.sum_uplink.is_due(group.load, settings, now) {
            return None;
        }
        let to = self.receiver(0, leaders, self.sum_uplink.missed(self.ttl, now));
        self.sum_uplink.record_sent(group.load, now);
        if to.name != self.own.name {
            return Some((to, self.report(group.load, group.members, true)));
        }
        self.last_answer = self.total(now);
        self.sum_uplink.answered = Some(now);
        None
    }

    fn report(&self, load: u64, members: u32, sum: bool) -> Report {
        Report { name: self.own.name.clone(), incarnation: self.incarnation, load, members, sum }
    }

    /// The leader `skipped` positions after `first`; this member before the list is known.
    fn receiver(&self, first: usize, leaders: usize, skipped: usize) -> Peer {
        let order = self.order.as_deref().unwrap_or_default();
        // In a small pool any member may replace the single leader.
        let candidates = if leaders > 1 { leaders } else { order.len().max(1) };
        order.get((first + skipped) % candidates).unwrap_or(&self.own).clone()
    }
}

/// The number of leaders in a pool of `members`.
fn leader_count(members: usize) -> usize {
    if members <= MAX_FLAT_MEMBERS { 1 } else { members.isqrt() }
}

/// The index of the leader that the member at `index` reports to.
fn leader_index(index: usize, peer: &Peer, leaders: usize) -> usize {
    if index < leaders {
        return index;
    }
    let hash = key("", &peer.name) % leaders as u64;
    usize::try_from(hash).unwrap_or(0)
}

/// Reports to one kind of receiver.
#[derive(Clone, Copy, Debug, Default)]
struct Uplink {
    /// The last reported load, and when it was sent.
    sent: Option<(u64, Millis)>,
    /// When the first report was sent.
    started: Option<Millis>,
    /// When the last answer arrived.
    answered: Option<Millis>,
}

impl Uplink {
    /// Whether a report is due: soon after a large change, later after a small one, and
    /// periodically without a change, as a heartbeat.
    fn is_due(&self, load: u64, settings: &Settings, now: Millis) -> bool {
        let Some((reported, at)) = self.sent else { return true };
        let change = load.abs_diff(reported);
        let after = if change > reported / LARGE_CHANGE_DIVISOR {
            settings.report_soon_ms
        } else if change > 0 {
            settings.report_every_ms
        } else {
            settings.report_keep_ms / HEARTBEATS_PER_TTL
        };
        at.until(now).0 >= after
    }

    /// Records that a report is sent.
    fn record_sent(&mut self, load: u64, now: Millis) {
        self.sent = Some((load, now));
        self.started.get_or_insert(now);
    }

    /// The number of receivers to skip: one per full `ttl` since the last answer, or before the
    /// first answer since the first report.
    fn missed(&self, ttl: Millis, now: Millis) -> usize {
        let since = self.answered.or(self.started);
        let silence = since.map_or(Millis::ZERO, |at| at.until(now));
        usize::try_from(silence.0 / ttl.0.max(1)).unwrap_or(usize::MAX)
    }
}

/// The reports of members.
///
/// A listed member that has not reported yet is counted without load for a `ttl`, which lowers the
/// mean and so the bound. One whose report has expired is not counted.
#[derive(Clone, Debug, Default)]
struct Aggregate {
    members: BTreeMap<Arc<str>, Member>,
    /// When the first report arrived.
    started: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    incarnation: u64,
    load: u64,
    members: u32,
    /// When it last reported, or was first listed.
    last_seen: Millis,
}

impl Aggregate {
    /// Records a report. Ignores those from an earlier incarnation of the member.
    fn record(&mut self, report: &Report, now: Millis) {
        let known = self.members.get(&report.name);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        self.started.get_or_insert(now);
        let (incarnation, load, members) = (report.incarnation, report.load, report.members);
        let member = Member { incarnation, load, members, last_seen: now };
        self.members.insert(report.name.clone(), member);
    }

    /// Adds listed members.
    fn add_members<'a>(&mut self, names: impl Iterator<Item = &'a Arc<str>>, now: Millis) {
        for name in names {
            let new = Member { incarnation: 0, load: 0, members: 1, last_seen: now };
            self.members.entry(name.clone()).or_insert(new);
        }
    }

    /// The time since the first report, zero before it.
    fn elapsed(&self, now: Millis) -> Millis {
        self.started.map_or(Millis::ZERO, |started| started.until(now))
    }

    /// The sum over the members seen within `ttl`.
    fn pool(&self, ttl: Millis, now: Millis) -> Pool {
        let valid = self.members.values().filter(|member| member.last_seen.until(now) <= ttl);
        valid.fold(Pool::default(), |pool, member| Pool {
            load: pool.load + member.load,
            members: pool.members + member.members,
        })
    }

    /// Drops members that were not seen within `ttl` and are not listed.
    fn expire(&mut self, ttl: Millis, now: Millis, listed: &[Peer]) {
        let is_listed = |name: &Arc<str>| listed.iter().any(|peer| peer.name == *name);
        self.members.retain(|name, member| member.last_seen.until(now) <= ttl || is_listed(name));
    }
}
