//! State machine test of the reducer against an oracle that records every run.

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

const SEED: u64 = 20_261_202;

/// Number of upstreams.
const UPSTREAMS: usize = 4;

/// Actions of the sidecar that holds the current attempt.
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
    Unexpected,
    LinkLost { ran: bool },
    Stall { ran: bool },
    NeverSent,
}

/// Steps of a history; requests are named by how many came after them.
#[derive(Clone, Debug)]
enum Step {
    Arrival { once: bool, keyed: bool, chat: u8 },
    KeyBound { back: usize, found: bool },
    Act { back: usize, act: Act },
    Stale { back: usize, act: Act },
    Expire(usize),
    Interrupt(usize),
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
    arrivals: usize,
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
        1 => Just(Act::Unexpected),
        2 => any::<bool>().prop_map(|ran| Act::LinkLost { ran }),
        1 => any::<bool>().prop_map(|ran| Act::Stall { ran }),
        2 => Just(Act::NeverSent),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { arrivals: 0 }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let recent = 0..state.arrivals.clamp(1, 3);
        prop_oneof![
            4 => (any::<bool>(), any::<bool>(), 0..8_u8)
                .prop_map(|(once, keyed, chat)| Step::Arrival { once, keyed, chat }),
            3 => (recent.clone(), any::<bool>())
                .prop_map(|(back, found)| Step::KeyBound { back, found }),
            40 => (recent.clone(), acts()).prop_map(|(back, act)| Step::Act { back, act }),
            2 => (recent.clone(), acts()).prop_map(|(back, act)| Step::Stale { back, act }),
            1 => recent.clone().prop_map(Step::Expire),
            1 => recent.clone().prop_map(Step::Interrupt),
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
            state.arrivals += 1;
        }
        state
    }
}

/// What the oracle knows about a request.
#[derive(Debug, Default)]
struct Record {
    once: bool,
    /// Attempts that ran, or whose outcome is unknown.
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
    incarnations: [u64; UPSTREAMS],
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
    Document::parse(&json.to_string()).expect("a valid document")
}

fn plan(generation: u64) -> Arc<Plan> {
    Arc::new(Plan::compile(document(generation)).expect("a valid document"))
}

fn host(index: usize, leaving: bool) -> Host {
    Host {
        name: format!("u{index}").into(),
        entry: "".into(),
        address: format!("a{index}").into(),
        domain: "d".into(),
        labels: BTreeMap::from([("model".into(), "m".into())]),
        leaving,
        slots: 0,
        born: 0,
        version: "".into(),
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
            incarnations: [1; UPSTREAMS],
            draining: false,
            drained: false,
            seen_generations: BTreeSet::new(),
        };
        this.state.apply(Event::Configure(plan(2)), this.now);
        let hosts = (0..UPSTREAMS).map(|index| host(index, false)).collect();
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
        let open = this.requests.values().filter(|record| record.ended == 0).count();
        assert_eq!(this.state.in_flight(), open, "the count of requests is wrong");
        assert!(!this.drained || open == 0, "drained though requests are open");
        let generation = this.state.plan().map_or(0, |plan| plan.generation());
        assert_eq!(generation, this.generation, "the generation is not the highest seen");
    }
}

