//! Outages and restarts of sidecars.

use admission::Peer;
use clock::Millis;

use super::{Event, Origin, Simulation, TICK_INTERVAL_MS};
use crate::cache::Cache;
use crate::hosts;

impl Simulation {
    /// Returns whether the event is for a sidecar that is down. The router of an
    /// undelivered request gets a connection failure.
    pub(super) fn drop_for_down_sidecar(&mut self, event: &Event) -> bool {
        let sidecar = match event {
            Event::ToSidecar { sidecar, .. }
            | Event::Ended { sidecar, .. }
            | Event::Report { sidecar, .. }
            | Event::Pool { sidecar, .. }
            | Event::DirectoryUpdate { sidecar, .. }
            | Event::Tick(sidecar) => *sidecar,
            _ => return false,
        };
        let down = self.down[sidecar];
        if let (true, Event::ToSidecar { router, id, attempt, .. }) = (down, event) {
            let (router, id, attempt) = (*router, *id, *attempt);
            let event = Event::ConnectionFailed { router, id, attempt, sent: false };
            self.queue.add(self.delivery_time(), event);
        }
        down
    }

    /// Stops a sidecar and fails its calls.
    pub(super) fn stop_sidecar(&mut self, sidecar: usize) {
        self.down[sidecar] = true;
        let mut origins: Vec<_> =
            self.origins.extract_if(|(receiver, _), _| *receiver == sidecar).collect();
        origins.sort_unstable_by_key(|((_, call), _)| *call);
        for (_, Origin { router, id, attempt }) in origins {
            if router != usize::MAX {
                let event = Event::ConnectionFailed { router, id, attempt, sent: true };
                self.queue.add(self.delivery_time(), event);
            }
        }
    }

    /// Stops a sidecar and schedules its return and the next restart.
    pub(super) fn restart(&mut self, sidecar: usize) {
        let Some(churn) = self.setup.churn else { return };
        self.stop_sidecar(sidecar);
        let next = (sidecar + 1) % self.down.len();
        self.queue.add(self.now + Millis(churn.hosts_lag_ms), Event::UpdateHosts);
        self.queue.add(self.now + Millis(churn.downtime_ms), Event::Return(sidecar));
        self.queue.add(self.now + Millis(churn.interval_ms), Event::Restart(next));
    }

    /// Starts a sidecar and its engine again, with empty state.
    pub(super) fn start_sidecar(&mut self, sidecar: usize) {
        let lag = self.setup.churn.map_or(0, |churn| churn.hosts_lag_ms);
        self.down[sidecar] = false;
        self.incarnations[sidecar] += 1;
        self.caches[sidecar] = Cache::default();
        let host = hosts(self.setup.sidecars, 1, 3).swap_remove(sidecar);
        let own = Peer { name: host.name.clone(), address: host.address };
        self.sidecars[sidecar] =
            admission::State::new(self.setup.admission.clone(), own, self.incarnations[sidecar]);
        self.queue.add(self.now + Millis(TICK_INTERVAL_MS), Event::Tick(sidecar));
        self.queue.add(self.now + Millis(lag), Event::UpdateHosts);
    }

    /// Applies the current list of hosts to all routers and sidecars.
    pub(super) fn update_hosts(&mut self) {
        let mut list = hosts(self.setup.sidecars, 1, 3);
        let mut index = 0;
        list.retain(|_| {
            index += 1;
            !self.down[index - 1]
        });
        let peers: Vec<_> = list
            .iter()
            .map(|host| Peer { name: host.name.clone(), address: host.address.clone() })
            .collect();
        let welcomes: Vec<_> = peers
            .iter()
            .map(|peer| (peer.name.clone(), self.sidecars[self.by_name[&peer.name]].status()))
            .collect();
        for router in &mut self.routers {
            router.apply(routing::Event::Hosts(list.clone()), self.now);
            for (name, status) in &welcomes {
                let welcome = wire::Welcome { name: name.clone(), status: *status };
                router.apply(routing::Event::Connected(welcome), self.now);
            }
        }
        for sidecar in 0..self.sidecars.len() {
            if !self.down[sidecar] {
                self.apply_sidecar(sidecar, admission::Event::Peers(peers.clone()));
            }
        }
    }
}
