//! The state of a router and the events that concern the whole of it.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use intents::{Intent, Plan, Selector};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::Welcome;

use crate::choice::{Index, Upstreams};
use crate::loads::Peers;
use crate::outlook::{self, Outlook};
use crate::request::Request;
use crate::warmth::Warmth;
use crate::{Budget, Decision, Effect, Event, Host, Path, Settings, Upstream};

/// The label that names the pool an upstream belongs to.
pub(crate) const POOL: &str = "service";

/// The life of an upstream that is reached directly: its name stands for one
/// start only.
const DIRECT_LIFE: u64 = 1;

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
    /// Among how many routers the retry budget is divided.
    pub(crate) routers: usize,
    pub(crate) draining: bool,
    /// Where parts of prompts are warm; kept for direct upstreams only.
    pub(crate) warmth: Warmth,
    /// When the configuration in force was last known to be the newest.
    pub(crate) current: Option<Millis>,
    /// What other routers told of their own load.
    pub(crate) peers: Peers,
    /// What has come to be believed of upstreams while an event was taken.
    pub(crate) notices: Vec<Effect>,
    pub(crate) random: ChaCha8Rng,
}

impl State {
    /// A router that knows nothing yet; `seed` decides its jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let hops = Budget::new(settings.hop_share, settings.hop_burst);
        Self {
            settings,
            plan: None,
            upstreams: Upstreams::new(),
            index: Index::default(),
            requests: HashMap::new(),
            budgets: HashMap::new(),
            hops,
            means: HashMap::new(),
            routers: 1,
            draining: false,
            warmth: Warmth::default(),
            current: None,
            peers: Peers::default(),
            notices: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The configuration in force, if there is one.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
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
        let up = up || self.settings.path == Path::Direct;
        let proved = self.is_proved(self.settings.ready_ms, now);
        self.plan.is_some() && up && proved && !self.draining
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
        if kind == Kind::StaleConfiguration && self.others_are_current(now) {
            return self.settings.elsewhere_retry_after_ms;
        }
        self.settings.retry_after_ms(kind)
    }

