//! What the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use clock::{Clock, Millis};
use intents::Plan;
use routing::{Effect, Event, Owner, State};

use crate::background;
use crate::decisions::Decisions;
use crate::links::Links;

/// The state of a router and its edges.
pub(crate) struct Core {
    pub settings: Arc<settings::Router>,
    pub clock: Clock,
    pub links: Links,
    pub stop: process::Stop,
    pub store: Option<platform::Store>,
    pub decisions: RefCell<Decisions>,
    state: RefCell<State>,
    started: Millis,
    requests: Cell<u64>,
}

impl Core {
    /// A router with `plan` in force and its background tasks running.
    pub(crate) async fn start(
        settings: Arc<settings::Router>,
        plan: Arc<Plan>,
        stop: process::Stop,
    ) -> Rc<Self> {
        let clock = Clock::new();
        let started = clock.now();
        let mut state = State::new(settings.routing.clone(), started.0);
        state.apply(Event::Configure(plan), started);
        let store = match &settings.store_url {
            Some(url) => platform::Store::new(url).await.ok(),
            None => None,
        };
        let links = Links::new(&settings);
        let decisions = RefCell::new(Decisions::new(settings.routing.decisions));
        let core = Rc::new(Self {
            settings,
            clock,
            links,
            stop,
            store,
            decisions,
            state: RefCell::new(state),
            started,
            requests: Cell::new(0),
        });
        background::spawn(&core);
        core
    }

    /// Takes an event to the reducer; carries out what concerns the whole
    /// router and returns the rest.
    pub(crate) fn apply(&self, event: Event) -> Vec<Effect> {
        let mut effects = self.state.borrow_mut().apply(event, self.clock.now());
        effects.retain(|effect| match effect {
            Effect::Record(decision) => {
                self.decisions.borrow_mut().keep(decision.clone());
                false
            }
            Effect::Drained => {
                self.stop.finish();
                false
            }
            _ => true,
        });
        effects
    }

    /// A number for a new request, and the id that others see: the router, its
    /// start and the number.
    pub(crate) fn number(&self) -> (u64, Arc<str>) {
        let number = self.requests.get() + 1;
        self.requests.set(number);
        let id = format!("{}-{:x}-{number:x}", self.settings.name, self.started.0);
        (number, id.into())
    }

    pub(crate) fn plan(&self) -> Option<Arc<Plan>> {
        self.state.borrow().plan().cloned()
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.stop.is_asked() && self.state.borrow().is_ready(self.clock.now())
    }

    pub(crate) fn owner(&self, workspace: &str, kind: &str, seed: &str) -> Option<Owner> {
        self.state.borrow().owner(workspace, kind, seed, self.clock.now())
    }

    pub(crate) fn status(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.clock.now();
        let upstreams: Vec<_> = state
            .upstreams()
            .map(|it| {
                serde_json::json!({
                    "name": &**it.name(),
                    "incarnation": it.incarnation(),
                    "load": it.load(),
                    "up": it.is_up(now),
                })
            })
            .collect();
        serde_json::json!({
            "name": &*self.settings.name,
            "generation": state.plan().map_or(0, |it| it.generation()),
            "in_flight": state.in_flight(),
            "draining": self.stop.is_asked(),
            "upstreams": upstreams,
        })
    }
}
