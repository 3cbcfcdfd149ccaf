//! The router's state and the events that concern all of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::Plan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use streams::{Builds, Ledger};

use crate::admission::{Flow, Lateness, Shares};
use crate::recovery::draining::Drain;
use crate::recovery::parts::Parts;
use crate::recovery::quarantine::Quarantine;
use crate::requests::permits::Saturation;
use crate::requests::request::Request;
use crate::requests::targets::Targets;
use crate::selection::candidates::{Index, Upstreams};
use crate::upstreams::cold::Members;
use crate::upstreams::loads::Peers;
use crate::upstreams::notices::Notices;
use crate::upstreams::prefix_index::PrefixIndex;
use crate::upstreams::trend::Trend;
use crate::upstreams::updates::labels;
use crate::{Budget, Effect, Event, Settings, Upstream};

/// State of a router's reducer.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) upstreams: Upstreams,
    pub(crate) index: Index,
    pub(crate) requests: HashMap<u64, Request>,
    /// Budgets for retries after failures, by pool.
    pub(crate) retry_budgets: HashMap<Arc<str>, Budget>,
    /// Budget for retries after refusals over load, where these are counted separately.
    pub(crate) hop_budget: Budget,
    /// Mean observed load of an upstream, by pool.
    pub(crate) mean_loads: HashMap<Arc<str>, f64>,
    /// How fast the load falls, by pool.
    pub(crate) trends: HashMap<Arc<str>, Trend>,
    /// Wait estimates and retry bookings, by pool.
    pub(crate) flows: BTreeMap<Arc<str>, Flow>,
    /// How late this router carries out its own work.
    pub(crate) lateness: Lateness,
    /// Demand by pool and workspace.
    pub(crate) shares: Shares,
    /// Routers that share the retry budgets.
    pub(crate) router_count: usize,
    /// Evacuated failure domains.
    pub(crate) evacuated: BTreeSet<Arc<str>>,
    /// Announced routers, which share the quotas of cold upstreams.
    pub(crate) members: Members,
    /// Set while the router drains.
    pub(crate) drain: Option<Drain>,
    /// Prompt prefixes cached at upstreams; only for upstreams reached directly.
    pub(crate) prefix_index: PrefixIndex,
    /// When the current configuration was last confirmed to be the newest.
    pub(crate) confirmed_at: Option<Millis>,
    /// Work under which upstreams crashed.
    pub(crate) quarantine: Quarantine,
    /// Prompt parts under which upstreams crashed.
    pub(crate) parts: Parts,
    /// Notices of upstreams that are leaving or asked for a backoff.
    pub(crate) upstream_notices: Notices,
    /// Loads reported by other routers.
    pub(crate) peers: Peers,
    /// The builds that may have begun a stream.
    pub(crate) builds: Builds,
    /// The intents with streams of several pools.
    pub(crate) targets: Targets,
    /// Which build began each recent stream.
    pub(crate) ledger: Ledger,
    /// Saturated pools.
    pub(crate) saturation: Saturation,
    /// Further effects of the current event, returned after its own.
    pub(crate) pending_effects: Vec<Effect>,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// Creates an empty state; `seed` determines its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let hop_budget = Budget::new(settings.hop_share, settings.hop_burst);
        let shares = Shares::new(&settings.weights);
        Self {
            settings,
            plan: None,
            upstreams: Upstreams::new(),
            index: Index::default(),
            requests: HashMap::new(),
            retry_budgets: HashMap::new(),
            hop_budget,
            mean_loads: HashMap::new(),
            trends: HashMap::new(),
            flows: BTreeMap::new(),
            lateness: Lateness::default(),
            shares,
            router_count: 1,
            evacuated: BTreeSet::new(),
            members: Members::default(),
            drain: None,
            prefix_index: PrefixIndex::default(),
            confirmed_at: None,
            quarantine: Quarantine::default(),
            parts: Parts::default(),
            upstream_notices: Notices::default(),
            peers: Peers::default(),
            builds: Builds::default(),
            targets: Targets::default(),
            ledger: Ledger::default(),
            saturation: Saturation::new(seed),
            pending_effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The current configuration, if any.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Generation of the current configuration; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.generation())
    }

    /// All known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether the router accepts new requests: it has a confirmed configuration and an upstream
    /// that is up, and is not draining.
    pub fn is_ready(&self, now: Millis) -> bool {
        let up = self.upstreams.values().any(|upstream| upstream.is_up(now));
        let up = up || self.settings.path.trusts_listing();
        let confirmed = self.is_confirmed_within(self.settings.ready_ms, now);
        self.plan.is_some() && up && confirmed && self.drain.is_none()
    }

    /// Whether the current configuration was confirmed to be the newest in the last `within`
    /// milliseconds; always true for zero.
    pub fn is_confirmed_within(&self, within: u64, now: Millis) -> bool {
        within == 0 || self.confirmed_at.is_some_and(|at| at.until(now).0 <= within)
    }

    /// Time since the current configuration was last confirmed, in milliseconds.
    pub fn confirmation_age_ms(&self, now: Millis) -> Option<u64> {
        self.confirmed_at.map(|at| at.until(now).0)
    }

    /// Shortest time after which a caller refused for `kind` may retry, in milliseconds.
    pub fn retry_after_ms(&self, kind: Kind, now: Millis) -> u64 {
        let may_retry_elsewhere = matches!(kind, Kind::StaleConfiguration | Kind::Draining);
        if may_retry_elsewhere && self.has_current_peer(now) {
            return self.settings.elsewhere_retry_after_ms;
        }
        self.settings.retry_after_ms(kind)
    }

    /// Applies an event and returns the resulting effects.
    ///
    /// Effects of an event about one request concern that request, except `Drained`,
    /// `PublishPrefixes`, `Suspect`, `Recovered`, `Leaving`, `Backoff`, `Check`, `Interrupted`,
    /// `ReportCrashes`, `ReportCleared`, `Quarantine`, `QuarantineParts`, `ReleaseParts`, `Release`,
    /// `ReportSaturation` and `PublishBeginning`.
    pub fn apply(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let mut effects = self.handle(event, now);
        effects.append(&mut self.pending_effects);
        effects
    }

    fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match event {
            Event::Arrival(arrival) => self.handle_arrival(arrival, now),
            Event::KeyBound { id, owner } => self.handle_key_bound(id, owner.as_ref(), now),
            Event::Reply { id, attempt, reply } => self.handle_reply(id, attempt, reply, now),
            Event::ConnectionFailed { id, attempt, sent } => {
                self.handle_connection_failure(id, attempt, sent, now)
            }
            Event::Stalled { id, attempt } => self.handle_stall(id, attempt, now),
            Event::Cancel { id } => self.cancel(id, now),
            Event::Expire { id } => self.expire(id, now),
            Event::Interrupt { id } => self.interrupt(id, now),
            Event::Hosts(hosts) => self.set_hosts(hosts, now),
            Event::ProbeStarted { due } => {
                self.lateness.start_probe(due);
                Vec::new()
            }
            Event::ProbeEnded => {
                self.lateness.end_probe(now);
                Vec::new()
            }
            Event::Tick => self.connect(now),
            Event::Connected(welcome) => self.record_connected(&welcome, now),
            Event::Alive { upstream } => self.record_alive(&upstream),
            Event::Unreachable { upstream } => self.record_unreachable(&upstream, now),
            Event::Settings(settings) => self.update_settings(*settings),
            Event::Configure(plan) => self.configure(plan, now),
            Event::ConfigurationConfirmed { at } => self.confirm_configuration(at),
            Event::RouterCount(count) => self.set_router_count(count),
            Event::Members { own, announced } => {
                self.update_members(own, announced, now);
                Vec::new()
            }
            Event::Evacuated(domains) => self.set_evacuated(domains, now),
            Event::Cold { upstream, remaining } => {
                self.mark_cold(&upstream, remaining, now);
                Vec::new()
            }
            Event::Leaving { upstream } => {
                self.record_leaving(&upstream, now);
                Vec::new()
            }
            Event::Backoff { upstream, duration } => {
                self.record_backoff(&upstream, duration, now);
                Vec::new()
            }
            Event::Load { upstream, requests, waiting } => {
                self.record_load(&upstream, requests, waiting, now)
            }
            Event::Pace { upstream, percent } => {
                self.record_pace(&upstream, percent, now);
                Vec::new()
            }
            Event::Paces(paces) => {
                self.receive_paces(&paces, now);
                Vec::new()
            }
            Event::WarmPrefixes(warm) => self.receive_prefixes(&warm, now),
            Event::Loads(loads) => {
                self.receive_loads(loads, now);
                Vec::new()
            }
            Event::Observations(observations) => {
                self.receive_observations(&observations, now);
                Vec::new()
            }
            Event::Outcomes(outcomes) => self.receive_outcomes(&outcomes, now),
            Event::Delays(delays) => self.receive_delays(&delays, now),
            Event::Demands(demands) => self.receive_demands(demands, now),
            Event::Crashes(crashes) => {
                self.record_crashes(crashes, now);
                Vec::new()
            }
            Event::Checked { upstream, check } => self.record_liveness(&upstream, check, now),
            Event::Due { id } => self.handle_due(id, now),
            Event::Granted { id, number, upstream } => {
                self.handle_granted(id, number, &upstream, now)
            }
            Event::Denied { id, number, after_ms } => self.handle_denied(id, number, after_ms, now),
            Event::Unanswered { id, number } => self.handle_unanswered(id, number, now),
            Event::Saturated { pool, duration } => {
                self.saturation.record(&pool, duration, now);
                Vec::new()
            }
            Event::Builds(builds) => {
                self.builds.restore(builds, now);
                Vec::new()
            }
            Event::Begun(beginning) => {
                self.receive_beginning(&beginning, now);
                Vec::new()
            }
            Event::Found { id, lookup } => self.handle_found(id, lookup, now),
            Event::Drain { until } => self.drain(until),
        }
    }

    /// Replaces the settings; requests in flight keep earlier decisions.
    fn update_settings(&mut self, settings: Settings) -> Vec<Effect> {
        self.shares.set_weights(&settings.weights);
        self.settings = settings;
        self.update_budgets();
        self.index.clear();
        Vec::new()
    }

    /// Replaces the configuration unless its generation is not newer.
    fn configure(&mut self, plan: Arc<Plan>, now: Millis) -> Vec<Effect> {
        if plan.generation() <= self.generation() {
            return Vec::new();
        }
        for upstream in self.upstreams.values_mut() {
            upstream.labels = labels(Some(&plan), &upstream.host, &self.settings);
        }
        self.targets.update(self.plan.as_deref(), &plan, now);
        self.plan = Some(plan);
        self.index.clear();
        // Labels of the configuration may name the pool.
        self.record_builds(now);
        self.allocate_quotas(now);
        Vec::new()
    }

    fn confirm_configuration(&mut self, at: Millis) -> Vec<Effect> {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        Vec::new()
    }
}
