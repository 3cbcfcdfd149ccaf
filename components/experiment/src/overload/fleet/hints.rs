//! What routers tell each other.

use clock::Millis;
use routing::Event;

use super::names::router_name;
use super::{Fleet, Happening, ROUTERS};

/// How often routers tell each other of loads, and of waits and outcomes.
pub(super) const LOADS_EVERY: Millis = Millis(100);
pub(super) const WAITS_EVERY: Millis = Millis(400);

impl Fleet {
    pub(super) fn tell_loads(&mut self) {
        for router in 0..ROUTERS {
            let loads = self.routers[router].loads(&router_name(router), self.now);
            self.tell(router, &Event::Loads(loads));
        }
        self.queue.add(self.now + LOADS_EVERY, Happening::Loads);
    }

    pub(super) fn tell_waits(&mut self) {
        for router in 0..ROUTERS {
            let outcomes = self.routers[router].take_outcomes();
            self.tell(router, &Event::Outcomes(outcomes));
            let delays = self.routers[router].take_delays();
            self.tell(router, &Event::Delays(delays));
            for demands in self.routers[router].demands(&router_name(router), self.now) {
                self.tell(router, &Event::Demands(demands));
            }
        }
        self.queue.add(self.now + WAITS_EVERY, Happening::Waits);
    }

    pub(super) fn tell(&mut self, from: usize, event: &Event) {
        for other in (0..ROUTERS).filter(|it| *it != from) {
            self.routers[other].apply(event.clone(), self.now);
        }
    }
}
