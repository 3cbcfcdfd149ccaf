//! The load of the pool: reports, their sum and the aggregator's duty.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use placement::{Pool, rank};
use wire::Report;

use crate::Peer;

/// The key under which members of a pool choose their aggregator.
const AGGREGATOR: u64 = 0;

/// The loads that other members reported to this sidecar.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    reports: BTreeMap<Arc<str>, (Report, Millis)>,
}

impl Aggregate {
    /// Takes a report; one from an earlier life of the member is ignored.
    pub fn take(&mut self, report: Report, now: Millis) {
        let known = self.reports.get(&report.name);
        if known.is_some_and(|(known, _)| known.incarnation > report.incarnation) {
            return;
        }
        self.reports.insert(report.name.clone(), (report, now));
    }

    /// Forgets members that have not reported for `keep`.
    pub fn forget(&mut self, keep: Millis, now: Millis) {
        self.reports.retain(|_, (_, at)| at.until(now) <= keep);
    }

    /// The sum of all reports.
    pub fn pool(&self) -> Pool {
        let load = self.reports.values().map(|(report, _)| report.load).sum();
        Pool {
            load,
            members: u32::try_from(self.reports.len()).unwrap_or(u32::MAX),
        }
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
