//! The load of the pool: reports, their sums, and who makes them.
//!
//! Members are put in rendezvous order, so that those with the same list agree
//! without an election. In a small pool the first one sums all loads. In a
//! large one the first `k`, the square root of the pool, are leaders: each
//! member reports to one of them, and they report their sums to the first, the
//! root. Whoever does not answer for a while is passed over.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::{Pool, key, rank};
use wire::Report;

use crate::{Peer, Settings};

/// The largest pool that one member sums.
const FLAT: usize = 16;

/// The key under which members are put in order.
const ORDER: u64 = 0;

/// A change of load is large above this part of the load last reported.
const LARGE_CHANGE: u64 = 16;

/// The reports that are sent without a change in the time that one counts, so
/// that a single loss does not make a member silent.
const HEARTBEATS: u64 = 3;

/// What a sidecar knows of its pool.
#[derive(Debug)]
pub(crate) struct Tree {
    own: Peer,
    incarnation: u64,
    keep: Millis,
    /// All members in order, this one among them; `None` before the first list.
    order: Option<Vec<Peer>>,
    /// The place of this member in the order.
    place: usize,
    /// The members that report to this one, itself among them if it leads.
    group: Aggregate,
    /// The sums that leaders report to this one.
    sums: Aggregate,
    /// The pool as it was heard last.
    heard: Pool,
    /// Reports of the own load to a leader.
    up: Upward,
    /// Reports of the group's sum to the root.
    sum_up: Upward,
}

impl Tree {
    pub(crate) fn new(own: Peer, incarnation: u64, settings: &Settings) -> Self {
        Self {
            own,
            incarnation,
            keep: Millis(settings.report_keep_ms),
            order: None,
            place: 0,
            group: Aggregate::default(),
            sums: Aggregate::default(),
            heard: Pool::default(),
            up: Upward::default(),
            sum_up: Upward::default(),
        }
    }

    /// Takes the platform's list of the other members.
    pub(crate) fn list(&mut self, mut peers: Vec<Peer>, now: Millis) {
        peers.retain(|peer| peer.name != self.own.name);
        peers.push(self.own.clone());
        rank(ORDER, &mut peers, |peer| (&peer.name, 1.0));
        self.place = peers.iter().position(|it| it.name == self.own.name).unwrap_or(0);
        let leaders = width(peers.len());
        if self.place < leaders {
            let mine = peers
                .iter()
                .enumerate()
                .filter(|(place, peer)| leader(*place, peer, leaders) == self.place);
            self.group.list(mine.map(|(_, peer)| &peer.name), now);
        }
        self.order = Some(peers);
    }

    /// Takes a report and returns the pool as this member knows it.
    pub(crate) fn take(&mut self, report: &Report, now: Millis) -> Pool {
        if report.sum {
            self.sums.take(report, now);
            return self.summed(now);
        }
        self.group.take(report, now);
        self.known(now)
    }

    /// Takes the answer to a report of the own load, or of the group's `sum`.
    pub(crate) fn hear(&mut self, pool: Pool, sum: bool, now: Millis) {
        self.heard = pool;
        let up = if sum { &mut self.sum_up } else { &mut self.up };
        up.heard = Some(now);
    }

    /// The reports that are due, and to whom.
    pub(crate) fn reports(
        &mut self,
        load: u64,
        settings: &Settings,
        now: Millis,
    ) -> Vec<(Peer, Report)> {
        let listed = self.order.as_deref().unwrap_or_default();
        self.group.forget(self.keep, now, listed);
        self.sums.forget(self.keep, now, listed);
        let own = self.report_load(load, settings, now);
        let sum = self.report_sum(settings, now);
        own.into_iter().chain(sum).collect()
    }

    /// The pool with the own load as it is now. Before anything is known of the
    /// others they count as idle; before their list is known, as so many that
    /// only the bound's floor is left.
    pub(crate) fn pool(&self, load: u64, now: Millis) -> Pool {
        let Some(order) = &self.order else { return Pool { load, members: u32::MAX } };
        let members = u32::try_from(order.len()).unwrap_or(u32::MAX);
        let Some((reported, _)) = self.up.sent else { return Pool { load, members } };
        if self.up.heard.is_none() {
            return Pool { load, members };
        }
        let known = self.known(now);
        let others = known.load.saturating_sub(reported);
        Pool { load: others + load, members: known.members.max(1) }
    }

    fn leaders(&self) -> usize {
        width(self.order.as_ref().map_or(1, Vec::len))
    }

    fn leads(&self) -> bool {
        self.place < self.leaders()
    }

    /// The pool as far as is known: fresh for the own group, as heard for the
    /// rest.
    fn known(&self, now: Millis) -> Pool {
        if !self.leads() {
            return self.heard;
        }
        if self.place == 0 {
            return self.summed(now);
        }
        let group = self.group.pool(self.keep, now);
        let sent = self.sum_up.sent.map_or(0, |(load, _)| load);
        let others = self.heard.load.saturating_sub(sent);
        Pool { load: others + group.load, members: self.heard.members.max(group.members) }
    }