    /// Takes one event and returns what is to be done about it.
    ///
    /// Effects of an event about one request all concern that request, apart
    /// from `Drained`, `Share`, `Suspect` and `Revive`.
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
            Event::Configure(plan) => self.configure(plan),
            Event::Current { at } => self.prove(at),
            Event::Routers(count) => self.divide(count),
            Event::Load { upstream, requests } => self.load(&upstream, requests, now),
            Event::Warm(warm) => self.warm(&warm, now),
            Event::Loads(loads) => {
                self.hear_loads(loads, now);
                Vec::new()
            }
            Event::Heard(heard) => {
                self.hear_others(&heard, now);
                Vec::new()
            }
            Event::Waited { id } => self.waited(id, now),
            Event::Drain => self.drain(),
        }
    }

    /// Requests under way keep what was decided on them.
    fn set(&mut self, settings: Settings) -> Vec<Effect> {
        self.settings = settings;
        self.change_budgets();
        self.index.clear();
        Vec::new()
    }

    /// A lower or equal generation changes nothing.
    fn configure(&mut self, plan: Arc<Plan>) -> Vec<Effect> {
        let current = self.plan.as_ref().map_or(0, |it| it.generation());
        if plan.generation() <= current {
            return Vec::new();
        }
        for upstream in self.upstreams.values_mut() {
            upstream.labels = plan.labels(&upstream.host.name, &upstream.host.labels);
        }
        self.plan = Some(plan);
        self.index.clear();
        Vec::new()
    }

    fn prove(&mut self, at: Millis) -> Vec<Effect> {
        self.current = self.current.max(Some(at));
        Vec::new()
    }

    /// The view on the pool of an intent's upstreams.
    pub(crate) fn outlook(&self, intent: &Intent, now: Millis) -> Outlook {
        let pool = intent.upstreams.iter().find_map(|it| match it {
            Selector::Equals { label, value } if &**label == POOL => Some(value),
            _ => None,
        });
        let mean = pool.and_then(|it| self.means.get(it)).copied().unwrap_or_default();
        #[expect(clippy::cast_precision_loss, reason = "fleets are small beside 2^53")]
        let routers = self.routers as f64;
        let known = self.peers.are_known(now);
        Outlook { path: self.settings.path, now, routers, mean, known }
    }

    /// The fixed part of the retry budget is divided among the routers.
    fn divide(&mut self, routers: usize) -> Vec<Effect> {
        self.routers = routers.max(1);
        self.change_budgets();
        Vec::new()
    }

    /// Puts the present settings in force for the budgets there are; nothing is
    /// given back that was spent.
    fn change_budgets(&mut self) {
        let (share, burst) = (self.settings.retry_share, self.burst());
        for budget in self.budgets.values_mut() {
            budget.change(share, burst);
        }
    }

    /// This router's part of the fixed retry budget.
    #[expect(clippy::cast_precision_loss, reason = "fleets are small beside 2^53")]
    pub(crate) fn burst(&self) -> f64 {
        self.settings.retry_burst / self.routers as f64
    }

    fn load(&mut self, upstream: &str, requests: u64, now: Millis) -> Vec<Effect> {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return Vec::new();
        };
        upstream.tell(requests, now);
        upstream.heard_load = Some((requests, now));
        let mean = self.means.entry(upstream.pool()).or_default();
        *mean = outlook::average(*mean, requests);
        Vec::new()
    }

    fn hosts(&mut self, hosts: Vec<Host>, now: Millis) -> Vec<Effect> {
        self.index.clear();
        let mut known = std::mem::take(&mut self.upstreams);
        for host in hosts {
            let labels = match &self.plan {
                Some(plan) => plan.labels(&host.name, &host.labels),
                None => host.labels.clone(),
            };
            let mut upstream = known
                .swap_remove(&host.name)
                .unwrap_or_else(|| Upstream::new(host.clone(), labels.clone()));
            upstream.list(host, labels);
            if self.settings.path == Path::Direct {
                upstream.connected = true;
                upstream.incarnation = DIRECT_LIFE;
            }
            self.upstreams.insert(upstream.host.name.clone(), upstream);
        }
        self.connects(now)
    }

    /// The connections to open next, a few at a time, so that a region that
    /// comes back is not met by all at once.
    fn connects(&self, now: Millis) -> Vec<Effect> {
        self.upstreams
            .values()
            .filter(|upstream| !upstream.connected && !upstream.is_suspect(now))
            .take(self.settings.connects)
            .map(|upstream| Effect::Connect {
                upstream: upstream.host.name.clone(),
                address: upstream.host.address.clone(),
            })
            .collect()
    }

    fn met(&mut self, welcome: &Welcome, now: Millis) -> Vec<Effect> {
        if let Some(upstream) = self.upstreams.get_mut(&welcome.name) {
            upstream.hear(welcome.status, now);
        }
        Vec::new()
    }

    pub(crate) fn alive(&mut self, upstream: &str) -> Vec<Effect> {
        if let Some(it) = self.upstreams.get_mut(upstream) {
            if it.suspect_until > Millis::ZERO {
                self.notices.push(Effect::Revive { upstream: it.host.name.clone() });
            }
            it.revive();
        }
        Vec::new()
    }

    fn missed(&mut self, upstream: &str, now: Millis) -> Vec<Effect> {
        self.suspect(upstream, now);
        Vec::new()
    }

    pub(crate) fn suspect(&mut self, upstream: &str, now: Millis) {
        let jitter = self.random.random::<f64>();
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.miss(&self.settings, jitter, now);
            self.notices.push(Effect::Suspect {
                upstream: upstream.host.name.clone(),
                failures: upstream.failures,
                until: upstream.suspect_until,
            });
        }
    }

    fn drain(&mut self) -> Vec<Effect> {
        self.draining = true;
        if self.requests.is_empty() { vec![Effect::Drained] } else { Vec::new() }
    }

    /// The current attempt is over: its load is no longer at its upstream. A
    /// sidecar tells its load itself.
    pub(crate) fn release(&mut self, id: u64) {
        if self.settings.path != Path::Direct {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(last) = request.tries.last_mut().filter(|it| !it.over) else { return };
        last.over = true;
        let weight = request.ask.weight;
        if let Some(upstream) = self.upstreams.get_mut(&last.upstream) {
            upstream.release(weight);
        }
    }

    /// Takes the request out and records its decision.
    pub(crate) fn close(
        &mut self,
        id: u64,
        error: Option<Kind>,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        self.release(id);
        let Some(mut request) = self.requests.remove(&id) else {
            return Vec::new();
        };
        if let Some(last) = request.tries.last_mut()
            && last.error.is_none()
        {
            last.error = error;
        }
        let decision = Decision {
            request: request.ask.request,
            workspace: request.ask.workspace,
            kind: request.ask.kind,
            model: request.ask.model,
            intent: Some(request.intent),
            generation: request.generation,
            proof_ms: request.proof_ms,
            status: request.status,
            came: request.came,
            ended: now,
            passed: request.passed,
            tries: request.tries,
            outcome: error.map_or(Outcome::Ran, |kind| kind.row().outcome),
            error,
            detail: detail.into(),
        };
        let mut effects = vec![Effect::Record(Arc::new(decision))];
        if self.draining && self.requests.is_empty() {
            effects.push(Effect::Drained);
        }
        effects
    }

    /// Ends the request with an error.
    ///
    /// An earlier attempt that may have run outweighs a later one that did not:
    /// the answer is the earlier one's.
    pub(crate) fn fail(
        &mut self,
        id: u64,
        kind: Kind,
        retry_after_ms: u64,
        detail: &str,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match kind.row().outcome {
            Outcome::NotRun => request.uncertain().unwrap_or(kind),
            Outcome::Unknown | Outcome::Ran => kind,
        };
        let retry_after_ms = retry_after_ms.max(self.retry_after_ms(kind, now));
        let answer = Effect::answer(kind, &request.ask.request, retry_after_ms, detail);
        let first = if request.is_answering() { Effect::Cut(answer) } else { Effect::Fail(answer) };
        let mut effects = vec![first];
        effects.extend(self.close(id, Some(kind), detail, now));
        effects
    }
}
