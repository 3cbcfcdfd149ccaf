//! The simulated callers, routers and engines.

mod callers;
mod engines;
mod exchange;
mod names;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use intents::{Document, Plan};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{Effect, Event, Mechanisms, State};

use self::exchange::{DELAYS_INTERVAL, LOADS_INTERVAL};
use self::names::{host, settings};
use super::engine::{Engine, Owner, Request, SLOTS};
use super::kind::{Kind, document};
use super::pattern::Pattern;
use super::report::{End, Report};
use crate::queue::Queue;

const ROUTERS: usize = 4;
const ENGINES: usize = 6;

/// The end of a run.
const END: Millis = Millis(34_000);

#[derive(Debug)]
enum SimEvent {
    /// A caller sends its next request.
    Arrive,
    /// A caller retries after a refusal.
    Retry(Caller),
    /// The deadline of a caller.
    Timeout { router: usize, id: u64 },
    /// A request arrives at an engine.
    Deliver { engine: usize, request: Request },
    /// The next step of an engine.
    Step(usize),
    /// A router receives a signal from an engine.
    Answer { owner: Owner, signal: Signal },
    /// An attempt may have exceeded its silence timeout.
    CheckSilence { owner: Owner, timeout: Millis },
    /// A postponed request is due.
    Due { router: usize, id: u64 },
    /// Routers exchange their loads.
    ShareLoads,
    /// Routers exchange delays, outcomes and demands.
    ShareDelays,
    /// Engines start or stop.
    ChangeEngines,
}

/// A message from an engine to a router.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// The connection failed.
    ConnectionFailed,
    /// The queue of the engine is full.
    Refused,
    /// An event of the answer.
    Event { is_last: bool },
}

/// A caller with a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: &'static Kind,
    chat: u64,
    /// The time of the first attempt.
    first_sent: Millis,
    /// Whether this is the retry after a refusal.
    is_retry: bool,
}

/// A request in progress.
#[derive(Debug)]
struct Open {
    caller: Caller,
    deadline: Millis,
    attempt: u32,
    engine: Option<usize>,
    chunks: u64,
    answered_at: Option<Millis>,
    last_received: Millis,
}

/// The state of a simulation.
#[derive(Debug)]
pub(crate) struct Fleet {
    pattern: Pattern,
    /// Draws the arrivals, separately so that they do not depend on the results.
    arrival_rng: ChaCha8Rng,
    /// Draws everything else.
    rng: ChaCha8Rng,
    queue: Queue<SimEvent>,
    now: Millis,
    routers: Vec<State>,
    engines: Vec<Engine>,
    /// The engines with a scheduled step.
    stepping: Vec<bool>,
    open: BTreeMap<(usize, u64), Open>,
    next_id: u64,
    report: Report,
}

impl Fleet {
    pub(crate) fn new(pattern: Pattern, mechanisms: Mechanisms, seed: u64) -> Self {
        let settings = settings(mechanisms);
        let document = Document::parse(&document().to_string()).expect("the document is valid");
        let plan = Arc::new(Plan::compile(document).expect("the document is valid"));
        let routers = (0..ROUTERS).map(|index| {
            let mut state = State::new(settings.clone(), seed + index as u64);
            state.apply(Event::Configure(plan.clone()), Millis::ZERO);
            state.apply(Event::RouterCount(ROUTERS), Millis::ZERO);
            state
        });
        let engine = Engine::new(pattern.has_short_memory());
        let mut fleet = Self {
            pattern,
            arrival_rng: ChaCha8Rng::seed_from_u64(seed),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            queue: Queue::new(),
            now: Millis::ZERO,
            routers: routers.collect(),
            engines: (0..ENGINES).map(|_| engine.clone()).collect(),
            stepping: vec![false; ENGINES],
            open: BTreeMap::new(),
            next_id: 0,
            report: Report::default(),
        };
        fleet.update_hosts();
        fleet.queue.add(Millis::ZERO, SimEvent::Arrive);
        fleet.queue.add(LOADS_INTERVAL, SimEvent::ShareLoads);
        fleet.queue.add(DELAYS_INTERVAL, SimEvent::ShareDelays);
        for at in pattern.engine_changes() {
            fleet.queue.add(at, SimEvent::ChangeEngines);
        }
        fleet
    }

    pub(crate) fn run(mut self) -> Report {
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= END) {
            self.now = at;
            self.handle(event);
        }
        self.report.read = self.engines.iter().map(|engine| engine.prefilled_prefix_tokens).sum();
        self.report
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Retry(caller) => self.submit(caller),
            SimEvent::Timeout { router, id } => self.time_out(router, id),
            SimEvent::Deliver { engine, request } => self.deliver(engine, request),
            SimEvent::Step(engine) => self.step(engine),
            SimEvent::Answer { owner, signal } => self.answer(owner, signal),
            SimEvent::CheckSilence { owner, timeout } => self.check_silence(owner, timeout),
            SimEvent::Due { router, id } => self.apply(router, id, Event::Due { id }),
            SimEvent::ShareLoads => self.share_loads(),
            SimEvent::ShareDelays => self.share_delays(),
            SimEvent::ChangeEngines => self.change_engines(),
        }
    }

    /// Applies the list of running engines to all routers.
    fn update_hosts(&mut self) {
        let running = (0..ENGINES).filter(|engine| !self.pattern.is_down(*engine, self.now));
        let slots = if self.pattern.publishes_slots() { SLOTS as u64 } else { 0 };
        let hosts: Vec<_> = running.map(|engine| host(engine, slots)).collect();
        for router in &mut self.routers {
            router.apply(Event::Hosts(hosts.clone()), self.now);
        }
    }

    fn change_engines(&mut self) {
        for engine in 0..ENGINES {
            if self.pattern.is_down(engine, self.now) {
                for owner in self.engines[engine].crash() {
                    self.signal(owner, Millis::ZERO, Signal::ConnectionFailed);
                }
            }
        }
        self.update_hosts();
    }

    /// Applies an event to the router of a request and executes the effects.
    fn apply(&mut self, router: usize, id: u64, event: Event) {
        for effect in self.routers[router].apply(event, self.now) {
            match effect {
                Effect::Send(attempt) => self.send(router, id, &attempt),
                Effect::Postpone(delay) => {
                    self.queue.add(self.now + delay, SimEvent::Due { router, id });
                }
                Effect::Cancel => self.cancel(router, id),
                Effect::Head(_) => self.record_answer_start(router, id),
                Effect::Finish => self.finish(router, id),
                Effect::Fail(answer) => self.fail(router, id, &answer),
                Effect::Abort(_) => self.end(router, id, End::Failed),
                Effect::PublishPrefixes(prefixes) => {
                    for other in (0..ROUTERS).filter(|other| *other != router) {
                        self.routers[other].apply(Event::WarmPrefixes(prefixes.clone()), self.now);
                    }
                }
                _ => {}
            }
        }
    }
}
