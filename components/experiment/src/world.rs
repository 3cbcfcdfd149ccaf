//! Routers, sidecars and engines, and the frames between them.

mod faults;
mod measure;
mod setup;

pub use setup::{Churn, Load, Loss, Outcome, Setup};

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use admission::Peer;
use bytes::Bytes;
use clock::Millis;
use intents::Plan;
use placement::Pool;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::Arrival;
use wire::{Frame, Open};

use crate::cache::Cache;
use crate::queue::Queue;
use crate::{document, hosts};

/// How often a sidecar is told that time passed, in milliseconds.
const TICK_MS: u64 = 20;

/// The tokens of a chat's context in a cache.
const CHAT_TOKENS: u64 = 500;

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
    Note { sidecar: usize, note: wire::DirectoryUpdate },
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
                let welcome = wire::Welcome { name: peer.name.clone(), status: sidecar.status() };
                router.apply(routing::Event::Connected(welcome), Millis::ZERO);
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
                self.apply_router(
                    router,
                    id,
                    routing::Event::ConnectionFailed { id, attempt, sent },
                );
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
                self.apply_sidecar(sidecar, admission::Event::DirectoryUpdate(note));
            }
            Event::List => self.list(),
            Event::Pool { sidecar, pool, sum } => {
                self.apply_sidecar(sidecar, admission::Event::Pool { pool, sum });
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
        let ask = Arrival {
            id: self.next_id,
            request: format!("r{}", self.next_id).into(),
            workspace: format!("workspace-{}", load.workspace).into(),
            kind: "chat".into(),
            model: Some("model-0".into()),
            fingerprint: self.next_id,
            chat: format!("chat-{chat}").into(),
            idempotency_key: None,
            prefixes: Vec::new(),
            weight: self.random.random_range(load.least..=load.greatest),
            deadline: None,
        };
        self.outcome.asked += 1;
        let router = self.random.random_range(0..self.routers.len());
        let id = ask.id;
        let effects = self.routers[router].apply(routing::Event::Arrival(ask), self.now);
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
                routing::Effect::UpdateDirectory { upstream, update, .. } => {
                    self.outcome.notes += 1;
                    let sidecar = self.by_name[&upstream];
                    self.queue.add(self.later(), Event::Note { sidecar, note: update });
                }
                routing::Effect::Finish => self.outcome.answered += 1,
                routing::Effect::Fail(_) | routing::Effect::Abort(_) => self.outcome.refused += 1,
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
                admission::Effect::Abort { .. } | admission::Effect::Drained => {}
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

    fn later(&self) -> Millis {
        self.now + Millis(self.setup.delay_ms)
    }
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
        is_home: attempt.is_home,
        priority: 0,
        remaining_ms: attempt.remaining.0,
        weight: attempt.weight,
        incarnation: 0,
        idempotency_key: None,
        generation: 1,
        traceparent: None,
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}
