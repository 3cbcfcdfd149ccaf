//! State shared by the tasks of a sidecar.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admission::{CallId, Effect, Event, Peer, State};
use clock::Clock;
use errors::Kind;
use telemetry::{Metrics, Tracer};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use wire::{Refused, Welcome};

use crate::upstream::Upstream;

/// The service name in metrics and traces.
pub(crate) const SERVICE: &str = "silverstack-sidecar";

/// The reducer's state, shared with the admin server's thread.
#[derive(Clone, Debug)]
pub(crate) struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    pub(crate) fn new(state: State) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Settings, clients and state that all tasks use, and the calls' mailboxes.
pub(crate) struct Core {
    pub settings: settings::Sidecar,
    pub clock: Clock,
    pub upstream: Upstream,
    pub stop: process::Shutdown,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
    state: SharedState,
    mailboxes: RefCell<HashMap<CallId, UnboundedSender<Effect>>>,
    /// The id of the last registered call.
    last_call_id: RefCell<CallId>,
    /// Load reports with their receivers, read by [`crate::peers::send_reports`].
    reports: UnboundedSender<(Peer, wire::Report)>,
}

impl Core {
    /// Creates the core; returns it with the queue of load reports to send.
    pub(crate) fn new(
        settings: settings::Sidecar,
        upstream: Upstream,
        stop: process::Shutdown,
        metrics: Arc<Metrics>,
        state: SharedState,
    ) -> (Self, UnboundedReceiver<(Peer, wire::Report)>) {
        let (reports, report_receiver) = unbounded_channel();
        let core = Self {
            clock: Clock::new(),
            upstream,
            stop,
            metrics,
            tracer: tracer(&settings),
            settings,
            state,
            mailboxes: RefCell::default(),
            last_call_id: RefCell::default(),
            reports,
        };
        (core, report_receiver)
    }

    /// Applies an event to the reducer and delivers the effects.
    pub(crate) fn apply(&self, event: Event) {
        let effects = self.state.lock().apply(event, self.clock.now());
        for effect in effects {
            self.deliver(effect);
        }
    }

    /// Delivers an effect to the task that executes it.
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

    /// Registers a new call; returns its id and its mailbox.
    pub(crate) fn register(&self) -> (CallId, UnboundedReceiver<Effect>) {
        let mut last_call_id = self.last_call_id.borrow_mut();
        *last_call_id += 1;
        let (sender, receiver) = unbounded_channel();
        self.mailboxes.borrow_mut().insert(*last_call_id, sender);
        (*last_call_id, receiver)
    }

    /// Removes the mailbox of a call that has ended.
    pub(crate) fn unregister(&self, call: CallId) {
        self.mailboxes.borrow_mut().remove(&call);
    }

    /// The answer to a router's greeting.
    pub(crate) fn welcome(&self) -> Welcome {
        let state = self.state.lock();
        Welcome { name: self.settings.name.clone(), status: state.status() }
    }

    /// The refusal of a request that can be tried elsewhere at once.
    pub(crate) fn refusal(&self, kind: Kind) -> Refused {
        let status = self.state.lock().status();
        Refused { kind, retry_after_ms: 0, hints: Vec::new(), status }
    }

    /// Number of calls with a mailbox.
    pub(crate) fn open_calls(&self) -> usize {
        self.mailboxes.borrow().len()
    }

    /// Number of calls that the reducer counts as in flight.
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
