//! How fast upstreams are, as their answers and other routers tell.

use clock::Millis;
use wire::Pace;

use crate::Upstream;
use crate::state::State;

/// The most upstreams of which a router tells at a time, so that it fits one datagram.
const MOST_TOLD: usize = 30;

impl State {
    /// Takes how long work takes an upstream at the moment, as a percentage of the usual time.
    pub(crate) fn record_pace(&mut self, upstream: &str, percent: u32, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.pace.record(percent, now);
            upstream.unreported_pace = Some((percent, now));
        }
    }

    /// Takes the same from another router.
    pub(crate) fn receive_paces(&mut self, paces: &[Pace], now: Millis) {
        for told in paces {
            if let Some(upstream) = self.upstreams.get_mut(&told.upstream) {
                upstream.pace.record(told.percent, now - Millis(told.age_ms));
            }
        }
    }

    /// What upstreams have told this router since it was asked last, for the others.
    pub fn take_paces(&mut self, now: Millis) -> Vec<Pace> {
        let mut known: Vec<&mut Upstream> =
            self.upstreams.values_mut().filter(|it| it.unreported_pace.is_some()).collect();
        // Where there are more, those that have waited longest are told of first.
        known.sort_by_key(|it| it.unreported_pace.map(|(_, at)| at));
        let told = |it: &mut Upstream| {
            let (percent, at) = it.unreported_pace.take()?;
            Some(Pace { upstream: it.name().clone(), percent, age_ms: at.until(now).0 })
        };
        known.into_iter().filter_map(told).take(MOST_TOLD).collect()
    }
}
