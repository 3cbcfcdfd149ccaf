//! State shared by the tasks of a router.

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
use process::Connections;
use routing::{Crash, Decision, Effect, Event, Owner, State, Unfinished};
use telemetry::{Metrics, Tracer};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{Notify, watch};
use wire::{
    Build, Delay, Demands, Frame, Hello, Loads, Observations, Outcome, PartCrash, PartRun,
    UpstreamCrash, WarmPrefixes,
};

use crate::bodies::Bodies;
use crate::clients::Clients;
use crate::collection::Collections;
use crate::crashes::Crashes;
use crate::decisions::Decisions;
use crate::fleet::Fleet;
use crate::peers::Peers;
use crate::permits::Permits;
use crate::query_client::QueryClient;
use crate::stream_records::StreamRecords;
use crate::streams::Streams;
use crate::{report, saturation, streams};

/// The service name in metrics and traces.
const SERVICE: &str = "silverstack-router";

const MAX_QUEUED_UPDATES: usize = 1_024;

/// Maximum number of prompt parts in one datagram about a crash.
const MAX_PART_RUNS: usize = 48;

/// How long a request waits for the first configuration after a start.
const FIRST_PLAN_TIMEOUT: Duration = Duration::from_millis(300);

/// The routing state and everything that carries out its effects.
pub(crate) struct Core {
    pub settings: Arc<settings::Router>,
    pub clock: Clock,
    pub links: Links,
    pub stop: process::Shutdown,
    /// The latest settings.
    pub reload: watch::Receiver<settings::Router>,
    pub store: Option<store::Store>,
    /// Set if the router runs on a platform and so reaches upstreams directly.
    clients: Option<Clients>,
    /// The other routers, as sources of the store's content.
    fleet: Fleet,
    /// Queries other routers.
    pub query_client: QueryClient,
    pub decisions: RefCell<Decisions>,
    directory_updates: Sender<Effect>,
    /// The connections of callers.
    pub connections: Connections,
    /// The bodies of requests.
    pub bodies: Bodies,
    /// The memory for parts of responses that can't be forwarded yet.
    pub collections: Rc<Collections>,
    /// Crashes that this router has observed.
    pub crashes: Crashes,
    /// Permits of saturated pools.
    pub permits: Permits,
    /// Lookups of streams at other routers.
    pub streams: Streams,
    /// Records of the streams that this router began.
    pub stream_records: StreamRecords,
    /// Notified when the platform's store was restored from an older copy.
    pub store_restored: Notify,
    pub metrics: Metrics,
    pub tracer: Tracer,
    state: RefCell<State>,
    /// Notified when the first configuration is applied.
    first_plan: Notify,
    started_at: Millis,
    request_count: Cell<u64>,
}

impl Core {
    /// Creates a router with `plan` as its configuration, if there is one yet, and the queue of
    /// directory updates to send. `clients` is set on a platform.
    pub(crate) async fn new(
        settings: Arc<settings::Router>,
        plan: Option<Arc<Plan>>,
        clients: Option<Clients>,
        stop: process::Shutdown,
        reload: watch::Receiver<settings::Router>,
    ) -> (Rc<Self>, Receiver<Effect>) {
        let clock = Clock::new();
        let started_at = clock.now();
        let mut state = State::new(settings.routing.clone(), started_at.0);
        if let Some(plan) = plan {
            state.apply(Event::Configure(plan), started_at);
        }
        let store = match &settings.store_url {
            Some(url) => store::Store::new(url).await.ok(),
            None => None,
        };
        let (directory_updates, queued_updates) = channel(MAX_QUEUED_UPDATES);
        let own_peer = own_peer(&settings, clients.as_ref());
        let hello = Hello { key: settings.link_key.clone(), name: settings.name.clone() };
        let core = Rc::new(Self {
            clock,
            links: links(&settings),
            stop,
            reload,
            store,
            clients,
            fleet: Fleet::new(own_peer, started_at),
            query_client: QueryClient::new(hello),
            decisions: RefCell::new(Decisions::new(settings.routing.decisions)),
            directory_updates,
            connections: Connections::new(settings.resources().connections()),
            bodies: bodies(&settings),
            collections: Rc::new(Collections::new(settings.resources().answer_bytes())),
            crashes: Crashes::default(),
            permits: Permits::default(),
            streams: Streams::default(),
            stream_records: StreamRecords::default(),
            store_restored: Notify::new(),
            metrics: Metrics::new(SERVICE),
            tracer: tracer(&settings),
            settings,
            state: RefCell::new(state),
            first_plan: Notify::new(),
            started_at,
            request_count: Cell::new(0),
        });
        (core, queued_updates)
    }

