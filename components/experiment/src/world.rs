//! Routers, sidecars and engines, and the frames between them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use admission::Peer;
use bytes::Bytes;
use clock::Millis;
use intents::Plan;
use placement::{Bound, Pool};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::Ask;
use wire::{Frame, Open};

use crate::cache::Cache;
use crate::queue::Queue;
use crate::{document, hosts};

/// How often a sidecar is told that time passed, in milliseconds.
const TICK_MS: u64 = 20;

/// The tokens of a chat's context in a cache.
const CHAT_TOKENS: u64 = 500;

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Sidecars, each with an engine.
    pub sidecars: usize,
    /// One way between any two hosts, in milliseconds.
    pub delay_ms: u64,
    /// The tokens that an engine makes a second for one request.
    pub tokens_per_second: u64,
    /// The tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// One engine after the other vanishes and returns cold, if at all.
    pub churn: Option<Churn>,
    /// What is lost on the way, if anything.
    pub loss: Option<Loss>,
    /// The routers' settings.
    pub routing: routing::Settings,
    /// The sidecars' settings.
    pub admission: admission::Settings,
}

/// Sidecars that vanish at one moment, with their engines.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Every so manyth sidecar vanishes.
    pub every: usize,
    /// When the platform's list shows it, in milliseconds after.
    pub list_lag_ms: u64,
}

/// A rolling restart without end: engines vanish in turn and return cold.
#[derive(Clone, Copy, Debug)]
pub struct Churn {
    /// From one vanishing to the next, in milliseconds.
    pub every_ms: u64,
    /// How long an engine is gone, in milliseconds.
    pub gone_ms: u64,
    /// When the platform's list shows a change, in milliseconds after.
    pub list_lag_ms: u64,
}

