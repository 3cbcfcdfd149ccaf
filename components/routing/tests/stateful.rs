//! The router's reducer against a simple oracle that records every run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use errors::{Kind, Outcome};
use intents::{Document, Plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use routing::{Arrival, Effect, Event, Host, IdempotencyKey, Owner, Reply, Settings, State};
use wire::{Admitted, Broken, Chunk, End, Head, Refused, Status, Welcome};

/// The seed of the histories, so that every run is the same.
const SEED: u64 = 20_261_202;

/// The upstreams of the tests.
const UPSTREAMS: usize = 4;

/// What a sidecar does with the attempt it holds.
#[derive(Clone, Copy, Debug)]
enum Act {
    Refuse(Kind),
    Admit,
    Head,
    Chunk,
    Repeat,
    Skip,
    End,
    ShortEnd,
    Break(Kind),
    Strange,
    LinkLost { ran: bool },
    Stall { ran: bool },
    NeverSent,
}

/// What happens next; requests are named by how long ago they came.
#[derive(Clone, Debug)]
enum Step {
    Arrival { once: bool, keyed: bool, chat: u8 },
    Bound { back: usize, found: bool },
    Act { back: usize, act: Act },
    Stale { back: usize, act: Act },
    Expire(usize),
    Cancel(usize),
    Hosts { present: u8, leaving: u8 },
    Connected { upstream: usize, load: u64, newer: bool },
    Unreachable(usize),
    Configure(u64),
    Tick(u64),
    Drain,
}

#[derive(Clone, Debug)]
struct Reference {
    asked: usize,
}

fn acts() -> impl Strategy<Value = Act> {
    prop_oneof![
        2 => prop_oneof![Just(Kind::OverBound), Just(Kind::Leaving), Just(Kind::UpstreamDown), Just(Kind::Moved)]
            .prop_map(Act::Refuse),
        8 => Just(Act::Admit),
        8 => Just(Act::Head),
        12 => Just(Act::Chunk),
        2 => Just(Act::Repeat),
        1 => Just(Act::Skip),
        4 => Just(Act::End),
        1 => Just(Act::ShortEnd),
        1 => prop_oneof![Just(Kind::UpstreamLost), Just(Kind::Truncated)].prop_map(Act::Break),
        1 => Just(Act::Strange),
        2 => any::<bool>().prop_map(|ran| Act::LinkLost { ran }),
        1 => any::<bool>().prop_map(|ran| Act::Stall { ran }),
        2 => Just(Act::NeverSent),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { asked: 0 }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let recent = 0..state.asked.clamp(1, 3);
        prop_oneof![
            4 => (any::<bool>(), any::<bool>(), 0..8_u8)
                .prop_map(|(once, keyed, chat)| Step::Arrival { once, keyed, chat }),
            3 => (recent.clone(), any::<bool>())
                .prop_map(|(back, found)| Step::Bound { back, found }),
            40 => (recent.clone(), acts()).prop_map(|(back, act)| Step::Act { back, act }),
            2 => (recent.clone(), acts()).prop_map(|(back, act)| Step::Stale { back, act }),
            1 => recent.clone().prop_map(Step::Expire),
            1 => recent.prop_map(Step::Cancel),
            1 => (any::<u8>(), any::<u8>())
                .prop_map(|(present, leaving)| Step::Hosts { present, leaving }),
            2 => (0..UPSTREAMS, 0..20_000_u64, any::<bool>())
                .prop_map(|(upstream, load, newer)| Step::Connected { upstream, load, newer }),
            1 => (0..UPSTREAMS).prop_map(Step::Unreachable),
            1 => (0..5_u64).prop_map(Step::Configure),
            2 => (0..2_000_u64).prop_map(Step::Tick),
            1 => prop_oneof![19 => Just(Step::Tick(1)), 1 => Just(Step::Drain)],
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if matches!(step, Step::Arrival { .. }) {
            state.asked += 1;
        }
        state
    }
}

/// What the oracle knows of a request.
#[derive(Debug, Default)]
struct Record {
    once: bool,
    /// Attempts that ran, or that may have run without anyone telling.
    may_have_run: u32,
    ran: u32,
    /// The attempt that a sidecar holds, and whether it was admitted.
    held: Option<(u32, bool)>,
    attempts: u32,
    sent_chunks: u64,
    relayed: u64,
    bytes: u64,
    head: bool,
    ended: u32,
    binding: bool,
}

struct Oracle {
    state: State,
    now: Millis,
    requests: BTreeMap<u64, Record>,
    next: u64,
    generation: u64,
    lives: [u64; UPSTREAMS],
    draining: bool,
    drained: bool,
    seen_generations: BTreeSet<u64>,
}

fn document(generation: u64) -> Document {
    let json = serde_json::json!({
        "generation": generation,
        "workspaces": [{ "name": "w", "key_sha256": "0".repeat(64) }],
        "kinds": [
            { "name": "chat", "repeatable": true },
            { "name": "pickup", "repeatable": false },
        ],
        "models": ["m"],
        "intents": [{ "name": "all", "upstreams": [] }],
    });
    Document::parse(&json.to_string()).expect("the document is right")
}

fn plan(generation: u64) -> Arc<Plan> {
    Arc::new(Plan::compile(document(generation)).expect("the document is right"))
}

fn host(place: usize, leaving: bool) -> Host {
    Host {
        name: format!("u{place}").into(),
        entry: "".into(),
        address: format!("a{place}").into(),
        domain: "d".into(),
        labels: BTreeMap::from([("model".into(), "m".into())]),
        leaving,
        slots: 0,
        born: 0,
    }
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Self {
        let mut this = Self {
            state: State::new(Settings { max_attempts: 3, ..Settings::default() }, 7),
            now: Millis(10_000),
            requests: BTreeMap::new(),
            next: 0,
            generation: 2,
            lives: [1; UPSTREAMS],
            draining: false,
            drained: false,
            seen_generations: BTreeSet::new(),
        };
        this.state.apply(Event::Configure(plan(2)), this.now);
        let hosts = (0..UPSTREAMS).map(|place| host(place, false)).collect();
        this.state.apply(Event::Hosts(hosts), this.now);
        for upstream in 0..UPSTREAMS {
            this.step(Step::Connected { upstream, load: 0, newer: false });
        }
        this
    }

    fn apply(mut this: Self, _: &Reference, step: Step) -> Self {
        this.step(step);
        this
    }

    fn check_invariants(this: &Self, _: &Reference) {
        let open = this.requests.values().filter(|it| it.ended == 0).count();
        assert_eq!(this.state.in_flight(), open, "the count of requests is wrong");
        assert!(!this.drained || open == 0, "drained though requests are open");
        let generation = this.state.plan().map_or(0, |it| it.generation());
        assert_eq!(generation, this.generation, "the generation is not the highest seen");
    }
}

impl Oracle {
    #[expect(clippy::needless_pass_by_value, reason = "a step is used up")]
    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival { once, keyed, chat } => self.ask(once, keyed, chat),
            Step::Bound { back, found } => self.bound(back, found),
            Step::Act { back, act } => {
                let id = self.named(back);
                let held = self.requests.get(&id).and_then(|it| it.held);
                if let Some((attempt, _)) = held {
                    self.act(id, attempt, act);
                }
            }
            Step::Stale { back, act } => self.stale(back, act),
            Step::Expire(back) => self.event(self.named(back), |id| Event::Expire { id }),
            Step::Cancel(back) => {
                let id = self.named(back);
                let open = self.requests.get(&id).is_some_and(|it| it.ended == 0);
                self.event(id, |id| Event::Cancel { id });
                if open && let Some(record) = self.requests.get_mut(&id) {
                    record.ended += 1;
                }
            }
            Step::Hosts { present, leaving } => {
                let is = |bits: u8, place: usize| bits >> place & 1 == 1;
                let hosts = (0..UPSTREAMS)
                    .filter(|place| is(present, *place))
                    .map(|place| host(place, is(leaving, place)))
                    .collect();
                self.state.apply(Event::Hosts(hosts), self.now);
            }
            Step::Connected { upstream, load, newer } => {
                self.lives[upstream] += u64::from(newer);
                let welcome = Welcome {
                    name: format!("u{upstream}").into(),
                    status: Status { incarnation: self.lives[upstream], load, ..Status::default() },
                };
                self.state.apply(Event::Connected(welcome), self.now);
            }
            Step::Unreachable(upstream) => {
                let upstream = format!("u{upstream}").into();
                self.state.apply(Event::Unreachable { upstream }, self.now);
            }
            Step::Configure(generation) => {
                self.generation = self.generation.max(generation);
                if generation > 0 {
                    self.state.apply(Event::Configure(plan(generation)), self.now);
                }
            }
            Step::Tick(passed) => self.now = self.now + Millis(passed),
            Step::Drain => {
                self.draining = true;
                let effects = self.state.apply(Event::Drain { until: self.now }, self.now);
                self.carry_out(0, effects);
            }
        }
    }

    fn named(&self, back: usize) -> u64 {
        self.next.saturating_sub(back as u64)
    }

    fn ask(&mut self, once: bool, keyed: bool, chat: u8) {
        self.next += 1;
        let id = self.next;
        let owner = Owner { upstream: format!("u{}", chat % 4).into(), incarnation: 1 };
        let key = IdempotencyKey { key: format!("k{id}").into(), owner: keyed.then_some(owner) };
        let ask = Arrival {
            id,
            request: format!("r{id}").into(),
            workspace: "w".into(),
            kind: if once { "pickup" } else { "chat" }.into(),
            model: (!once).then(|| "m".into()),
            fingerprint: id,
            chat: format!("c{chat}").into(),
            idempotency_key: once.then_some(key),
            prefixes: Vec::new(),
            weight: 100,
            deadline: None,
        };
        self.requests.insert(id, Record { once, ..Record::default() });
        self.event(id, |_| Event::Arrival(ask.clone()));
    }

    fn bound(&mut self, back: usize, found: bool) {
        let id = self.named(back);
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut record.binding) {
            return;
        }
        let owner = found.then(|| Owner { upstream: "u1".into(), incarnation: 1 });
        self.event(id, |id| Event::KeyBound { id, owner: owner.clone() });
    }

    fn event(&mut self, id: u64, event: impl Fn(u64) -> Event) {
        let effects = self.state.apply(event(id), self.now);
        self.carry_out(id, effects);
    }

    /// What the sidecar that holds the current attempt does.
    fn act(&mut self, id: u64, attempt: u32, act: Act) {
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        let admitted = record.held.is_some_and(|(_, admitted)| admitted);
        match act {
            Act::Refuse(_) | Act::Admit | Act::NeverSent | Act::Stall { .. } if admitted => return,
            Act::Refuse(_) | Act::NeverSent | Act::Break(_) => record.held = None,
            Act::Admit => {
                record.held = Some((attempt, true));
                record.ran += 1;
                record.may_have_run += 1;
            }
            Act::LinkLost { ran } | Act::Stall { ran } => {
                record.held = None;
                if !admitted {
                    record.may_have_run += 1;
                    record.ran += u32::from(ran);
                }
            }
            _ if !admitted => return,
            Act::Chunk if record.head => record.sent_chunks += 1,
            Act::Repeat if record.sent_chunks == 0 => return,
            Act::Chunk | Act::Repeat | Act::Skip if !record.head => return,
            Act::End => record.held = None,
            Act::ShortEnd => {
                // The sidecar sent one more chunk than came.
                record.sent_chunks += 1;
                record.held = None;
            }
            _ => {}
        }
        let event = reply(id, attempt, act, record);
        self.event(id, |_| event.clone());
    }

    /// A frame of an attempt that is over.
    fn stale(&mut self, back: usize, act: Act) {
        let id = self.named(back);
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        if record.attempts < 2 || record.ended > 0 {
            return;
        }
        let event = reply(id, record.attempts - 1, act, record);
        let effects = self.state.apply(event, self.now);
        assert!(effects.is_empty(), "a belated frame had an effect: {effects:?}");
    }

    fn carry_out(&mut self, id: u64, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Drained = effect {
                self.drained = true;
                continue;
            }
            let Some(record) = self.requests.get_mut(&id) else {
                continue;
            };
            match effect {
                Effect::Send(attempt) => {
                    assert_eq!(record.ended, 0, "request {id} was sent after its end");
                    assert!(!record.head, "request {id} was sent again after its head");
                    assert!(
                        !record.once || record.may_have_run == 0,
                        "request {id} may run once only and was sent again"
                    );
                    record.attempts += 1;
                    let attempt = attempt.number;
                    assert_eq!(attempt, record.attempts);
                    assert!(attempt <= 3, "request {id} was sent too often");
                    record.held = Some((attempt, false));
                    record.sent_chunks = 0;
                }
                Effect::Claim { .. } | Effect::Release { .. } | Effect::ReportSaturation { .. } => {
                    panic!("sidecars have the last word: no place is asked for")
                }
                Effect::BindKey { .. } => record.binding = true,
                Effect::Head(_) => {
                    assert!(!std::mem::replace(&mut record.head, true), "a second head");
                }
                Effect::Relay(bytes) => {
                    let expected = text(id, record.relayed);
                    assert_eq!(bytes, expected, "request {id} got bytes that are not its own");
                    record.relayed += 1;
                    record.bytes += bytes.len() as u64;
                }
                Effect::Finish => {
                    record.ended += 1;
                    assert_eq!(record.relayed, record.sent_chunks, "request {id} is not whole");
                }
                Effect::Fail(answer) | Effect::Abort(answer) => {
                    record.ended += 1;
                    record.held = None;
                    if answer.outcome == Outcome::NotRun {
                        assert_eq!(
                            record.ran, 0,
                            "request {id} ran and its caller was told: {answer:?}"
                        );
                    }
                }
                Effect::Record(decision) => {
                    self.seen_generations.insert(decision.generation);
                }
                Effect::PublishPrefixes(_) | Effect::Wait(_) => {
                    panic!("request {id} shares no part of its prompt")
                }
                Effect::UpdateDirectory { .. }
                | Effect::Cancel
                | Effect::Connect { .. }
                | Effect::Suspect { .. }
                | Effect::CloseIdle { .. }
                | Effect::Recovered { .. }
                | Effect::Leaving { .. }
                | Effect::Backoff { .. }
                | Effect::Check { .. }
                | Effect::ReportCrashes(_)
                | Effect::ReportCleared(_)
                | Effect::Quarantine { .. }
                | Effect::Drained => {}
            }
            assert!(record.ended <= 1, "request {id} got two final answers");
        }
    }
}

