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
use crate::beliefs::warmth::Warmth;
use crate::beliefs::word::Words;
use crate::choosing::choice::{Index, Upstreams};
use crate::recovery::quarantine::Quarantine;
use crate::recovery::stopping::{Durations, Stop};
use crate::requests::placing::Shorts;
use crate::requests::request::Request;
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
    pub(crate) budgets: HashMap<Arc<str>, Budget>,
    /// Hops after refusals over load, which did not run.
    pub(crate) hops: Budget,
    /// The mean load of each pool's upstreams, as answers tell it.
    pub(crate) means: HashMap<Arc<str>, f64>,
    /// What has passed through each pool.
    pub(crate) flows: BTreeMap<Arc<str>, Flow>,
    /// What is asked of each pool, and by whom.
    pub(crate) shares: Shares,
    /// Among how many routers the retry budget is divided.
    pub(crate) routers: usize,
    /// The failure domains that are to take nothing.
    pub(crate) evacuated: BTreeSet<Arc<str>>,
    /// The routers that share what cold upstreams bear.
    pub(crate) members: Members,
    /// Set once the router is to stop.
    pub(crate) stop: Option<Stop>,
    /// How long answers took lately.
    pub(crate) durations: Durations,
    /// Where parts of prompts are warm; kept for direct upstreams only.
    pub(crate) warmth: Warmth,
    /// When the configuration in force was last known to be the newest.
    pub(crate) current: Option<Millis>,
    /// Under what work upstreams ended.
    pub(crate) quarantine: Quarantine,
    /// What upstreams have said of themselves.
    pub(crate) words: Words,
    /// What other routers told of their own load.
    pub(crate) peers: Peers,
    /// The pools that are short of places.
    pub(crate) shorts: Shorts,
    /// What has come to be believed of upstreams while an event was taken.
    pub(crate) notices: Vec<Effect>,
    pub(crate) random: ChaCha8Rng,
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
            budgets: HashMap::new(),
            hops,
            means: HashMap::new(),
            flows: BTreeMap::new(),
            shares,
            routers: 1,
            evacuated: BTreeSet::new(),
            members: Members::default(),
            stop: None,
            durations: Durations::default(),
            warmth: Warmth::default(),
            current: None,
            quarantine: Quarantine::default(),
            words: Words::default(),
            peers: Peers::default(),
            shorts: Shorts::new(seed),
            notices: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
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
        let up = up || self.settings.path.trusts_the_list();
        let proved = self.is_proved(self.settings.ready_ms, now);
        self.plan.is_some() && up && proved && self.stop.is_none()
    }

    /// Whether the configuration in force is proved to have been the newest in
    /// the last `within` milliseconds; zero asks for no proof.
    pub fn is_proved(&self, within: u64, now: Millis) -> bool {
        within == 0 || self.current.is_some_and(|at| at.until(now).0 <= within)
    }

    /// How long ago the configuration in force was known to be the newest.
    pub fn proof_ms(&self, now: Millis) -> Option<u64> {
        self.current.map(|at| at.until(now).0)
    }

    /// When a caller that is refused for `kind` is told to come back at the earliest,
    /// in milliseconds.
    pub fn retry_after_ms(&self, kind: Kind, now: Millis) -> u64 {
        let elsewhere = matches!(kind, Kind::StaleConfiguration | Kind::Draining);
        if elsewhere && self.others_are_current(now) {
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
        let mut effects = self.take(event, now);
        effects.append(&mut self.notices);
        effects
    }

    fn take(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        match event {
            Event::Ask(ask) => self.ask(ask, now),
            Event::Bound { id, owner } => self.bound(id, owner.as_ref(), now),
            Event::Reply { id, attempt, reply } => self.reply(id, attempt, reply, now),
            Event::Lost { id, attempt, sent } => self.lost(id, attempt, sent, now),
            Event::Stalled { id, attempt } => self.stalled(id, attempt, now),
            Event::Quit { id } => self.quit(id, now),
            Event::Expire { id } => self.expire(id, now),
            Event::Hosts(hosts) => self.hosts(hosts, now),
            Event::Tick => self.connects(now),
            Event::Met(welcome) => self.met(&welcome, now),
            Event::Alive { upstream } => self.alive(&upstream),
            Event::Missed { upstream } => self.missed(&upstream, now),
            Event::Settings(settings) => self.set(*settings),
            Event::Configure(plan) => self.configure(plan, now),
            Event::Current { at } => self.prove(at),
            Event::Routers(count) => self.divide(count),
            Event::Members { own, announced } => {
                self.meet(own, announced, now);
                Vec::new()
            }
            Event::Evacuated(domains) => self.evacuate(domains, now),
            Event::Cold { upstream, left } => {
                self.chill(&upstream, left, now);
                Vec::new()
            }
            Event::Leaves { upstream } => {
                self.take_leave(&upstream, now);
                Vec::new()
            }
            Event::Rests { upstream, lasts } => {
                self.take_rest(&upstream, lasts, now);
                Vec::new()
            }
            Event::Load { upstream, requests, waiting } => {
                self.load(&upstream, requests, waiting, now)
            }
            Event::Pace { upstream, percent } => {
                self.hear_pace(&upstream, percent, now);
                Vec::new()
            }
            Event::Paces(paces) => {
                self.hear_paces(&paces, now);
                Vec::new()
            }
            Event::Warm(warm) => self.warm(&warm, now),
            Event::Loads(loads) => {
                self.hear_loads(loads, now);
                Vec::new()
            }
            Event::Heard(heard) => {
                self.hear_others(&heard, now);
                Vec::new()
            }
            Event::Outcomes(outcomes) => self.hear_outcomes(&outcomes, now),
            Event::Delays(delays) => self.hear_delays(&delays, now),
            Event::Demands(demands) => self.hear_demands(demands, now),
            Event::Crashes(crashes) => {
                self.learn_crashes(crashes, now);
                Vec::new()
            }
            Event::Checked { upstream, check } => self.checked(&upstream, check, now),
            Event::Waited { id } => self.waited(id, now),
            Event::Granted { id, number, upstream } => self.granted(id, number, &upstream, now),
            Event::Denied { id, number, after_ms } => self.denied(id, number, after_ms, now),
            Event::Unanswered { id, number } => self.unanswered(id, number, now),
            Event::Short { pool, lasts } => {
                self.shorts.hear(&pool, lasts, now);
                Vec::new()
            }
            Event::Drain { until } => self.drain(until),
        }
    }

    /// Requests under way keep what was decided on them.
    fn set(&mut self, settings: Settings) -> Vec<Effect> {
        self.shares.weigh(&settings.weights);
        self.settings = settings;
        self.change_budgets();
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
        self.deal(now);
        Vec::new()
    }

    fn prove(&mut self, at: Millis) -> Vec<Effect> {
        self.current = self.current.max(Some(at));
        Vec::new()
    }
}