    /// The sum that this member makes as the root. Leaders that have not
    /// reported yet count as idle, with their members.
    fn summed(&self, now: Millis) -> Pool {
        let group = self.group.pool(self.keep, now);
        let sums = self.sums.pool(self.keep, now);
        let listed = self.order.as_ref().map_or(0, Vec::len);
        let silent = self.sums.silent_since(now) <= self.keep;
        let members = group.members + sums.members;
        let members = if silent && self.leaders() > 1 {
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
        if !self.up.is_due(load, settings, now) {
            return None;
        }
        let leaders = self.leaders();
        let first = leader(self.place, &self.own, leaders);
        let to = self.member(first, leaders, self.up.turns(self.keep, now));
        self.up.sent = Some((load, now));
        let report = self.report(load, 1, false);
        if to.name != self.own.name {
            return Some((to, report));
        }
        self.group.take(&report, now);
        self.up.heard = Some(now);
        None
    }

    fn report_sum(&mut self, settings: &Settings, now: Millis) -> Option<(Peer, Report)> {
        let leaders = self.leaders();
        let group = self.group.pool(self.keep, now);
        if leaders == 1 || !self.leads() || !self.sum_up.is_due(group.load, settings, now) {
            return None;
        }
        let to = self.member(0, leaders, self.sum_up.turns(self.keep, now));
        self.sum_up.sent = Some((group.load, now));
        if to.name != self.own.name {
            return Some((to, self.report(group.load, group.members, true)));
        }
        self.heard = self.summed(now);
        self.sum_up.heard = Some(now);
        None
    }

    fn report(&self, load: u64, members: u32, sum: bool) -> Report {
        Report { name: self.own.name.clone(), incarnation: self.incarnation, load, members, sum }
    }

    /// The leader `turns` after `first`; this member before the list is known.
    fn member(&self, first: usize, leaders: usize, turns: usize) -> Peer {
        let order = self.order.as_deref().unwrap_or_default();
        // A small pool has one leader, and any member may stand in for it.
        let among = if leaders > 1 { leaders } else { order.len().max(1) };
        order.get((first + turns) % among).unwrap_or(&self.own).clone()
    }
}

/// How many leaders a pool of `members` has.
fn width(members: usize) -> usize {
    if members <= FLAT { 1 } else { members.isqrt() }
}

/// The place of the leader that the member at `place` reports to.
fn leader(place: usize, peer: &Peer, leaders: usize) -> usize {
    if place < leaders {
        return place;
    }
    let hash = key("", &peer.name) % leaders as u64;
    usize::try_from(hash).unwrap_or(0)
}

/// Reports in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Upward {
    /// The load last reported, and when.
    sent: Option<(u64, Millis)>,
    /// When the last answer came.
    heard: Option<Millis>,
}

impl Upward {
    /// A report is due soon after a large change, later after a small one, and
    /// now and then without any, as a heartbeat.
    fn is_due(&self, load: u64, settings: &Settings, now: Millis) -> bool {
        let Some((reported, at)) = self.sent else { return true };
        let change = load.abs_diff(reported);
        let after = if change > reported / LARGE_CHANGE {
            settings.report_soon_ms
        } else if change > 0 {
            settings.report_every_ms
        } else {
            settings.report_keep_ms / HEARTBEATS
        };
        at.until(now).0 >= after
    }

    /// How many in turn have not answered in time.
    fn turns(&self, keep: Millis, now: Millis) -> usize {
        let silent = self.heard.map_or(Millis::ZERO, |at| at.until(now));
        usize::try_from(silent.0 / keep.0.max(1)).unwrap_or(usize::MAX)
    }
}

/// What members have reported.
///
/// A member that is listed and has not reported yet counts with no load: that
/// makes the mean too low, and so the bound too tight rather than too loose.
/// One that has been silent for too long no longer counts at all.
#[derive(Clone, Debug, Default)]
struct Aggregate {
    members: BTreeMap<Arc<str>, Member>,
    /// When the first report came.
    began: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    incarnation: u64,
    load: u64,
    members: u32,
    /// When it last reported, or was listed first.
    heard: Millis,
}

impl Aggregate {
    /// Takes a report; one from an earlier life of the member is ignored.
    fn take(&mut self, report: &Report, now: Millis) {
        let known = self.members.get(&report.name);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        self.began.get_or_insert(now);
        let (incarnation, load, members) = (report.incarnation, report.load, report.members);
        let member = Member { incarnation, load, members, heard: now };
        self.members.insert(report.name.clone(), member);
    }

    /// Takes the names on the platform's list.
    fn list<'a>(&mut self, names: impl Iterator<Item = &'a Arc<str>>, now: Millis) {
        for name in names {
            let fresh = Member { incarnation: 0, load: 0, members: 1, heard: now };
            self.members.entry(name.clone()).or_insert(fresh);
        }
    }

    /// How long ago the first report came; no time at all before it.
    fn silent_since(&self, now: Millis) -> Millis {
        self.began.map_or(Millis::ZERO, |began| began.until(now))
    }

    /// The sum over the members heard of within `keep`.
    fn pool(&self, keep: Millis, now: Millis) -> Pool {
        let heard = self.members.values().filter(|it| it.heard.until(now) <= keep);
        heard.fold(Pool::default(), |pool, it| Pool {
            load: pool.load + it.load,
            members: pool.members + it.members,
        })
    }

    /// Forgets members that have been silent for `keep` and are not on the
    /// list.
    fn forget(&mut self, keep: Millis, now: Millis, listed: &[Peer]) {
        let is_listed = |name: &Arc<str>| listed.iter().any(|peer| peer.name == *name);
        self.members.retain(|name, it| it.heard.until(now) <= keep || is_listed(name));
    }
}
