//! What the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Millis};
use edge::{Adapter, Peer};
use errors::Kind;
use intents::Plan;
use link::Links;
use outbound::Client;
use routing::{Crash, Decision, Effect, Event, Owner, State};
use telemetry::{Metrics, Tracer};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{Notify, watch};
use wire::{
    Delay, Demands, Frame, Hello, Loads, Observations, Outcome, UpstreamCrash, WarmPrefixes,
};

use crate::crashes::Crashes;
use crate::decisions::Decisions;
use crate::fleet::Fleet;
use crate::hearing::Hearing;
use crate::peers::Peers;
use crate::places::Places;
use crate::reach::Direct;
use crate::{report, shares};

/// The name of this kind of process in metrics and traces.
const SERVICE: &str = "silverstack-router";

/// The most notes that wait to be sent.
const MAX_NOTES: usize = 1_024;

/// How long a request waits for the first configuration. A router that starts
/// has it after 60 to 140 ms on the sites.
const FIRST_PLAN: Duration = Duration::from_millis(300);

/// The state of a router and its edges.
pub(crate) struct Core {
    pub settings: Arc<settings::Router>,
    pub clock: Clock,
    pub links: Links,
    pub stop: process::Stop,
    /// The settings as they were read last.
    pub reload: watch::Receiver<settings::Router>,
    pub store: Option<store::Store>,
    /// Set where upstreams are reached directly.
    direct: Option<Direct>,
    /// The other routers, as far as looks at the platform's store are shared with them.
    fleet: Fleet,
    /// Asks other routers.
    pub hearing: Hearing,
    pub decisions: RefCell<Decisions>,
    notes: Sender<Effect>,
    /// Under what work upstreams ended, as this router tells.
    pub crashes: Crashes,
    /// The places of pools that are short.
    pub places: Places,
    /// Tells that the platform's store has lost what was written there last.
    pub store_is_older: Notify,
    pub metrics: Metrics,
    pub tracer: Tracer,
    state: RefCell<State>,
    /// Tells those that wait for the first configuration.
    first_plan: Notify,
    started: Millis,
    requests: Cell<u64>,
}

impl Core {
    /// A router with `plan` in force, if there is one yet, and the notes that it
    /// wants sent. `direct` is set on a platform.
    pub(crate) async fn new(
        settings: Arc<settings::Router>,
        plan: Option<Arc<Plan>>,
        direct: Option<Direct>,
        stop: process::Stop,
        reload: watch::Receiver<settings::Router>,
    ) -> (Rc<Self>, Receiver<Effect>) {
        let clock = Clock::new();
        let started = clock.now();
        let mut state = State::new(settings.routing.clone(), started.0);
        if let Some(plan) = plan {
            state.apply(Event::Configure(plan), started);
        }
        let store = match &settings.store_url {
            Some(url) => store::Store::new(url).await.ok(),
            None => None,
        };
        let (notes, outbox) = channel(MAX_NOTES);
        let own = own(&settings, direct.as_ref());
        let hello = Hello { key: settings.link_key.clone(), name: settings.name.clone() };
        let core = Rc::new(Self {
            clock,
            links: links(&settings),
            stop,
            reload,
            store,
            direct,
            fleet: Fleet::new(own, started),
            hearing: Hearing::new(hello),
            decisions: RefCell::new(Decisions::new(settings.routing.decisions)),
            notes,
            crashes: Crashes::default(),
            places: Places::default(),
            store_is_older: Notify::new(),
            metrics: Metrics::new(SERVICE),
            tracer: tracer(&settings),
            settings,
            state: RefCell::new(state),
            first_plan: Notify::new(),
            started,
            requests: Cell::new(0),
        });
        (core, outbox)
    }

    /// Waits for the first configuration, for as long as one usually takes to
    /// come at a start; returns whether there is one.
    pub(crate) async fn configured(&self) -> bool {
        if self.plan().is_some() {
            return true;
        }
        let _ = tokio::time::timeout(FIRST_PLAN, self.first_plan.notified()).await;
        self.plan().is_some()
    }