/// The requests of one workspace.
#[derive(Clone, Debug)]
pub struct Load {
    /// The workspace.
    pub workspace: usize,
    /// When they begin, in milliseconds.
    pub from_ms: u64,
    /// When they end, in milliseconds.
    pub until_ms: u64,
    /// Requests a second.
    pub rate: f64,
    /// How many chats they belong to.
    pub chats: u64,
    /// The least weight of a request, in tokens.
    pub least: u64,
    /// The greatest weight of a request, in tokens.
    pub greatest: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Outcome {
    /// Requests that came.
    pub asked: u64,
    /// Requests that were answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// The worst ratio of an engine's load, just after an admission, to what
    /// the rule allows with the true load of the pool.
    pub worst_over_rule: f64,
    /// The same in 999 of 1,000 admissions.
    pub p999_over_rule: f64,
    /// The worst ratio of an engine's load to the pool's true mean, while the
    /// mean is above the floor.
    pub worst_skew: f64,
    /// Tokens of chats that came back.
    pub returning: u64,
    /// Those of them whose chat was in the cache of the engine that ran them.
    pub found: u64,
    /// Those of them whose chat was in the cache of that or another engine that
    /// could have run them under the bound.
    pub findable: u64,
    /// Notes of where a chat is.
    pub notes: u64,
    /// Bytes of load reports and their answers.
    pub report_bytes: u64,
    /// Load reports that the busiest sidecar took.
    pub busiest_reports: u64,
    /// Simulated seconds.
    pub seconds: f64,
}

enum Event {
    Arrive(usize),
    Tick(usize),
    ToSidecar { router: usize, id: u64, attempt: u32, sidecar: usize, open: Box<Open> },
    ToRouter { router: usize, id: u64, attempt: u32, frame: Frame },
    Ended { sidecar: usize, call: u64 },
    Report { sidecar: usize, from: usize, report: wire::Report },
    Pool { sidecar: usize, pool: Pool, sum: bool },
    Lost { router: usize, id: u64, attempt: u32, sent: bool },
    Vanish,
    Restart(usize),
    Return(usize),
    List,
    Note { sidecar: usize, note: wire::Note },
}

/// Where a call's frames go.
#[derive(Clone, Copy)]
struct Origin {
    router: usize,
    id: u64,
    attempt: u32,
}

/// A fleet of reducers.
pub struct World {
    setup: Setup,
    loads: Vec<Load>,
    routers: Vec<routing::State>,
    sidecars: Vec<admission::State>,
    by_name: HashMap<Arc<str>, usize>,
    origins: HashMap<(usize, u64), Origin>,
    queue: Queue<Event>,
    random: ChaCha8Rng,
    now: Millis,
    next_id: u64,
    next_call: u64,
    outcome: Outcome,
    over_rule: Vec<f64>,
    gone: Vec<bool>,
    reports: Vec<u64>,
    caches: Vec<Cache>,
    chats: HashMap<u64, u64>,
    seen: HashSet<u64>,
    lives: Vec<u64>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    /// A fleet in which every router has met every sidecar.
    ///
    /// # Panics
    ///
    /// Never: the document is right.
    pub fn new(setup: Setup, loads: Vec<Load>) -> Self {
        let workspaces = loads.iter().map(|it| it.workspace + 1).max().unwrap_or(1);
        let plan = Arc::new(Plan::compile(document(1, workspaces, 1)).expect("it is right"));
        let list = hosts(setup.sidecars, 1, 3);
        let peers: Vec<_> = list
            .iter()
            .map(|it| Peer { name: it.name.clone(), address: it.address.clone() })
            .collect();
        let mut sidecars: Vec<_> = peers
            .iter()
            .map(|own| admission::State::new(setup.admission.clone(), own.clone(), 1))
            .collect();
        for sidecar in &mut sidecars {
            sidecar.apply(admission::Event::Peers(peers.clone()), Millis::ZERO);
        }
        let mut routers: Vec<_> = (0..setup.routers)
            .map(|place| routing::State::new(setup.routing.clone(), place as u64))
            .collect();
        for router in &mut routers {
            router.apply(routing::Event::Configure(plan.clone()), Millis::ZERO);
            router.apply(routing::Event::Hosts(list.clone()), Millis::ZERO);
            for (peer, sidecar) in peers.iter().zip(&sidecars) {
                let welcome = wire::Welcome { name: peer.name.clone(), vitals: sidecar.vitals() };
                router.apply(routing::Event::Met(welcome), Millis::ZERO);
            }
        }
        let by_name =
            peers.iter().enumerate().map(|(place, it)| (it.name.clone(), place)).collect();
        let random = ChaCha8Rng::seed_from_u64(setup.seed);
        let setup_sidecars = setup.sidecars;
        let mut world = Self {
            setup,
            loads,
            routers,
            sidecars,
            by_name,
            origins: HashMap::new(),
            queue: Queue::new(),
            random,
            now: Millis::ZERO,
            next_id: 0,
            next_call: 0,
            outcome: Outcome::default(),
            over_rule: Vec::new(),
            gone: vec![false; setup_sidecars],
            reports: vec![0; setup_sidecars],
            caches: vec![Cache::default(); setup_sidecars],
            chats: HashMap::new(),
            seen: HashSet::new(),
            lives: vec![1; setup_sidecars],
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for place in 0..self.sidecars.len() {
            let at = self.random.random_range(0..TICK_MS);
            self.queue.add(Millis(at), Event::Tick(place));
        }
        if let Some(churn) = self.setup.churn {
            self.queue.add(Millis(churn.every_ms), Event::Restart(0));
        }
        if let Some(loss) = self.setup.loss {
            self.queue.add(Millis(loss.at_ms), Event::Vanish);
            self.queue.add(Millis(loss.at_ms + loss.list_lag_ms), Event::List);
        }
        for place in 0..self.loads.len() {
            self.queue.add(Millis(self.loads[place].from_ms), Event::Arrive(place));
        }
    }

    /// Runs until `end_ms` and returns what came of it.
    pub fn run(mut self, end_ms: u64) -> Outcome {
        while let Some((at, event)) = self.queue.pop() {
            if at.0 > end_ms {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.over_rule.sort_by(f64::total_cmp);
        let place = self.over_rule.len() * 999 / 1000;
        self.outcome.p999_over_rule = self.over_rule.get(place).copied().unwrap_or(0.0);
        self.outcome.seconds = seconds(end_ms);
        self.outcome.busiest_reports = self.reports.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        if self.is_for_gone(&event) {
            return;
        }
        match event {
            Event::Arrive(load) => self.arrive(load),
            Event::Tick(sidecar) => {
                self.queue.add(self.now + Millis(TICK_MS), Event::Tick(sidecar));
                self.apply_sidecar(sidecar, admission::Event::Tick);
            }
            Event::ToSidecar { router, id, attempt, sidecar, open } => {
                self.next_call += 1;
                let call = self.next_call;
                self.origins.insert((sidecar, call), Origin { router, id, attempt });
                let before = self.sidecars[sidecar].load();
                let weight = open.weight;
                self.apply_sidecar(sidecar, admission::Event::Open { call, open: *open });
                if self.sidecars[sidecar].load() > before {
                    self.measure(sidecar, weight);
                }
            }
            Event::ToRouter { router, id, attempt, frame } => {
                let event = routing::Event::Reply { id, attempt, reply: frame.into() };
                self.apply_router(router, id, event);
            }
            Event::Ended { sidecar, call } => {
                self.keep(sidecar, call);
                let headers = Vec::new();
                let head = admission::Event::Head { call, status: 200, headers };
                self.apply_sidecar(sidecar, head);
                self.apply_sidecar(sidecar, admission::Event::Ended { call });
            }
            Event::Report { sidecar, from, report } => {
                self.next_call += 1;
                let call = self.next_call;
                let attempt = u32::from(report.sum);
                let origin = Origin { router: usize::MAX, id: from as u64, attempt };
                self.origins.insert((sidecar, call), origin);
                self.reports[sidecar] += 1;
                self.apply_sidecar(sidecar, admission::Event::Report { call, report });
            }
            Event::Lost { router, id, attempt, sent } => {
                self.apply_router(router, id, routing::Event::Lost { id, attempt, sent });
            }
            Event::Vanish => {
                for place in (0..self.gone.len()).step_by(self.setup.loss.map_or(1, |it| it.every))
                {
                    self.vanish(place);
                }
            }
            Event::Restart(place) => self.restart(place),
            Event::Return(place) => self.come_back(place),
            Event::Note { sidecar, note } => {
                self.apply_sidecar(sidecar, admission::Event::Note(note));
            }
            Event::List => self.list(),
            Event::Pool { sidecar, pool, sum } => {
                self.apply_sidecar(sidecar, admission::Event::Pool { pool, sum });
            }
        }
    }

    /// Whether the event is for a sidecar that has vanished; a router hears of
    /// what it sent there.
    fn is_for_gone(&mut self, event: &Event) -> bool {
        let sidecar = match event {
            Event::ToSidecar { sidecar, .. }
            | Event::Ended { sidecar, .. }
            | Event::Report { sidecar, .. }
            | Event::Pool { sidecar, .. }
            | Event::Note { sidecar, .. }
            | Event::Tick(sidecar) => *sidecar,
            _ => return false,
        };
        let gone = self.gone[sidecar];
        if let (true, Event::ToSidecar { router, id, attempt, .. }) = (gone, event) {
            let (router, id, attempt) = (*router, *id, *attempt);
            let event = Event::Lost { router, id, attempt, sent: false };
            self.queue.add(self.later(), event);
        }
        gone
    }

    fn vanish(&mut self, lost: usize) {
        self.gone[lost] = true;
        let mut origins: Vec<_> = self.origins.extract_if(|(place, _), _| *place == lost).collect();
        origins.sort_unstable_by_key(|((_, call), _)| *call);
        for (_, Origin { router, id, attempt }) in origins {
            if router != usize::MAX {
                let event = Event::Lost { router, id, attempt, sent: true };
                self.queue.add(self.later(), event);
            }
        }
    }

    /// One step of a rolling restart.
    fn restart(&mut self, place: usize) {
        let Some(churn) = self.setup.churn else { return };
        self.vanish(place);
        let next = (place + 1) % self.gone.len();
        self.queue.add(self.now + Millis(churn.list_lag_ms), Event::List);
        self.queue.add(self.now + Millis(churn.gone_ms), Event::Return(place));
        self.queue.add(self.now + Millis(churn.every_ms), Event::Restart(next));
    }

    /// The engine and its sidecar are there again, and know nothing.
    fn come_back(&mut self, place: usize) {
        let lag = self.setup.churn.map_or(0, |it| it.list_lag_ms);
        self.gone[place] = false;
        self.lives[place] += 1;
        self.caches[place] = Cache::default();
        let host = hosts(self.setup.sidecars, 1, 3).swap_remove(place);
        let own = Peer { name: host.name.clone(), address: host.address };
        self.sidecars[place] =
            admission::State::new(self.setup.admission.clone(), own, self.lives[place]);
        self.queue.add(self.now + Millis(TICK_MS), Event::Tick(place));
        self.queue.add(self.now + Millis(lag), Event::List);
    }

    /// The platform's list shows who is left.
    fn list(&mut self) {
        let mut list = hosts(self.setup.sidecars, 1, 3);
        let mut place = 0;
        list.retain(|_| {
            place += 1;
            !self.gone[place - 1]
        });
        let peers: Vec<_> = list
            .iter()
            .map(|it| Peer { name: it.name.clone(), address: it.address.clone() })
            .collect();
        let welcomes: Vec<_> = peers
            .iter()
            .map(|it| (it.name.clone(), self.sidecars[self.by_name[&it.name]].vitals()))
            .collect();
        for router in &mut self.routers {
            router.apply(routing::Event::Hosts(list.clone()), self.now);
            for (name, vitals) in &welcomes {
                let welcome = wire::Welcome { name: name.clone(), vitals: *vitals };
                router.apply(routing::Event::Met(welcome), self.now);
            }
        }
        for place in 0..self.sidecars.len() {
            if !self.gone[place] {
                self.apply_sidecar(place, admission::Event::Peers(peers.clone()));
            }
        }
    }

    fn arrive(&mut self, place: usize) {
        let load = self.loads[place].clone();
        if self.now.0 >= load.until_ms {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / load.rate * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a gap is a few seconds"
        )]
        let gap = gap.round() as u64;
        self.queue.add(self.now + Millis(gap), Event::Arrive(place));
        self.next_id += 1;
        let chat = self.random.random_range(0..load.chats);
        self.chats.insert(self.next_id, chat << 8 | load.workspace as u64);
        let ask = Ask {
            id: self.next_id,
            request: format!("r{}", self.next_id).into(),
            workspace: format!("workspace-{}", load.workspace).into(),
            kind: "chat".into(),
            model: Some("model-0".into()),
            chat: format!("chat-{chat}").into(),
            once: None,
            weight: self.random.random_range(load.least..=load.greatest),
            deadline: None,
        };
        self.outcome.asked += 1;
        let router = self.random.random_range(0..self.routers.len());
        let id = ask.id;
        let effects = self.routers[router].apply(routing::Event::Ask(ask), self.now);
        self.carry_out(router, id, effects);
    }

    fn apply_router(&mut self, router: usize, id: u64, event: routing::Event) {
        let effects = self.routers[router].apply(event, self.now);
        self.carry_out(router, id, effects);
    }

    fn carry_out(&mut self, router: usize, id: u64, effects: Vec<routing::Effect>) {
        for effect in effects {
            match effect {
                routing::Effect::Send(attempt) => {
                    self.outcome.attempts += 1;
                    let open = Box::new(open(id, &attempt));
                    let sidecar = self.by_name[&attempt.upstream];
                    let attempt = attempt.number;
                    let event = Event::ToSidecar { router, id, attempt, sidecar, open };
                    self.queue.add(self.later(), event);
                }
                routing::Effect::Note { upstream, note, .. } => {
                    self.outcome.notes += 1;
                    let sidecar = self.by_name[&upstream];
                    self.queue.add(self.later(), Event::Note { sidecar, note });
                }
                routing::Effect::Finish => self.outcome.answered += 1,
                routing::Effect::Fail(_) | routing::Effect::Cut(_) => self.outcome.refused += 1,
                _ => {}
            }
        }
    }

    fn apply_sidecar(&mut self, place: usize, event: admission::Event) {
        for effect in self.sidecars[place].apply(event, self.now) {
            match effect {
                admission::Effect::Run { call, open } => {
                    self.look_up(place, call, open.weight);
                    let ms = open.weight * 1_000 / self.setup.tokens_per_second;
                    let at = self.now + Millis(ms.max(1));
                    self.queue.add(at, Event::Ended { sidecar: place, call });
                }
                admission::Effect::Send { call, frame } => self.answer(place, call, frame),
                admission::Effect::Finish { call, frame } => {
                    self.answer(place, call, frame);
                    self.origins.remove(&(place, call));
                }
                admission::Effect::Report { to, report } => {
                    let sidecar = self.by_name[&to.name];
                    self.count_report(&Frame::Report(report.clone()));
                    let event = Event::Report { sidecar, from: place, report };
                    self.queue.add(self.later(), event);
                }
                admission::Effect::Abort { .. } | admission::Effect::Left => {}
            }
        }
    }

    fn answer(&mut self, place: usize, call: u64, frame: Frame) {
        let Some(origin) = self.origins.get(&(place, call)).copied() else {
            return;
        };
        let Origin { router, id, attempt } = origin;
        if let Frame::Pool(pool) = frame {
            self.count_report(&frame);
            let sidecar = usize::try_from(id).unwrap_or(0);
            let sum = attempt == 1;
            self.queue.add(self.later(), Event::Pool { sidecar, pool, sum });
            return;
        }
        self.queue.add(self.later(), Event::ToRouter { router, id, attempt, frame });
    }

    fn count_report(&mut self, frame: &Frame) {
        let bytes = wire::encode(frame).map_or(0, |it| it.len());
        self.outcome.report_bytes += bytes as u64;
    }

    fn chat_of(&self, place: usize, call: u64) -> Option<u64> {
        let origin = self.origins.get(&(place, call))?;
        self.chats.get(&origin.id).copied()
    }

    /// Counts whether a returning chat is found in the engine's cache.
    fn look_up(&mut self, place: usize, call: u64, weight: u64) {
        let Some(chat) = self.chat_of(place, call) else { return };
        if !self.seen.contains(&chat) {
            return;
        }
        self.outcome.returning += weight;
        let found = self.caches[place].touch(chat);
        let findable = found || self.is_findable(place, chat, weight);
        self.outcome.found += if found { weight } else { 0 };
        self.outcome.findable += if findable { weight } else { 0 };
    }

    /// Whether an engine other than `place` holds the chat and could have taken
    /// it under the bound, with the pool's true load: what a placer would do
    /// that knows everything.
    fn is_findable(&self, place: usize, chat: u64, weight: u64) -> bool {
        let pool = self.true_pool();
        let without = Pool { load: pool.load.saturating_sub(weight), ..pool };
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        (0..self.sidecars.len()).any(|it| {
            it != place
                && !self.gone[it]
                && self.caches[it].holds(chat)
                && bound.admits(self.sidecars[it].load(), weight, without)
        })
    }

    fn true_pool(&self) -> Pool {
        let living = || self.sidecars.iter().zip(&self.gone).filter(|(_, gone)| !**gone);
        let load = living().map(|(it, _)| it.load()).sum();
        Pool { load, members: u32::try_from(living().count()).unwrap_or(u32::MAX) }
    }

    /// Puts a chat's context into the engine's cache.
    fn keep(&mut self, place: usize, call: u64) {
        let Some(chat) = self.chat_of(place, call) else { return };
        self.seen.insert(chat);
        let most = self.setup.cache_tokens / CHAT_TOKENS;
        self.caches[place].store(chat, usize::try_from(most).unwrap_or(usize::MAX));
    }

    fn later(&self) -> Millis {
        self.now + Millis(self.setup.delay_ms)
    }

    /// Compares the load of a sidecar that has just admitted `weight` with the
    /// true load of the pool.
    fn measure(&mut self, sidecar: usize, weight: u64) {
        let load = self.sidecars[sidecar].load();
        if load == weight {
            return;
        }
        let Pool { load: total, members } = self.true_pool();
        let bound = Bound { margin: 0.0, ..self.setup.admission.bound };
        let ceiling = bound.ceiling(Pool { load: total - weight, members }, weight);
        let over = ratio(load, ceiling);
        self.over_rule.push(over);
        self.outcome.worst_over_rule = self.outcome.worst_over_rule.max(over);
        if total / u64::from(members) > bound.floor {
            let skew = ratio(load * u64::from(members), total);
            self.outcome.worst_skew = self.outcome.worst_skew.max(skew);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
fn ratio(one: u64, other: u64) -> f64 {
    one as f64 / other.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "runs are short")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn open(id: u64, attempt: &routing::Attempt) -> Open {
    Open {
        request: format!("r{id}").into(),
        attempt: attempt.number,
        workspace: "workspace-0".into(),
        chat: attempt.chat,
        home: attempt.home,
        priority: 0,
        remaining_ms: attempt.remaining.0,
        weight: attempt.weight,
        incarnation: 0,
        once: None,
        generation: 1,
        traceparent: None,
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}