impl Oracle {
    #[expect(clippy::needless_pass_by_value, reason = "steps are passed by value")]
    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival { once, keyed, chat } => self.arrive(once, keyed, chat),
            Step::KeyBound { back, found } => self.bind_key(back, found),
            Step::Act { back, act } => {
                let id = self.recent_id(back);
                let held = self.requests.get(&id).and_then(|record| record.held);
                if let Some((attempt, _)) = held {
                    self.apply_act(id, attempt, act);
                }
            }
            Step::Stale { back, act } => self.apply_stale(back, act),
            Step::Expire(back) => self.apply_event(self.recent_id(back), |id| Event::Expire { id }),
            Step::Interrupt(back) => {
                self.apply_event(self.recent_id(back), |id| Event::Interrupt { id });
            }
            Step::Cancel(back) => {
                let id = self.recent_id(back);
                let open = self.requests.get(&id).is_some_and(|record| record.ended == 0);
                self.apply_event(id, |id| Event::Cancel { id });
                if open && let Some(record) = self.requests.get_mut(&id) {
                    record.ended += 1;
                }
            }
            Step::Hosts { present, leaving } => {
                let has_bit = |bits: u8, index: usize| bits >> index & 1 == 1;
                let hosts = (0..UPSTREAMS)
                    .filter(|index| has_bit(present, *index))
                    .map(|index| host(index, has_bit(leaving, index)))
                    .collect();
                self.state.apply(Event::Hosts(hosts), self.now);
            }
            Step::Connected { upstream, load, newer } => {
                self.incarnations[upstream] += u64::from(newer);
                let welcome = Welcome {
                    name: format!("u{upstream}").into(),
                    status: Status {
                        incarnation: self.incarnations[upstream],
                        load,
                        ..Status::default()
                    },
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

    fn recent_id(&self, back: usize) -> u64 {
        self.next.saturating_sub(back as u64)
    }

    fn arrive(&mut self, once: bool, keyed: bool, chat: u8) {
        self.next += 1;
        let id = self.next;
        let owner = Owner { upstream: format!("u{}", chat % 4).into(), incarnation: 1 };
        let key = IdempotencyKey { key: format!("k{id}").into(), owner: keyed.then_some(owner) };
        let arrival = Arrival {
            id,
            request: format!("r{id}").into(),
            workspace: "w".into(),
            kind: if once { "pickup" } else { "chat" }.into(),
            model: (!once).then(|| "m".into()),
            fingerprint: id,
            chat: format!("c{chat}").into(),
            parts: Vec::new(),
            idempotency_key: once.then_some(key),
            prefixes: Vec::new(),
            weight: 100,
            deadline: None,
            continuation: None,
        };
        self.requests.insert(id, Record { once, ..Record::default() });
        self.apply_event(id, |_| Event::Arrival(arrival.clone()));
    }

    fn bind_key(&mut self, back: usize, found: bool) {
        let id = self.recent_id(back);
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut record.binding) {
            return;
        }
        let owner = found.then(|| Owner { upstream: "u1".into(), incarnation: 1 });
        self.apply_event(id, |id| Event::KeyBound { id, owner: owner.clone() });
    }

    fn apply_event(&mut self, id: u64, event: impl Fn(u64) -> Event) {
        let effects = self.state.apply(event(id), self.now);
        self.carry_out(id, effects);
    }

    /// Applies an action of the sidecar that holds the current attempt.
    fn apply_act(&mut self, id: u64, attempt: u32, act: Act) {
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
                // One more chunk was sent than received.
                record.sent_chunks += 1;
                record.held = None;
            }
            _ => {}
        }
        let event = reply(id, attempt, act, record);
        self.apply_event(id, |_| event.clone());
    }

    /// Applies a frame of an earlier attempt.
    fn apply_stale(&mut self, back: usize, act: Act) {
        let id = self.recent_id(back);
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        if record.attempts < 2 || record.ended > 0 {
            return;
        }
        let event = reply(id, record.attempts - 1, act, record);
        let effects = self.state.apply(event, self.now);
        assert!(effects.is_empty(), "a stale frame had an effect: {effects:?}");
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
                        "request {id} must run only once and was sent again"
                    );
                    record.attempts += 1;
                    let attempt = attempt.number;
                    assert_eq!(attempt, record.attempts);
                    assert!(attempt <= 3, "request {id} was sent too often");
                    record.held = Some((attempt, false));
                    record.sent_chunks = 0;
                }
                Effect::Claim { .. } | Effect::Release { .. } | Effect::ReportSaturation { .. } => {
                    panic!("a permit was claimed on the sidecar path")
                }
                Effect::FindStream { .. } | Effect::PublishBeginning { .. } => {
                    panic!("no stream of this test may be continued")
                }
                Effect::BindKey { .. } => record.binding = true,
                Effect::Head(_) => {
                    assert!(!std::mem::replace(&mut record.head, true), "a second head");
                }
                Effect::Relay(bytes) => {
                    let expected = chunk_bytes(id, record.relayed);
                    assert_eq!(bytes, expected, "request {id} got bytes that are not its own");
                    record.relayed += 1;
                    record.bytes += bytes.len() as u64;
                }
                Effect::Finish => {
                    record.ended += 1;
                    assert_eq!(record.relayed, record.sent_chunks, "request {id} is incomplete");
                }
                Effect::Fail(answer) | Effect::Abort(answer) => {
                    record.ended += 1;
                    record.held = None;
                    if answer.outcome == Outcome::NotRun {
                        assert_eq!(record.ran, 0, "request {id} ran, but its answer is {answer:?}");
                    }
                }
                Effect::Record(decision) => {
                    self.seen_generations.insert(decision.generation);
                }
                Effect::PublishPrefixes(_) | Effect::Postpone(_) => {
                    panic!("request {id} has no shared prefix")
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
                | Effect::Interrupted(_)
                | Effect::ReportCrashes(_)
                | Effect::ReportCleared(_)
                | Effect::Quarantine { .. }
                | Effect::QuarantineParts { .. }
                | Effect::ReleaseParts { .. }
                | Effect::Drained => {}
            }
            assert!(record.ended <= 1, "request {id} got two final answers");
        }
    }
}

/// Expected bytes of a chunk.
fn chunk_bytes(id: u64, sequence: u64) -> Bytes {
    Bytes::from(format!("{id}:{sequence};"))
}

fn reply(id: u64, attempt: u32, act: Act, record: &Record) -> Event {
    let status = Status { incarnation: 1, ..Status::default() };
    let chunk =
        |sequence| Reply::Chunk(Chunk { attempt, sequence, bytes: chunk_bytes(id, sequence) });
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
            bytes: (0..record.sent_chunks)
                .map(|sequence| chunk_bytes(id, sequence).len() as u64)
                .sum(),
            status,
        }),
        Act::Break(kind) => Reply::Broken(Broken { attempt, kind }),
        Act::Unexpected => Reply::Unexpected,
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
    fn delivers_each_answer_once_and_repeats_only_safe_requests(sequential 1..200 => Oracle);
}