    /// Waits a short time for the first configuration; returns whether there is one.
    pub(crate) async fn wait_until_configured(&self) -> bool {
        if self.plan().is_some() {
            return true;
        }
        let _ = tokio::time::timeout(FIRST_PLAN_TIMEOUT, self.first_plan.notified()).await;
        self.plan().is_some()
    }

    /// Applies an event to the routing state, carries out the effects that concern the whole
    /// router, and returns those that concern one request.
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
                self.publish_warm(warm);
                false
            }
            Effect::Suspect { upstream, failures, reachable, until } => {
                let backoff = self.clock.now().until(*until);
                report::log_suspect(upstream, *failures, *reachable, backoff);
                false
            }
            Effect::Recovered { upstream } => {
                report::log_recovered(upstream);
                false
            }
            Effect::Leaving { upstream } => {
                self.metrics.record_change("upstream_leaves");
                report::log_leaving(upstream);
                false
            }
            Effect::Backoff { upstream, duration } => {
                self.metrics.record_change("upstream_rests");
                report::log_backoff(upstream, *duration);
                false
            }
            Effect::Check { upstream, address } => {
                self.crashes.check(upstream, address);
                false
            }
            Effect::Interrupted(interruption) => {
                report::log_interruption(interruption);
                false
            }
            Effect::ReportCrashes(crashes) => {
                report::log_crashes(crashes);
                self.broadcast_crash(crashes);
                self.crashes.add(crashes);
                false
            }
            Effect::ReportCleared(clearing) => {
                self.metrics.record_change("work_cleared");
                report::log_cleared(clearing);
                self.broadcast_cleared(clearing);
                self.crashes.clear(clearing);
                false
            }
            Effect::Release { pool, number, end, elapsed } => {
                self.permits.release(self, pool, *number, *end, *elapsed);
                false
            }
            Effect::PublishBeginning { beginning, intent } => {
                streams::publish(self, beginning);
                if self.settings.routing.mechanisms.saved_streams {
                    self.stream_records.add(beginning, intent, self.clock.now());
                }
                false
            }
            Effect::ReportSaturation { pool } => {
                self.permits.report_saturation(self, pool);
                false
            }
            Effect::Quarantine { fingerprint, duration } => {
                self.metrics.record_change("work_held_back");
                report::log_quarantine(*fingerprint, *duration);
                false
            }
            Effect::QuarantineParts { parts, duration } => {
                self.metrics.record_change("parts_held_back");
                report::log_part_quarantine(parts, *duration);
                false
            }
            Effect::ReleaseParts { parts } => {
                report::log_part_release(parts);
                false
            }
            _ => true,
        });
        effects
    }

    /// The other routers, where hints are exchanged with them.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.clients.as_ref()?.peers.as_ref()
    }

    /// The other routers, as sources of the store's content.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The upstreams of a pool that may be used, with their slots.
    pub(crate) fn available_slots(&self, pool: &str) -> Vec<(Arc<str>, u64)> {
        self.state.borrow().available_slots(pool, self.clock.now())
    }

    /// The build that began a stream, if this router keeps its record.
    pub(crate) fn find_stream(&self, stream: u64) -> Option<Build> {
        self.state.borrow().find_stream(stream, self.clock.now())
    }

    /// The builds that may have begun a stream which is still continued; `None` if this router may
    /// not know all of them.
    pub(crate) fn recent_builds(&self) -> Option<Vec<Build>> {
        self.state.borrow().recent_builds(self.clock.now())
    }

    /// Time since this router's start.
    pub(crate) fn uptime(&self) -> Millis {
        self.started_at.until(self.clock.now())
    }

    /// Whether the builds of some streams that are still continued can be known by records only.
    pub(crate) fn has_recorded_streams(&self) -> bool {
        self.state.borrow().has_recorded_streams(self.clock.now())
    }

    /// Whether the builds of streams of `intent` that are still continued can be known by records
    /// only.
    pub(crate) fn needs_records(&self, intent: &str) -> bool {
        self.state.borrow().needs_records(intent, self.clock.now())
    }

    /// Time since the configuration in force was last confirmed to be the newest.
    pub(crate) fn confirmation_age_ms(&self) -> Option<u64> {
        self.state.borrow().confirmation_age_ms(self.clock.now())
    }

    /// Sends warm prefixes to the other routers.
    fn publish_warm(&self, warm: &WarmPrefixes) {
        let peers = self.peers().filter(|_| self.settings.routing.mechanisms.hints);
        if let Some(peers) = peers {
            let bytes = peers.broadcast(Frame::WarmPrefixes(warm.clone()), self.clock.now());
            self.metrics.record_control("warm", bytes);
        }
    }

    /// Broadcasts crashes of an upstream, in addition to the report in the store, which may be
    /// unavailable.
    fn broadcast_crash(&self, crashes: &[Crash]) {
        let (Some(peers), Some(first)) = (self.peers(), crashes.first()) else { return };
        let upstream = &first.upstream;
        let works = crashes.iter().filter(|crash| !crash.is_of_part());
        let fingerprints: Vec<_> = works.map(|crash| crash.fingerprint).collect();
        let parts: Vec<_> = crashes.iter().filter_map(part_run).collect();
        let mut frames = Vec::new();
        if !fingerprints.is_empty() {
            let crash = UpstreamCrash { upstream: upstream.clone(), fingerprints };
            frames.push(Frame::UpstreamCrash(crash));
        }
        for runs in parts.chunks(MAX_PART_RUNS) {
            let crash = PartCrash { upstream: upstream.clone(), runs: runs.to_vec() };
            frames.push(Frame::PartCrash(crash));
        }
        for frame in frames {
            let bytes = peers.broadcast(frame, self.clock.now());
            self.metrics.record_control("ended", bytes);
        }
    }

    /// Broadcasts that work is cleared, in addition to the report in the store.
    fn broadcast_cleared(&self, clearing: &Crash) {
        if let Some(peers) = self.peers() {
            let cleared = vec![clearing.fingerprint];
            let frame = if clearing.is_of_part() {
                Frame::ClearedParts(cleared)
            } else {
                Frame::Cleared(cleared)
            };
            let bytes = peers.broadcast(frame, self.clock.now());
            self.metrics.record_control("cleared", bytes);
        }
    }

    /// This router's own load on its upstreams.
    pub(crate) fn loads(&self) -> Loads {
        self.state.borrow().loads(&self.settings.name, self.clock.now())
    }

    /// The known warm prefixes and the number of changes to them.
    pub(crate) fn warm_prefixes(&self) -> (u64, Vec<WarmPrefixes>) {
        self.state.borrow().warm_prefixes()
    }

    /// Takes unreported load observations.
    pub(crate) fn take_observations(&self) -> Observations {
        self.state.borrow_mut().take_observations(self.clock.now())
    }

    /// Takes unreported request outcomes.
    pub(crate) fn take_outcomes(&self) -> Vec<Outcome> {
        self.state.borrow_mut().take_outcomes()
    }

    /// Takes unreported paces of upstreams.
    pub(crate) fn take_paces(&self) -> Vec<wire::Pace> {
        self.state.borrow_mut().take_paces(self.clock.now())
    }

    /// Takes unreported queueing delays.
    pub(crate) fn take_delays(&self) -> Vec<Delay> {
        self.state.borrow_mut().take_delays()
    }

    /// This router's demand on saturated pools.
    pub(crate) fn demands(&self) -> Vec<Demands> {
        self.state.borrow().demands(&self.settings.name, self.clock.now())
    }

    /// The `Retry-After` of a refusal of `kind`, in milliseconds.
    pub(crate) fn retry_after_ms(&self, kind: Kind) -> u64 {
        self.state.borrow().retry_after_ms(kind, self.clock.now())
    }

    /// Whether callers should reconnect, so that another router serves them.
    pub(crate) fn should_reconnect(&self, kind: Kind) -> bool {
        let has_current_peer = || self.state.borrow().has_current_peer(self.clock.now());
        self.stop.is_requested() || (kind == Kind::StaleConfiguration && has_current_peer())
    }

    /// Whether the router runs on a platform and so reaches upstreams directly.
    pub(crate) fn is_direct(&self) -> bool {
        self.clients.is_some()
    }

    /// The adapter of the platform.
    ///
    /// # Panics
    ///
    /// The router does not run on a platform.
    pub(crate) fn edges(&self) -> &Adapter {
        &self.clients.as_ref().expect("only called on a platform").edges
    }

    /// The client for upstreams.
    ///
    /// # Panics
    ///
    /// The router does not run on a platform.
    pub(crate) fn client(&self) -> &Client {
        &self.clients.as_ref().expect("only called on a platform").client
    }

    /// Whether the configuration is recent enough to conclude that an unknown name does not exist.
    pub(crate) fn is_authoritative(&self) -> bool {
        self.state.borrow().is_confirmed_within(self.settings.routing.unknown_ms, self.clock.now())
    }

    /// Queues a directory update for sending; drops it if the queue is full.
    pub(crate) fn queue_update(&self, update: Effect) {
        let _ = self.directory_updates.try_send(update);
    }

    /// Counts, logs and stores the decision on a completed request.
    pub(crate) fn record(&self, decision: &Arc<Decision>, trace: &str) {
        let error: Option<&'static str> = decision.error.map(Into::into);
        let outcome: &'static str = decision.outcome.into();
        self.metrics.record_request(outcome, error);
        self.metrics.record_attempts(decision.tries.len());
        for is_same in decision.continuations() {
            self.metrics.record_continuation("router", if is_same { "same" } else { "other" });
        }
        if decision.continuation.is_some() {
            let version = if decision.binding.is_some() { "same" } else { "unknown" };
            self.metrics.record_continuation("caller", version);
        }
        if let Some(standing) = decision.standing {
            self.metrics.record_share_refusal(&decision.pool, standing.rank.name());
        }
        report::log_request(decision, trace);
        self.decisions.borrow_mut().insert(decision.clone());
    }

    /// Counts and logs a request that was refused before routing.
    pub(crate) fn reject(&self, request: &str, kind: Kind) {
        let error: &'static str = kind.into();
        self.metrics.record_request(kind.row().outcome.into(), Some(error));
        let state = self.state.borrow();
        let generation = state.plan().map_or(0, |plan| plan.generation());
        report::log_refusal(
            request,
            error,
            generation,
            state.confirmation_age_ms(self.clock.now()),
        );
    }

    /// Number and public id of a new request. The id contains the router's name, its start time and
    /// the number.
    pub(crate) fn next_id(&self) -> (u64, Arc<str>) {
        let number = self.request_count.get() + 1;
        self.request_count.set(number);
        let id = format!("{}-{:x}-{number:x}", self.settings.name, self.started_at.0);
        (number, id.into())
    }

    pub(crate) fn plan(&self) -> Option<Arc<Plan>> {
        self.state.borrow().plan().cloned()
    }

    /// Number of requests without a final answer.
    pub(crate) fn in_flight(&self) -> usize {
        self.state.borrow().in_flight()
    }

    /// The requests without a final answer.
    pub(crate) fn unfinished(&self) -> Vec<Unfinished> {
        self.state.borrow().unfinished(self.clock.now()).collect()
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.stop.is_requested() && self.state.borrow().is_ready(self.clock.now())
    }

    /// Chooses the owner of a new idempotency key.
    pub(crate) fn owner(&self, workspace: &str, kind: &str, seed: &str) -> Option<Owner> {
        self.state.borrow_mut().choose_owner(workspace, kind, seed, self.clock.now())
    }

    pub(crate) fn status(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.clock.now();
        let upstreams: Vec<_> = state
            .upstreams()
            .map(|upstream| {
                serde_json::json!({
                    "name": &**upstream.name(),
                    "incarnation": upstream.incarnation(),
                    "load": upstream.reported_load(),
                    "up": upstream.is_up(now),
                    "leaving": upstream.is_leaving(),
                    "rest_ms": upstream.backoff(now).0,
                })
            })
            .collect();
        serde_json::json!({
            "name": &*self.settings.name,
            "generation": state.plan().map_or(0, |plan| plan.generation()),
            "in_flight": state.in_flight(),
            "draining": self.stop.is_requested(),
            "evacuated": state.evacuated().collect::<Vec<_>>(),
            "upstreams": upstreams,
            "short": saturation::snapshot(&state, now),
            "places": self.permits.snapshot(now),
        })
    }
}

