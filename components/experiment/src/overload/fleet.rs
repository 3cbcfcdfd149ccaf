//! Callers, routers and engines, and what passes between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use errors::{Answer, Outcome};
use intents::{Document, Plan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{
    Ask, Attempt, Bound, Effect, Event, Host, Mechanisms, Part, Path, Policy, Reply, State,
};
use wire::{Chunk, Head, Refused, Status};

use super::engine::{Engine, Owner, Run};
use super::kind::{KINDS, Kind, document};
use super::pattern::Pattern;
use super::report::{End, Report};
use crate::queue::Queue;

/// Routers and engines.
const ROUTERS: usize = 4;
const ENGINES: usize = 6;

/// When callers stop sending, and when the run is over.
const LAST_ASK: Millis = Millis(20_000);
const LAST: Millis = Millis(34_000);

/// One way between a router and an engine, or two routers.
const DELAY: Millis = Millis(1);

/// How often routers tell each other of loads, and of waits and outcomes.
const LOADS_EVERY: Millis = Millis(100);
const WAITS_EVERY: Millis = Millis(400);

/// The share of the time left that a caller stays away at most, as one part in so many.
const HONOURED: u64 = 3;

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
            state.apply(Event::Routers(ROUTERS), Millis::ZERO);
            state
        });
        let mut fleet = Self {
            pattern,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            random: ChaCha8Rng::seed_from_u64(!seed),
            queue: Queue::new(),
            now: Millis::ZERO,
            routers: routers.collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
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
            Happening::Waited { router, id } => self.apply(router, id, Event::Waited { id }),
            Happening::Loads => self.tell_loads(),
            Happening::Waits => self.tell_waits(),
            Happening::Change => self.change(),
        }
    }

    /// The engines that there are, as the platform lists them.
    fn list(&mut self) {
        let there = (0..ENGINES).filter(|it| !self.pattern.is_gone(*it, self.now));
        let hosts: Vec<_> = there.map(host).collect();
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

    fn arrive(&mut self) {
        if self.now >= LAST_ASK {
            return;
        }
        let mut draw = self.arrivals.random_range(0..100);
        let kind = KINDS.iter().find(|it| {
            let drawn = draw < it.percent;
            draw = draw.saturating_sub(it.percent);
            drawn
        });
        let kind = kind.unwrap_or(&KINDS[0]);
        let chat = self.arrivals.random_range(0..kind.chats);
        let caller = Caller { kind, chat, first: self.now, returned: false };
        self.report.ask(self.now);
        self.ask(caller);
        let wait = -self.arrivals.random::<f64>().ln() * 1_000.0 / self.pattern.rate(self.now);
        self.queue.add(self.now + whole(wait), Happening::Arrive);
    }

    fn ask(&mut self, caller: Caller) {
        self.next_id += 1;
        let id = self.next_id;
        let router = self.random.random_range(0..ROUTERS);
        let deadline = caller.first + caller.kind.deadline;
        let open = Open {
            caller,
            deadline,
            attempt: 0,
            engine: None,
            chunks: 0,
            begun: None,
            heard: self.now,
        };
        self.open.insert((router, id), open);
        self.queue.add(deadline, Happening::GiveUp { router, id });
        let ask = Ask {
            id,
            request: format!("r-{id}").into(),
            workspace: "w".into(),
            kind: caller.kind.name.into(),
            model: Some("m".into()),
            chat: format!("{}-{}", caller.kind.name, caller.chat).into(),
            shared: vec![Part { hash: part(&caller), tokens: caller.kind.shared }],
            once: None,
            weight: 1,
            deadline: Some(self.now.until(deadline)),
        };
        self.apply(router, id, Event::Ask(ask));
    }

    /// Takes an event about a request to its router, and carries out what follows.
    fn apply(&mut self, router: usize, id: u64, event: Event) {
        for effect in self.routers[router].apply(event, self.now) {
            match effect {
                Effect::Send(attempt) => self.send(router, id, &attempt),
                Effect::Wait(pause) => {
                    self.queue.add(self.now + pause, Happening::Waited { router, id });
                }
                Effect::Cancel => self.cancel(router, id),
                Effect::Head(_) => self.begin(router, id),
                Effect::Finish => self.finish(router, id),
                Effect::Fail(answer) => self.fail(router, id, &answer),
                Effect::Cut(_) => self.end(router, id, End::Failed),
                Effect::Share(warm) => {
                    for other in (0..ROUTERS).filter(|it| *it != router) {
                        self.routers[other].apply(Event::Warm(warm.clone()), self.now);
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, id: u64, attempt: &Attempt) {
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        let engine = place(&attempt.upstream);
        open.attempt = attempt.number;
        open.engine = Some(engine);
        open.chunks = 0;
        open.heard = self.now;
        let owner = Owner { router, id, attempt: attempt.number };
        let kind = open.caller.kind;
        let copied = attempt.warm.is_some();
        let run = Run {
            owner,
            priority: attempt.priority,
            part: part(&open.caller),
            shared: if copied { 0 } else { kind.shared },
            own: kind.own,
            events: kind.events,
            unread: 0,
        };
        self.queue.add(self.now + DELAY, Happening::Reach { engine, run });
        let silence = Happening::Silence { owner, timeout: attempt.timeout };
        self.queue.add(self.now + attempt.timeout, silence);
    }

    fn cancel(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let owner = Owner { router, id, attempt: open.attempt };
        if let Some(engine) = open.engine {
            self.engines[engine].cancel(owner);
        }
    }

    fn reach(&mut self, engine: usize, run: Run) {
        let owner = run.owner;
        if self.pattern.is_gone(engine, self.now) {
            return self.signal(owner, Millis::ZERO, Signal::Lost);
        }
        if !self.engines[engine].take(run) {
            return self.signal(owner, Millis::ZERO, Signal::Refused);
        }
        self.report.fullest = self.report.fullest.max(self.engines[engine].load());
        if !std::mem::replace(&mut self.working[engine], true) {
            self.queue.add(self.now, Happening::Step(engine));
        }
    }

    /// Sends something back to the router of a request, `after` from now.
    fn signal(&mut self, owner: Owner, after: Millis, signal: Signal) {
        self.queue.add(self.now + after + DELAY, Happening::Answer { owner, signal });
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_idle() {
            self.working[engine] = false;
            return;
        }
        let (took, events) = self.engines[engine].step();
        let took = whole(took * self.pattern.slowness(engine, self.now));
        for event in events {
            self.signal(event.owner, took, Signal::Event { last: event.last });
        }
        self.queue.add(self.now + took, Happening::Step(engine));
    }

    fn answer(&mut self, owner: Owner, signal: Signal) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        if open.attempt != attempt {
            return;
        }
        open.heard = self.now;
        match signal {
            Signal::Lost => self.apply(router, id, Event::Lost { id, attempt, sent: true }),
            Signal::Refused => {
                let reply = Reply::Refused(refused());
                self.apply(router, id, Event::Reply { id, attempt, reply });
            }
            Signal::Event { last } => self.pass(owner, last),
        }
    }

    /// Passes an event of an answer on: with the head before the first one, and the end
    /// after the last one.
    fn pass(&mut self, owner: Owner, last: bool) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        let sequence = open.chunks;
        open.chunks += 1;
        let mut replies = Vec::new();
        if sequence == 0 {
            if let Some(engine) = open.engine {
                let (requests, waiting) =
                    (self.engines[engine].load(), self.engines[engine].waiting());
                let told = Event::Load { upstream: name(engine), requests, waiting };
                self.routers[router].apply(told, self.now);
            }
            replies.push(Reply::Head(Head { attempt, status: 200, headers: Vec::new() }));
        }
        replies.push(Reply::Chunk(Chunk { attempt, sequence, bytes: Bytes::from_static(b"e") }));
        if last {
            let (chunks, status) = (sequence + 1, Status::default());
            replies.push(Reply::End(wire::End { attempt, chunks, bytes: chunks, status }));
        }
        for reply in replies {
            self.apply(router, id, Event::Reply { id, attempt, reply });
        }
    }

    fn silence(&mut self, owner: Owner, timeout: Millis) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get(&(router, id)) else { return };
        if open.attempt != attempt {
            return;
        }
        let quiet = open.heard.until(self.now);
        if quiet >= timeout {
            self.apply(router, id, Event::Stalled { id, attempt });
        }
        let next = if quiet >= timeout { timeout } else { Millis(timeout.0 - quiet.0) };
        self.queue.add(self.now + next, Happening::Silence { owner, timeout });
    }

    fn begin(&mut self, router: usize, id: u64) {
        if let Some(open) = self.open.get_mut(&(router, id)) {
            open.begun.get_or_insert(self.now);
        }
    }

    fn finish(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let took = open.caller.first.until(open.begun.unwrap_or(self.now));
        let end = if took <= open.caller.kind.objective { End::InTime } else { End::Late };
        self.end(router, id, end);
    }

    /// The caller gets an error. One that says that the request has not run may come back
    /// once.
    fn fail(&mut self, router: usize, id: u64, answer: &Answer) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let (mut caller, left) = (open.caller, self.now.until(open.deadline));
        if answer.outcome != Outcome::NotRun {
            return self.end(router, id, End::Failed);
        }
        if caller.returned {
            return self.end(router, id, End::Refused);
        }
        self.open.remove(&(router, id));
        caller.returned = true;
        let after = Millis(answer.retry_after_ms.unwrap_or(0).min(left.0 / HONOURED));
        self.queue.add(self.now + after, Happening::Return(caller));
    }

    fn give_up(&mut self, router: usize, id: u64) {
        if self.open.contains_key(&(router, id)) {
            self.report.expired += 1;
            self.apply(router, id, Event::Quit { id });
            self.end(router, id, End::Failed);
        }
    }

    fn end(&mut self, router: usize, id: u64, end: End) {
        if let Some(open) = self.open.remove(&(router, id)) {
            self.report.end(open.caller.first, end);
        }
    }

    fn tell_loads(&mut self) {
        for router in 0..ROUTERS {
            let loads = self.routers[router].loads(&router_name(router), self.now);
            self.tell(router, &Event::Loads(loads));
        }
        self.queue.add(self.now + LOADS_EVERY, Happening::Loads);
    }

    fn tell_waits(&mut self) {
        for router in 0..ROUTERS {
            let outcomes = self.routers[router].outcomes();
            self.tell(router, &Event::Outcomes(outcomes));
            let delays = self.routers[router].delays();
            self.tell(router, &Event::Delays(delays));
        }
        self.queue.add(self.now + WAITS_EVERY, Happening::Waits);
    }

    fn tell(&mut self, from: usize, event: &Event) {
        for other in (0..ROUTERS).filter(|it| *it != from) {
            self.routers[other].apply(event.clone(), self.now);
        }
    }
}

