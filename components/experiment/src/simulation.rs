//! A simulation of routers, sidecars and engines that exchange frames.

mod faults;
mod measure;
mod setup;

pub use setup::{Churn, Load, Outage, Outcome, Setup};

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

/// The time between ticks of a sidecar, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// The size of the cached context of a chat.
const CHAT_TOKENS: u64 = 500;

enum Event {
    Arrival(usize),
    Tick(usize),
    ToSidecar { router: usize, id: u64, attempt: u32, sidecar: usize, open: Box<Open> },
    ToRouter { router: usize, id: u64, attempt: u32, frame: Frame },
    Ended { sidecar: usize, call: u64 },
    Report { sidecar: usize, from: usize, report: wire::Report },
    Pool { sidecar: usize, pool: Pool, sum: bool },
    ConnectionFailed { router: usize, id: u64, attempt: u32, sent: bool },
    Outage,
    Restart(usize),
    Return(usize),
    UpdateHosts,
    DirectoryUpdate { sidecar: usize, update: wire::DirectoryUpdate },
}

/// The receiver of the frames of a call. For a load report, `router` is `usize::MAX`, `id`
/// is the index of the reporting sidecar, and `attempt` is 1 if the report is a sum.
#[derive(Clone, Copy)]
struct Origin {
    router: usize,
    id: u64,
    attempt: u32,
}

/// A simulated fleet.
pub struct Simulation {
    setup: Setup,
    loads: Vec<Load>,
    routers: Vec<routing::State>,
    sidecars: Vec<admission::State>,
    by_name: HashMap<Arc<str>, usize>,
    origins: HashMap<(usize, u64), Origin>,
    queue: Queue<Event>,
    rng: ChaCha8Rng,
    now: Millis,
    next_id: u64,
    next_call: u64,
    outcome: Outcome,
    /// The ratios of a load just after an admission to its ceiling.
    ceiling_ratios: Vec<f64>,
    /// The sidecars that are down.
    down: Vec<bool>,
    /// The load reports that each sidecar received.
    reports: Vec<u64>,
    caches: Vec<Cache>,
    /// The chat of each request.
    chats: HashMap<u64, u64>,
    /// The chats that were answered before.
    seen_chats: HashSet<u64>,
    incarnations: Vec<u64>,
}

impl std::fmt::Debug for Simulation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Simulation").field("now", &self.now).finish_non_exhaustive()
    }
}

impl Simulation {
    /// Returns a fleet in which every router is connected to every sidecar.
    ///
    /// # Panics
    ///
    /// Panics if the generated document is invalid, which would be a bug.
    pub fn new(setup: Setup, loads: Vec<Load>) -> Self {
        let workspaces = loads.iter().map(|load| load.workspace + 1).max().unwrap_or(1);
        let plan =
            Arc::new(Plan::compile(document(1, workspaces, 1)).expect("the document is valid"));
        let list = hosts(setup.sidecars, 1, 3);
        let peers: Vec<_> = list
            .iter()
            .map(|host| Peer { name: host.name.clone(), address: host.address.clone() })
            .collect();
        let mut sidecars: Vec<_> = peers
            .iter()
            .map(|own| admission::State::new(setup.admission.clone(), own.clone(), 1))
            .collect();
        for sidecar in &mut sidecars {
            sidecar.apply(admission::Event::Peers(peers.clone()), Millis::ZERO);
        }
        let mut routers: Vec<_> = (0..setup.routers)
            .map(|index| routing::State::new(setup.routing.clone(), index as u64))
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
            peers.iter().enumerate().map(|(index, peer)| (peer.name.clone(), index)).collect();
        let rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let sidecar_count = setup.sidecars;
        let mut simulation = Self {
            setup,
            loads,
            routers,
            sidecars,
            by_name,
            origins: HashMap::new(),
            queue: Queue::new(),
            rng,
            now: Millis::ZERO,
            next_id: 0,
            next_call: 0,
            outcome: Outcome::default(),
            ceiling_ratios: Vec::new(),
            down: vec![false; sidecar_count],
            reports: vec![0; sidecar_count],
            caches: vec![Cache::default(); sidecar_count],
            chats: HashMap::new(),
            seen_chats: HashSet::new(),
            incarnations: vec![1; sidecar_count],
        };
        simulation.schedule_first_events();
        simulation
    }

    fn schedule_first_events(&mut self) {
        for sidecar in 0..self.sidecars.len() {
            let at = self.rng.random_range(0..TICK_INTERVAL_MS);
            self.queue.add(Millis(at), Event::Tick(sidecar));
        }
        if let Some(churn) = self.setup.churn {
            self.queue.add(Millis(churn.interval_ms), Event::Restart(0));
        }
        if let Some(outage) = self.setup.outage {
            self.queue.add(Millis(outage.at_ms), Event::Outage);
            self.queue.add(Millis(outage.at_ms + outage.hosts_lag_ms), Event::UpdateHosts);
        }
        for load in 0..self.loads.len() {
            self.queue.add(Millis(self.loads[load].start_ms), Event::Arrival(load));
        }
    }