    /// Takes an event to the reducer and returns the effects that concern one
    /// request; the end of a drain is carried out here.
    pub(crate) fn apply(&self, event: Event) -> Vec<Effect> {
        let configures = matches!(event, Event::Configure(_));
        let mut effects = self.state.borrow_mut().apply(event, self.clock.now());
        if configures {
            self.first_plan.notify_waiters();
        }
        effects.retain(|effect| match effect {
            Effect::Drained => {
                self.stop.finish();
                false
            }
            Effect::PublishPrefixes(warm) => {
                self.share(warm);
                false
            }
            Effect::Suspect { upstream, failures, reachable, until } => {
                let pause = self.clock.now().until(*until);
                report::suspected(upstream, *failures, *reachable, pause);
                false
            }
            Effect::Recovered { upstream } => {
                report::revived(upstream);
                false
            }
            Effect::Leaving { upstream } => {
                self.metrics.belief("upstream_leaves");
                report::leaves(upstream);
                false
            }
            Effect::Backoff { upstream, duration } => {
                self.metrics.belief("upstream_rests");
                report::rests(upstream, *duration);
                false
            }
            Effect::Check { upstream, address } => {
                self.crashes.check(upstream, address);
                false
            }
            Effect::ReportCrashes(crashes) => {
                report::crashed(crashes);
                self.tell_ended(crashes);
                self.crashes.add(crashes);
                false
            }
            Effect::ReportCleared(clearing) => {
                self.metrics.belief("work_cleared");
                report::cleared(clearing.fingerprint);
                self.tell_cleared(clearing.fingerprint);
                self.crashes.clear(clearing);
                false
            }
            Effect::Release { pool, number, end, elapsed: took } => {
                self.places.release(self, pool, *number, *end, *took);
                false
            }
            Effect::ReportSaturation { pool } => {
                self.places.runs_short(self, pool);
                false
            }
            Effect::Quarantine { fingerprint, duration } => {
                self.metrics.belief("work_held_back");
                report::held_back(*fingerprint, *duration);
                false
            }
            _ => true,
        });
        effects
    }

