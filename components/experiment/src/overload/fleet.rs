//! Callers, routers and engines, and what passes between them.

mod callers;
mod engines;
mod hints;
mod names;

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use intents::{Document, Plan};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{Effect, Event, Mechanisms, State};

use self::hints::{LOADS_EVERY, WAITS_EVERY};
use self::names::{host, settings};
use super::engine::{Engine, Owner, Run, SLOTS};
use super::kind::{Kind, document};
use super::pattern::Pattern;
use super::report::{End, Report};
use crate::queue::Queue;

/// Routers and engines.
const ROUTERS: usize = 4;
const ENGINES: usize = 6;

/// When the run is over.
const LAST: Millis = Millis(34_000);

#[derive(Debug)]
enum Happening {
    /// A caller sends its next request.
    Arrive,
    /// A caller comes back who was turned away.
    Return(Caller),
    /// A caller gives up.
    GiveUp { router: usize, id: u64 },
    /// A request comes to an engine.
    Reach { engine: usize, run: Run },
    /// An engine has worked for a step.
    Step(usize),
    /// Something comes back to a router.
    Answer { owner: Owner, signal: Signal },
    /// Nothing may have come for an attempt for too long.
    Silence { owner: Owner, timeout: Millis },
    /// The pause of a request is over.
    Waited { router: usize, id: u64 },
    /// Routers tell each other of loads.
    Loads,
    /// Routers tell each other of waits and outcomes.
    Waits,
    /// Engines come or go.
    Change,
}

/// What comes back from an engine.
#[derive(Clone, Copy, Debug)]
enum Signal {
    /// The connection broke.
    Lost,
    /// The queue is full.
    Refused,
    /// An event of the answer.
    Event { last: bool },
}

/// A caller with a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    kind: &'static Kind,
    chat: u64,
    /// When the request was sent first.
    first: Millis,
    /// Whether it has come back.
    returned: bool,
}

/// A request that has not ended.
#[derive(Debug)]
struct Open {
    caller: Caller,
    deadline: Millis,
    attempt: u32,
    engine: Option<usize>,
    chunks: u64,
    begun: Option<Millis>,
    heard: Millis,
}

/// A fleet under a pattern of load.
#[derive(Debug)]
pub(crate) struct Fleet {
    pattern: Pattern,
    /// Draws what callers send first, so that it is the same whatever becomes of it.
    arrivals: ChaCha8Rng,
    /// Draws the rest.
    random: ChaCha8Rng,
    queue: Queue<Happening>,
    now: Millis,
    routers: Vec<State>,
    engines: Vec<Engine>,
    working: Vec<bool>,
    open: BTreeMap<(usize, u64), Open>,
    next_id: u64,
    report: Report,
}

impl Fleet {
    pub(crate) fn new(pattern: Pattern, mechanisms: Mechanisms, seed: u64) -> Self {
        let settings = settings(mechanisms);
        let document = Document::parse(&document().to_string()).expect("the document is right");
        let plan = Arc::new(Plan::compile(document).expect("the document is right"));
        let routers = (0..ROUTERS).map(|place| {
            let mut state = State::new(settings.clone(), seed + place as u64);
            state.apply(Event::Configure(plan.clone()), Millis::ZERO);
            state.apply(Event::RouterCount(ROUTERS), Millis::ZERO);
            state
        });
        let engine = Engine::new(pattern.is_short_of_memory());
        let mut fleet = Self {
            pattern,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            random: ChaCha8Rng::seed_from_u64(!seed),
            queue: Queue::new(),
            now: Millis::ZERO,
            routers: routers.collect(),
            engines: (0..ENGINES).map(|_| engine.clone()).collect(),
            working: vec![false; ENGINES],
            open: BTreeMap::new(),
            next_id: 0,
            report: Report::default(),
        };
        fleet.list();
        fleet.queue.add(Millis::ZERO, Happening::Arrive);
        fleet.queue.add(LOADS_EVERY, Happening::Loads);
        fleet.queue.add(WAITS_EVERY, Happening::Waits);
        for at in pattern.changes() {
            fleet.queue.add(at, Happening::Change);
        }
        fleet
    }

    pub(crate) fn run(mut self) -> Report {
        while let Some((at, happening)) = self.queue.pop().filter(|(at, _)| *at <= LAST) {
            self.now = at;
            self.happen(happening);
        }
        self.report.read = self.engines.iter().map(|it| it.read).sum();
        self.report
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive => self.arrive(),
            Happening::Return(caller) => self.ask(caller),
            Happening::GiveUp { router, id } => self.give_up(router, id),
            Happening::Reach { engine, run } => self.reach(engine, run),
            Happening::Step(engine) => self.step(engine),
            Happening::Answer { owner, signal } => self.answer(owner, signal),
            Happening::Silence { owner, timeout } => self.silence(owner, timeout),
            Happening::Waited { router, id } => self.apply(router, id, Event::Due { id }),
            Happening::Loads => self.tell_loads(),
            Happening::Waits => self.tell_waits(),
            Happening::Change => self.change(),
        }
    }

    /// The engines that there are, as the platform lists them.
    fn list(&mut self) {
        let there = (0..ENGINES).filter(|it| !self.pattern.is_gone(*it, self.now));
        let slots = if self.pattern.tells_slots() { SLOTS as u64 } else { 0 };
        let hosts: Vec<_> = there.map(|it| host(it, slots)).collect();
        for router in &mut self.routers {
            router.apply(Event::Hosts(hosts.clone()), self.now);
        }
    }

    fn change(&mut self) {
        for engine in 0..ENGINES {
            if self.pattern.is_gone(engine, self.now) {
                for owner in self.engines[engine].crash() {
                    self.signal(owner, Millis::ZERO, Signal::Lost);
                }
            }
        }
        self.list();
    }

    /// Takes an event about a request to its router, and carries out what follows.
    fn apply(&mut self, router: usize, id: u64, event: Event) {
        for effect in self.routers[router].apply(event, self.now) {
            match effect {
                Effect::Send(attempt) => self.send(router, id, &attempt),
                Effect::Postpone(pause) => {
                    self.queue.add(self.now + pause, Happening::Waited { router, id });
                }
                Effect::Cancel => self.cancel(router, id),
                Effect::Head(_) => self.begin(router, id),
                Effect::Finish => self.finish(router, id),
                Effect::Fail(answer) => self.fail(router, id, &answer),
                Effect::Abort(_) => self.end(router, id, End::Failed),
                Effect::PublishPrefixes(warm) => {
                    for other in (0..ROUTERS).filter(|it| *it != router) {
                        self.routers[other].apply(Event::WarmPrefixes(warm.clone()), self.now);
                    }
                }
                _ => {}
            }
        }
    }
}
