//! Sidecars that vanish and return.

use admission::Peer;
use clock::Millis;

use super::{Event, Origin, TICK_MS, World};
use crate::cache::Cache;
use crate::hosts;

impl World {
    /// Whether the event is for a sidecar that has vanished; a router hears of
    /// what it sent there.
    pub(super) fn is_for_gone(&mut self, event: &Event) -> bool {
        let sidecar = match event {
            Event::ToSidecar { sidecar, .. }
            | Event::Ended { sidecar, .. }
            | Event::Report { sidecar, .. }
            | Event::Pool { sidecar, .. }
            | Event::Note { sidecar, .. }
            | Event::Tick(sidecar) => *sidecar,
            _ => return false,
        };
        let gone = self.gone[sidecar];
        if let (true, Event::ToSidecar { router, id, attempt, .. }) = (gone, event) {
            let (router, id, attempt) = (*router, *id, *attempt);
            let event = Event::Lost { router, id, attempt, sent: false };
            self.queue.add(self.later(), event);
        }
        gone
    }

    pub(super) fn vanish(&mut self, lost: usize) {
        self.gone[lost] = true;
        let mut origins: Vec<_> = self.origins.extract_if(|(place, _), _| *place == lost).collect();
        origins.sort_unstable_by_key(|((_, call), _)| *call);
        for (_, Origin { router, id, attempt }) in origins {
            if router != usize::MAX {
                let event = Event::Lost { router, id, attempt, sent: true };
                self.queue.add(self.later(), event);
            }
        }
    }

    /// One step of a rolling restart.
    pub(super) fn restart(&mut self, place: usize) {
        let Some(churn) = self.setup.churn else { return };
        self.vanish(place);
        let next = (place + 1) % self.gone.len();
        self.queue.add(self.now + Millis(churn.list_lag_ms), Event::List);
        self.queue.add(self.now + Millis(churn.gone_ms), Event::Return(place));
        self.queue.add(self.now + Millis(churn.every_ms), Event::Restart(next));
    }

    /// The engine and its sidecar are there again, and know nothing.
    pub(super) fn come_back(&mut self, place: usize) {
        let lag = self.setup.churn.map_or(0, |it| it.list_lag_ms);
        self.gone[place] = false;
        self.lives[place] += 1;
        self.caches[place] = Cache::default();
        let host = hosts(self.setup.sidecars, 1, 3).swap_remove(place);
        let own = Peer { name: host.name.clone(), address: host.address };
        self.sidecars[place] =
            admission::State::new(self.setup.admission.clone(), own, self.lives[place]);
        self.queue.add(self.now + Millis(TICK_MS), Event::Tick(place));
        self.queue.add(self.now + Millis(lag), Event::List);
    }

    /// The platform's list shows who is left.
    pub(super) fn list(&mut self) {
        let mut list = hosts(self.setup.sidecars, 1, 3);
        let mut place = 0;
        list.retain(|_| {
            place += 1;
            !self.gone[place - 1]
        });
        let peers: Vec<_> = list
            .iter()
            .map(|it| Peer { name: it.name.clone(), address: it.address.clone() })
            .collect();
        let welcomes: Vec<_> = peers
            .iter()
            .map(|it| (it.name.clone(), self.sidecars[self.by_name[&it.name]].status()))
            .collect();
        for router in &mut self.routers {
            router.apply(routing::Event::Hosts(list.clone()), self.now);
            for (name, status) in &welcomes {
                let welcome = wire::Welcome { name: name.clone(), status: *status };
                router.apply(routing::Event::Connected(welcome), self.now);
            }
        }
        for place in 0..self.sidecars.len() {
            if !self.gone[place] {
                self.apply_sidecar(place, admission::Event::Peers(peers.clone()));
            }
        }
    }
}
