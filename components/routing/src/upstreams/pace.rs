//! The pace of upstreams, as their answers and other routers report it.

use clock::Millis;
use wire::Pace;

use crate::Upstream;
use crate::state::State;

/// Maximum number of upstreams in one report, so that it fits one datagram.
const MAX_ENTRIES: usize = 30;

impl State {
    /// Records the time that work takes an upstream, as a percentage of the usual time.
    pub(crate) fn record_pace(&mut self, upstream: &str, percent: u32, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.pace.record(percent, now);
            upstream.unreported_pace = Some((percent, now));
        }
    }

    /// Records the paces received from another router.
    pub(crate) fn receive_paces(&mut self, paces: &[Pace], now: Millis) {
        for pace in paces {
            if let Some(upstream) = self.upstreams.get_mut(&pace.upstream) {
                upstream.pace.record(pace.percent, now - Millis(pace.age_ms));
            }
        }
    }

    /// Takes up to `MAX_ENTRIES` unreported paces, for other routers.
    pub fn take_paces(&mut self, now: Millis) -> Vec<Pace> {
        let mut unreported: Vec<&mut Upstream> = self
            .upstreams
            .values_mut()
            .filter(|upstream| upstream.unreported_pace.is_some())
            .collect();
        // The oldest come first if not all fit.
        unreported.sort_by_key(|upstream| upstream.unreported_pace.map(|(_, at)| at));
        let pace = |upstream: &mut Upstream| {
            let (percent, at) = upstream.unreported_pace.take()?;
            Some(Pace { upstream: upstream.name().clone(), percent, age_ms: at.until(now).0 })
        };
        unreported.into_iter().filter_map(pace).take(MAX_ENTRIES).collect()
    }
}
