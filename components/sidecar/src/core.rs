//! What the tasks of a sidecar share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admission::{CallId, Effect, Event, Peer, State};
use clock::Clock;
use ntex::client::Client;
use telemetry::{Metrics, Tracer};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use wire::Welcome;

/// The name of this kind of process in metrics and traces.
pub(crate) const SERVICE: &str = "silverstack-sidecar";

/// The reducer's state as the HTTP pages see it.
#[derive(Clone, Debug)]
pub(crate) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(crate) fn new(state: State) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What every call's task needs.
pub(crate) struct Core {
    pub settings: settings::Sidecar,
    pub clock: Clock,
    pub client: Client,
    pub stop: process::Shutdown,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
    state: Shared,
    mailboxes: RefCell<HashMap<CallId, UnboundedSender<Effect>>>,
    next: RefCell<CallId>,
    /// Reports to the aggregator, taken by the task that sends them.
    reports: UnboundedSender<(Peer, wire::Report)>,
}

impl Core {
    /// The core of a sidecar, and the reports that it wants sent.
    pub(crate) fn new(
        settings: settings::Sidecar,
        client: Client,
        stop: process::Shutdown,
        metrics: Arc<Metrics>,
        state: Shared,
    ) -> (Self, UnboundedReceiver<(Peer, wire::Report)>) {
        let (reports, outbox) = unbounded_channel();
        let core = Self {
            clock: Clock::new(),
            client,
            stop,
            metrics,
            tracer: tracer(&settings),
            settings,
            state,
            mailboxes: RefCell::default(),
            next: RefCell::default(),
            reports,
        };
        (core, outbox)
    }

    /// Takes an event to the reducer and its effects to the tasks they concern.
    pub(crate) fn apply(&self, event: Event) {
        let effects = self.state.lock().apply(event, self.clock.now());
        for effect in effects {
            self.deliver(effect);
        }
    }

    /// Hands an effect to the task that carries it out.
    fn deliver(&self, effect: Effect) {
        let call = match &effect {
            Effect::Send { call, .. }
            | Effect::Finish { call, .. }
            | Effect::Run { call, .. }
            | Effect::Abort { call } => *call,
            Effect::Report { to, report } => {
                let _ = self.reports.send((to.clone(), report.clone()));
                return;
            }
            Effect::Drained => {
                if self.stop.is_requested() {
                    self.stop.finish();
                }
                return;
            }
        };
        if let Some(mailbox) = self.mailboxes.borrow().get(&call) {
            let _ = mailbox.send(effect);
        }
    }

    /// A number and a mailbox for a new call.
    pub(crate) fn register(&self) -> (CallId, UnboundedReceiver<Effect>) {
        let mut next = self.next.borrow_mut();
        *next += 1;
        let (sender, receiver) = unbounded_channel();
        self.mailboxes.borrow_mut().insert(*next, sender);
        (*next, receiver)
    }

    /// Drops the mailbox of a call that has ended.
    pub(crate) fn forget(&self, call: CallId) {
        self.mailboxes.borrow_mut().remove(&call);
    }

    /// What a router is told when it connects.
    pub(crate) fn welcome(&self) -> Welcome {
        let state = self.state.lock();
        Welcome { name: self.settings.name.clone(), status: state.status() }
    }

    /// How many calls still have a task.
    pub(crate) fn open_calls(&self) -> usize {
        self.mailboxes.borrow().len()
    }

    /// How many calls the reducer has not seen the end of.
    pub(crate) fn in_flight(&self) -> usize {
        self.state.lock().in_flight()
    }
}

fn tracer(settings: &settings::Sidecar) -> Tracer {
    match &settings.traces_url {
        Some(url) => Tracer::new(SERVICE, &settings.name, url),
        None => Tracer::disabled(),
    }
}