    /// The other routers, where hints are exchanged with them.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.direct.as_ref()?.peers.as_ref()
    }

    /// The other routers, as far as looks at the platform's store are shared with them.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The upstreams of a pool that may be sent to, and their slots.
    pub(crate) fn places_of(&self, pool: &str) -> Vec<(Arc<str>, u64)> {
        self.state.borrow().available_slots(pool, self.clock.now())
    }

    /// How old the proof is that the configuration in force is the newest.
    pub(crate) fn proof_ms(&self) -> Option<u64> {
        self.state.borrow().confirmation_age_ms(self.clock.now())
    }

    /// Tells the other routers where parts of prompts are warm.
    fn share(&self, warm: &WarmPrefixes) {
        let peers = self.peers().filter(|_| self.settings.routing.mechanisms.hints);
        if let Some(peers) = peers {
            let bytes = peers.tell(Frame::WarmPrefixes(warm.clone()), self.clock.now());
            self.metrics.control("warm", bytes);
        }
    }

    /// Tells the other routers of ends of an upstream, beside what is told through the store:
    /// a router that was stopped while the store was silent took two with it, and the work ended
    /// four more upstreams where three are allowed.
    fn tell_ended(&self, crashes: &[Crash]) {
        if let (Some(peers), Some(first)) = (self.peers(), crashes.first()) {
            let contents = crashes.iter().map(|it| it.fingerprint).collect();
            let ended = UpstreamCrash { upstream: first.upstream.clone(), fingerprints: contents };
            let bytes = peers.tell(Frame::UpstreamCrash(ended), self.clock.now());
            self.metrics.control("ended", bytes);
        }
    }

    /// Tells the other routers that work was answered in full, beside what is told through the
    /// store.
    fn tell_cleared(&self, content: u64) {
        if let Some(peers) = self.peers() {
            let bytes = peers.tell(Frame::Cleared(vec![content]), self.clock.now());
            self.metrics.control("cleared", bytes);
        }
    }

    /// This router's own load at its upstreams.
    pub(crate) fn loads(&self) -> Loads {
        self.state.borrow().loads(&self.settings.name, self.clock.now())
    }

    /// What is known of warm parts, and how often it has changed.
    pub(crate) fn warm_parts(&self) -> (u64, Vec<WarmPrefixes>) {
        self.state.borrow().warm_prefixes()
    }

    /// What answers have told of loads since this was asked last.
    pub(crate) fn heard(&self) -> Observations {
        self.state.borrow_mut().take_observations(self.clock.now())
    }

    /// How requests have ended since this was asked last.
    pub(crate) fn outcomes(&self) -> Vec<Outcome> {
        self.state.borrow_mut().take_outcomes()
    }

    /// What upstreams have told of their pace since this was asked last.
    pub(crate) fn paces(&self) -> Vec<wire::Pace> {
        self.state.borrow_mut().take_paces(self.clock.now())
    }

    /// How long requests have waited since this was asked last.
    pub(crate) fn delays(&self) -> Vec<Delay> {
        self.state.borrow_mut().take_delays()
    }

    /// What is asked of the pools that are short.
    pub(crate) fn demands(&self) -> Vec<Demands> {
        self.state.borrow().demands(&self.settings.name, self.clock.now())
    }

    /// When a caller that is refused for `kind` is told to come back, in milliseconds.
    pub(crate) fn retry_after_ms(&self, kind: Kind) -> u64 {
        self.state.borrow().retry_after_ms(kind, self.clock.now())
    }

    /// Whether callers are better served by another router, to which a new connection
    /// leads them.
    pub(crate) fn sends_away(&self, kind: Kind) -> bool {
        let elsewhere = || self.state.borrow().has_current_peer(self.clock.now());
        self.stop.is_asked() || (kind == Kind::StaleConfiguration && elsewhere())
    }

    /// Whether upstreams are reached directly.
    pub(crate) fn is_direct(&self) -> bool {
        self.direct.is_some()
    }

    /// The platform's edges.
    ///
    /// # Panics
    ///
    /// The router does not run on a platform.
    pub(crate) fn edges(&self) -> &Adapter {
        &self.direct.as_ref().expect("only called on a platform").edges
    }

    /// The client that reaches upstreams.
    ///
    /// # Panics
    ///
    /// The router does not run on a platform.
    pub(crate) fn client(&self) -> &Client {
        &self.direct.as_ref().expect("only called on a platform").client
    }

    /// Whether the configuration is new enough to say that something is
    /// unknown.
    pub(crate) fn knows_all(&self) -> bool {
        self.state.borrow().is_confirmed_within(self.settings.routing.unknown_ms, self.clock.now())
    }

    /// Hands a note to the task that sends them; nobody waits for it, and it is
    /// dropped while too many wait.
    pub(crate) fn tell(&self, note: Effect) {
        let _ = self.notes.try_send(note);
    }

    /// Counts, logs and keeps the decision on a request that has ended.
    pub(crate) fn record(&self, decision: &Arc<Decision>, trace: &str) {
        let error: Option<&'static str> = decision.error.map(Into::into);
        let outcome: &'static str = decision.outcome.into();
        self.metrics.request(outcome, error);
        self.metrics.attempts(decision.tries.len());
        if let Some(standing) = decision.standing {
            self.metrics.standing(&decision.pool, standing.rank.name());
        }
        report::ended(decision, trace);
        self.decisions.borrow_mut().keep(decision.clone());
    }

    /// Counts and logs a request that was refused before it was decided on.
    pub(crate) fn reject(&self, request: &str, kind: Kind) {
        let error: &'static str = kind.into();
        self.metrics.request(kind.row().outcome.into(), Some(error));
        let state = self.state.borrow();
        let generation = state.plan().map_or(0, |it| it.generation());
        report::refused(request, error, generation, state.confirmation_age_ms(self.clock.now()));
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
        self.state.borrow_mut().choose_owner(workspace, kind, seed, self.clock.now())
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
                    "leaving": it.is_leaving(),
                    "rest_ms": it.backoff(now).0,
                })
            })
            .collect();
        serde_json::json!({
            "name": &*self.settings.name,
            "generation": state.plan().map_or(0, |it| it.generation()),
            "in_flight": state.in_flight(),
            "draining": self.stop.is_asked(),
            "evacuated": state.evacuated().collect::<Vec<_>>(),
            "upstreams": upstreams,
            "short": shares::short(&state, now),
            "places": self.places.status(now),
        })
    }
}

/// This router as others know it.
fn own(settings: &settings::Router, direct: Option<&Direct>) -> Peer {
    Peer {
        name: settings.name.clone(),
        hints: direct.and_then(|it| it.peers.as_ref()).map(Peers::address),
        domain: settings.domain.clone(),
        strength: settings.direct.as_ref().map_or(0, |it| it.strength),
    }
}

fn links(settings: &settings::Router) -> Links {
    let hello = Hello { key: settings.link_key.clone(), name: settings.name.clone() };
    Links::new(hello, Duration::from_millis(settings.connect_ms))
}

fn tracer(settings: &settings::Router) -> Tracer {
    match &settings.traces_url {
        Some(url) => Tracer::new(SERVICE, &settings.name, url),
        None => Tracer::off(),
    }
}