/// This router's own entry, as announced to others.
fn own_peer(settings: &settings::Router, clients: Option<&Clients>) -> Peer {
    Peer {
        name: settings.name.clone(),
        hints: clients.and_then(|clients| clients.peers.as_ref()).map(Peers::address),
        domain: settings.domain.clone(),
        strength: settings.direct.as_ref().map_or(0, |direct| direct.strength),
    }
}

/// The memory for bodies. On the way to a sidecar a body is held twice more: in the frame, and in the
/// frame's encoded form that is written.
fn bodies(settings: &settings::Router) -> Bodies {
    let copies = if settings.direct.is_some() { 1 } else { 3 };
    Bodies::new(settings.resources().request_bytes(), copies)
}

fn links(settings: &settings::Router) -> Links {
    let hello = Hello { key: settings.link_key.clone(), name: settings.name.clone() };
    Links::new(hello, Duration::from_millis(settings.connect_ms))
}

fn tracer(settings: &settings::Router) -> Tracer {
    match &settings.traces_url {
        Some(url) => Tracer::new(SERVICE, &settings.name, url),
        None => Tracer::disabled(),
    }
}

/// The prompt part of a crash and the run with it; `None` for a crash under work as a whole.
fn part_run(crash: &Crash) -> Option<PartRun> {
    let ran = crash.ran?;
    Some(PartRun { part: crash.fingerprint, ran_ms: ran.0 })
}