fn settings(mechanisms: Mechanisms) -> routing::Settings {
    routing::Settings {
        path: Path::Direct,
        policy: Policy::Ranked,
        mechanisms,
        bound: Bound { multiple: 2.0, floor: 4, margin: 0.1, extra: 1 },
        known_bound: Bound { multiple: 2.0, floor: 4, margin: 0.0, extra: 2 },
        ..routing::Settings::default()
    }
}

fn refused() -> Refused {
    Refused {
        kind: errors::Kind::QueueFull,
        retry_after_ms: 0,
        hints: Vec::new(),
        status: Status::default(),
    }
}

fn host(engine: usize) -> Host {
    Host {
        name: name(engine),
        address: format!("{}:1", name(engine)).into(),
        domain: "d".into(),
        labels: [("service", "engine"), ("model", "m")].map(|(a, b)| (a.into(), b.into())).into(),
        leaving: false,
    }
}

fn name(engine: usize) -> Arc<str> {
    format!("engine-{engine}").into()
}

fn router_name(router: usize) -> Arc<str> {
    format!("router-{router}").into()
}

/// The number of the engine of that name.
fn place(name: &str) -> usize {
    name.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// The hash of the part of a prompt that a caller shares with others.
fn part(caller: &Caller) -> u64 {
    placement::key(caller.kind.name, &caller.chat.to_string())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few seconds, not negative"
)]
fn whole(ms: f64) -> Millis {
    Millis(ms.round() as u64)
}
