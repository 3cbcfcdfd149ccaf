//! The state of a router and the events that concern the whole of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::Plan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::{Flow, Shares};
use crate::beliefs::cold::Members;
use crate::beliefs::fleet::labels;
use crate::beliefs::loads::Peers;
use crate::beliefs::warmth::PrefixIndex;
use crate::beliefs::word::Notices;
use crate::recovery::quarantine::Quarantine;
use crate::recovery::stopping::{Drain, Durations};
use crate::requests::permits::Saturation;
use crate::requests::request::Request;
use crate::selection::candidates::{Index, Upstreams};
use crate::{Budget, Effect, Event, Settings, Upstream};

/// Everything that a router knows.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) upstreams: Upstreams,
    pub(crate) index: Index,
    pub(crate) requests: HashMap<u64, Request>,
    /// Retries after faults, for each pool of upstreams.
    pub(crate) retry_budgets: HashMap<Arc<str>, Budget>,
    /// Hops after refusals over load, which did not run.
    pub(crate) hop_budget: Budget,
    /// The mean load of each pool's upstreams, as answers tell it.
    pub(crate) mean_loads: HashMap<Arc<str>, f64>,
    /// What has passed through each pool.
    pub(crate) flows: BTreeMap<Arc<str>, Flow>,
    /// What is asked of each pool, and by whom.
    pub(crate) shares: Shares,
    /// Among how many routers the retry budget is divided.
    pub(crate) router_count: usize,
    /// The failure domains that are to take nothing.
    pub(crate) evacuated: BTreeSet<Arc<str>>,
    /// The routers that share what cold upstreams bear.
    pub(crate) members: Members,
    /// Set once the router is to stop.
    pub(crate) drain: Option<Drain>,
    /// How long answers took lately.
    pub(crate) durations: Durations,
    /// Where parts of prompts are warm; kept for direct upstreams only.
    pub(crate) prefix_index: PrefixIndex,
    /// When the configuration in force was last known to be the newest.
    pub(crate) confirmed_at: Option<Millis>,
    /// Under what work upstreams ended.
    pub(crate) quarantine: Quarantine,
    /// What upstreams have said of themselves.
    pub(crate) upstream_notices: Notices,
    /// What other routers told of their own load.
    pub(crate) peers: Peers,
    /// The pools that are short of places.
    pub(crate) saturation: Saturation,
    /// What has come to be believed of upstreams while an event was taken.
    pub(crate) pending_effects: Vec<Effect>,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// A router that knows nothing yet; `seed` decides its jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let hops = Budget::new(settings.hop_share, settings.hop_burst);
        let shares = Shares::new(&settings.weights);
        Self {
            settings,
            plan: None,
            upstreams: Upstreams::new(),
            index: Index::default(),
            requests: HashMap::new(),
            retry_budgets: HashMap::new(),
            hop_budget: hops,
            mean_loads: HashMap::new(),
            flows: BTreeMap::new(),
            shares,
            router_count: 1,
            evacuated: BTreeSet::new(),
            members: Members::default(),
            drain: None,
            durations: Durations::default(),
            prefix_index: PrefixIndex::default(),
            confirmed_at: None,
            quarantine: Quarantine::default(),
            upstream_notices: Notices::default(),
            peers: Peers::default(),
            saturation: Saturation::new(seed),
            pending_effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The configuration in force, if there is one.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// The generation of the configuration in force; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.plan.as_ref().map_or(0, |it| it.generation())
    }

    /// The upstreams known, by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// How many requests have not got their final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether new requests may be sent here: a configuration is in force, an
    /// upstream is up, and the router is not stopping.
    pub fn is_ready(&self, now: Millis) -> bool {
        let up = self.upstreams.values().any(|upstream| upstream.is_up(now));
        let up = up || self.settings.path.trusts_listing();
        let proved = self.is_confirmed_within(self.settings.ready_ms, now);
        self.plan.is_some() && up && proved && self.drain.is_none()
    }

    /// Whether the configuration in force is proved to have been the newest in
    /// the last `within` milliseconds; zero asks for no proof.
    pub fn is_confirmed_within(&self, within: u64, now: Millis) -> bool {
        within == 0 || self.confirmed_at.is_some_and(|at| at.until(now).0 <= within)
    }

    /// How long ago the configuration in force was known to be the newest.
    pub fn confirmation_age_ms(&self, now: Millis) -> Option<u64> {
        self.confirmed_at.map(|at| at.until(now).0)
    }

    /// When a caller that is refused for `kind` is told to come back at the earliest,
    /// in milliseconds.
    pub fn retry_after_ms(&self, kind: Kind, now: Millis) -> u64 {
        let elsewhere = matches!(kind, Kind::StaleConfiguration | Kind::Draining);
        if elsewhere && self.has_current_peer(now) {
            return self.settings.elsewhere_retry_after_ms;
        }
        self.settings.retry_after_ms(kind)
    }

    /// Takes one event and returns what is to be done about it.
    ///
    /// Effects of an event about one request all concern that request, apart
    /// from `Drained`, `Share`, `Suspect`, `Revive`, `Leave`, `Rest`, `Check`, `Report`, `Clear`,
    /// `HoldBack`, `Release` and `RunsShort`.
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
            Event::Hosts(hosts) => self.set_hosts(hosts, now),
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
            Event::WaitElapsed { id } => self.handle_wait_elapsed(id, now),
            Event::Granted { id, number, upstream } => {
                self.handle_granted(id, number, &upstream, now)
            }
            Event::Denied { id, number, after_ms } => self.handle_denied(id, number, after_ms, now),
            Event::Unanswered { id, number } => self.handle_unanswered(id, number, now),
            Event::Saturated { pool, duration } => {
                self.saturation.record(&pool, duration, now);
                Vec::new()
            }
            Event::Drain { until } => self.drain(until),
        }
    }

    /// Requests under way keep what was decided on them.
    fn update_settings(&mut self, settings: Settings) -> Vec<Effect> {
        self.shares.set_weights(&settings.weights);
        self.settings = settings;
        self.update_budgets();
        self.index.clear();
        Vec::new()
    }

    /// A lower or equal generation changes nothing.
    fn configure(&mut self, plan: Arc<Plan>, now: Millis) -> Vec<Effect> {
        if plan.generation() <= self.generation() {
            return Vec::new();
        }
        for upstream in self.upstreams.values_mut() {
            upstream.labels = labels(Some(&plan), &upstream.host, &self.settings);
        }
        self.plan = Some(plan);
        self.index.clear();
        self.allocate_quotas(now);
        Vec::new()
    }

    fn confirm_configuration(&mut self, at: Millis) -> Vec<Effect> {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        Vec::new()
    }
}