/// The true text of a request's chunk.
fn text(id: u64, sequence: u64) -> Bytes {
    Bytes::from(format!("{id}:{sequence};"))
}

fn reply(id: u64, attempt: u32, act: Act, record: &Record) -> Event {
    let status = Status { incarnation: 1, ..Status::default() };
    let chunk = |sequence| Reply::Chunk(Chunk { attempt, sequence, bytes: text(id, sequence) });
    let last = record.sent_chunks.saturating_sub(1);
    let reply = match act {
        Act::Refuse(kind) => {
            Reply::Refused(Refused { kind, retry_after_ms: 5, hints: Vec::new(), status })
        }
        Act::Admit => Reply::Admitted(Admitted { status }),
        Act::Head => Reply::Head(Head { attempt, status: 200, headers: Vec::new() }),
        Act::Chunk | Act::Repeat => chunk(last),
        Act::Skip => chunk(record.sent_chunks + 1),
        Act::End | Act::ShortEnd => Reply::End(End {
            attempt,
            chunks: record.sent_chunks,
            bytes: (0..record.sent_chunks).map(|it| text(id, it).len() as u64).sum(),
            status,
        }),
        Act::Break(kind) => Reply::Broken(Broken { attempt, kind }),
        Act::Strange => Reply::Unexpected,
        Act::Stall { .. } => return Event::Stalled { id, attempt },
        Act::LinkLost { .. } => {
            return Event::ConnectionFailed { id, attempt, sent: true };
        }
        Act::NeverSent => {
            return Event::ConnectionFailed { id, attempt, sent: false };
        }
    };
    Event::Reply { id, attempt, reply }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1024,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    #[test]
    fn the_router_keeps_its_promises(sequential 1..200 => Oracle);
}