    /// Runs until `end_ms` and returns the measurements.
    pub fn run(mut self, end_ms: u64) -> Outcome {
        while let Some((at, event)) = self.queue.pop() {
            if at.0 > end_ms {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.ceiling_ratios.sort_by(f64::total_cmp);
        let index = self.ceiling_ratios.len() * 999 / 1000;
        self.outcome.p999_over_rule = self.ceiling_ratios.get(index).copied().unwrap_or(0.0);
        self.outcome.seconds = seconds(end_ms);
        self.outcome.busiest_reports = self.reports.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        if self.drop_for_down_sidecar(&event) {
            return;
        }
        match event {
            Event::Arrival(load) => self.arrive(load),
            Event::Tick(sidecar) => {
                self.queue.add(self.now + Millis(TICK_INTERVAL_MS), Event::Tick(sidecar));
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
                self.store_context(sidecar, call);
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
            Event::ConnectionFailed { router, id, attempt, sent } => {
                self.apply_router(
                    router,
                    id,
                    routing::Event::ConnectionFailed { id, attempt, sent },
                );
            }
            Event::Outage => {
                for sidecar in (0..self.down.len())
                    .step_by(self.setup.outage.map_or(1, |outage| outage.every_nth))
                {
                    self.stop_sidecar(sidecar);
                }
            }
            Event::Restart(sidecar) => self.restart(sidecar),
            Event::Return(sidecar) => self.start_sidecar(sidecar),
            Event::DirectoryUpdate { sidecar, update } => {
                self.apply_sidecar(sidecar, admission::Event::DirectoryUpdate(update));
            }
            Event::UpdateHosts => self.update_hosts(),
            Event::Pool { sidecar, pool, sum } => {
                self.apply_sidecar(sidecar, admission::Event::Pool { pool, sum });
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let load = self.loads[index].clone();
        if self.now.0 >= load.end_ms {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / load.rate * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a gap is a few seconds"
        )]
        let gap = gap.round() as u64;
        self.queue.add(self.now + Millis(gap), Event::Arrival(index));
        self.next_id += 1;
        let chat = self.rng.random_range(0..load.chats);
        self.chats.insert(self.next_id, chat << 8 | load.workspace as u64);
        let arrival = Arrival {
            id: self.next_id,
            request: format!("r{}", self.next_id).into(),
            workspace: format!("workspace-{}", load.workspace).into(),
            kind: "chat".into(),
            model: Some("model-0".into()),
            fingerprint: self.next_id,
            chat: format!("chat-{chat}").into(),
            parts: Vec::new(),
            idempotency_key: None,
            prefixes: Vec::new(),
            weight: self.rng.random_range(load.min_weight..=load.max_weight),
            deadline: None,
            continuation: None,
        };
        self.outcome.asked += 1;
        let router = self.rng.random_range(0..self.routers.len());
        let id = arrival.id;
        let effects = self.routers[router].apply(routing::Event::Arrival(arrival), self.now);
        self.execute(router, id, effects);
    }

    fn apply_router(&mut self, router: usize, id: u64, event: routing::Event) {
        let effects = self.routers[router].apply(event, self.now);
        self.execute(router, id, effects);
    }

    fn execute(&mut self, router: usize, id: u64, effects: Vec<routing::Effect>) {
        for effect in effects {
            match effect {
                routing::Effect::Send(attempt) => {
                    self.outcome.attempts += 1;
                    let open = Box::new(open(id, &attempt));
                    let sidecar = self.by_name[&attempt.upstream];
                    let attempt = attempt.number;
                    let event = Event::ToSidecar { router, id, attempt, sidecar, open };
                    self.queue.add(self.delivery_time(), event);
                }
                routing::Effect::UpdateDirectory { upstream, update, .. } => {
                    self.outcome.notes += 1;
                    let sidecar = self.by_name[&upstream];
                    self.queue
                        .add(self.delivery_time(), Event::DirectoryUpdate { sidecar, update });
                }
                routing::Effect::Finish => self.outcome.answered += 1,
                routing::Effect::Fail(_) | routing::Effect::Abort(_) => self.outcome.refused += 1,
                _ => {}
            }
        }
    }

    fn apply_sidecar(&mut self, sidecar: usize, event: admission::Event) {
        for effect in self.sidecars[sidecar].apply(event, self.now) {
            match effect {
                admission::Effect::Run { call, open } => {
                    self.record_lookup(sidecar, call, open.weight);
                    let ms = open.weight * 1_000 / self.setup.tokens_per_second;
                    let at = self.now + Millis(ms.max(1));
                    self.queue.add(at, Event::Ended { sidecar, call });
                }
                admission::Effect::Send { call, frame } => self.answer(sidecar, call, frame),
                admission::Effect::Finish { call, frame } => {
                    self.answer(sidecar, call, frame);
                    self.origins.remove(&(sidecar, call));
                }
                admission::Effect::Report { to, report } => {
                    let receiver = self.by_name[&to.name];
                    self.count_report(&Frame::Report(report.clone()));
                    let event = Event::Report { sidecar: receiver, from: sidecar, report };
                    self.queue.add(self.delivery_time(), event);
                }
                admission::Effect::Abort { .. } | admission::Effect::Drained => {}
            }
        }
    }

    fn answer(&mut self, sidecar: usize, call: u64, frame: Frame) {
        let Some(origin) = self.origins.get(&(sidecar, call)).copied() else {
            return;
        };
        let Origin { router, id, attempt } = origin;
        if let Frame::Pool(pool) = frame {
            self.count_report(&frame);
            let reporter = usize::try_from(id).unwrap_or(0);
            let sum = attempt == 1;
            self.queue.add(self.delivery_time(), Event::Pool { sidecar: reporter, pool, sum });
            return;
        }
        self.queue.add(self.delivery_time(), Event::ToRouter { router, id, attempt, frame });
    }

    fn count_report(&mut self, frame: &Frame) {
        let bytes = wire::encode(frame).map_or(0, |bytes| bytes.len());
        self.outcome.report_bytes += bytes as u64;
    }

    fn delivery_time(&self) -> Millis {
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
