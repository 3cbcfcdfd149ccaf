//! The load of the pool: reports, their sum and the aggregator's duty.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::{Pool, rank};
use wire::Report;

use crate::Peer;

/// The key under which members of a pool choose their aggregator.
const AGGREGATOR: u64 = 0;

/// What the aggregator of a pool knows of its members.
///
/// A member that is listed and has not reported yet counts with no load: that
/// makes the mean too low, and so the bound too tight rather than too loose.
/// One that has been silent for too long no longer counts at all.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    members: BTreeMap<Arc<str>, Member>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    incarnation: u64,
    load: u64,
    /// When it last reported, or was listed first.
    heard: Millis,
}

impl Aggregate {
    /// Takes a report; one from an earlier life of the member is ignored.
    pub fn take(&mut self, report: &Report, now: Millis) {
        let known = self.members.get(&report.name);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        let member = Member { incarnation: report.incarnation, load: report.load, heard: now };
        self.members.insert(report.name.clone(), member);
    }

    /// Takes the names on the platform's list.
    pub fn list<'a>(&mut self, names: impl Iterator<Item = &'a Arc<str>>, now: Millis) {
        for name in names {
            let fresh = Member { incarnation: 0, load: 0, heard: now };
            self.members.entry(name.clone()).or_insert(fresh);
        }
    }

    /// The sum over the members heard of within `keep`.
    pub fn pool(&self, keep: Millis, now: Millis) -> Pool {
        let heard = self.members.values().filter(|it| it.heard.until(now) <= keep);
        let (load, members) =
            heard.fold((0, 0), |(load, members), it| (load + it.load, members + 1));
        Pool { load, members }
    }

    /// Forgets members that have been silent for `keep` and are not on the
    /// list.
    pub fn forget(&mut self, keep: Millis, now: Millis, listed: impl Fn(&str) -> bool) {
        self.members.retain(|name, it| it.heard.until(now) <= keep || listed(name));
    }
}

/// The member that sums the pool: the first by rendezvous hashing, so that
/// members with the same list agree without an election.
///
/// `skip` members at the head of the order are passed over, for they are
/// silent.
pub(crate) fn aggregator<'a>(peers: &'a [Peer], own: &'a Peer, skip: usize) -> &'a Peer {
    let mut order: Vec<_> = peers.iter().chain([own]).collect();
    rank(AGGREGATOR, &mut order, |peer| (&peer.name, 1.0));
    order[skip % order.len()]
}
