//! The state that routers exchange.

use clock::Millis;
use routing::Event;

use super::names::router_name;
use super::{Fleet, ROUTERS, SimEvent};

/// The times between exchanges of loads, and of delays and outcomes.
pub(super) const LOADS_INTERVAL: Millis = Millis(100);
pub(super) const DELAYS_INTERVAL: Millis = Millis(400);

impl Fleet {
    pub(super) fn share_loads(&mut self) {
        for router in 0..ROUTERS {
            let loads = self.routers[router].loads(&router_name(router), self.now);
            self.broadcast(router, &Event::Loads(loads));
        }
        self.queue.add(self.now + LOADS_INTERVAL, SimEvent::ShareLoads);
    }

    pub(super) fn share_delays(&mut self) {
        for router in 0..ROUTERS {
            let outcomes = self.routers[router].take_outcomes();
            self.broadcast(router, &Event::Outcomes(outcomes));
            let delays = self.routers[router].take_delays();
            self.broadcast(router, &Event::Delays(delays));
            for demands in self.routers[router].demands(&router_name(router), self.now) {
                self.broadcast(router, &Event::Demands(demands));
            }
        }
        self.queue.add(self.now + DELAYS_INTERVAL, SimEvent::ShareDelays);
    }

    pub(super) fn broadcast(&mut self, from: usize, event: &Event) {
        for other in (0..ROUTERS).filter(|other| *other != from) {
            self.routers[other].apply(event.clone(), self.now);
        }
    }
}
