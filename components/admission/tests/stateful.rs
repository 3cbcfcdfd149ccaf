//! Tests the reducer against a model that records every run.

use std::collections::{BTreeMap, BTreeSet};

use admission::{CallId, Effect, Event, Peer, Settings, State};
use bytes::Bytes;
use clock::Millis;
use errors::{Kind, Outcome};
use placement::{Bound, Pool};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wire::{Frame, Open};

const SEED: u64 = 20_261_202;

const BOUND: Bound = Bound { multiple: 1.25, floor: 40, margin: 0.0, extra: 0 };

const SLOTS: usize = 3;

/// A step of a test. Calls are identified by the number of calls opened since.
#[derive(Clone, Debug)]
enum Step {
    Open { workspace: u8, weight: u64, key: Option<u8>, body: u8, remaining: u64, stale: bool },
    Cancel(usize),
    Head(usize),
    Chunk(usize),
    Ended(usize),
    Failed(usize, Kind),
    Tick(u64),
    Pool { load: u64, members: u32 },
    Leave,
    Restart,
}

/// Limits which calls a step may refer to.
#[derive(Clone, Debug)]
struct Reference {
    opened: usize,
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { opened: 0 }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let opened = state.opened.max(1);
        let recent = 0..opened.min(5);
        let kinds =
            prop_oneof![Just(Kind::UpstreamDown), Just(Kind::UpstreamLost), Just(Kind::Truncated)];
        let open =
            (0..3_u8, 1..30_u64, prop::option::of(0..6_u8), 0..2_u8, 0..500_u64, any::<bool>());
        prop_oneof![
            5 => open.prop_map(|(workspace, weight, key, body, remaining, stale)| Step::Open {
                workspace, weight, key, body, remaining, stale: stale && body == 0,
            }),
            1 => recent.clone().prop_map(Step::Cancel),
            6 => recent.clone().prop_map(Step::Head),
            8 => recent.clone().prop_map(Step::Chunk),
            6 => recent.clone().prop_map(Step::Ended),
            1 => (recent, kinds).prop_map(|(call, kind)| Step::Failed(call, kind)),
            2 => (0..200_u64).prop_map(Step::Tick),
            2 => (0..400_u64, 1..6_u32).prop_map(|(load, members)| Step::Pool { load, members }),
            1 => prop_oneof![9 => Just(Step::Tick(1)), 1 => Just(Step::Leave), 2 => Just(Step::Restart)],
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if matches!(step, Step::Open { .. }) {
            state.opened += 1;
        }
        state
    }
}

/// The expected state of a call.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent flags")]
struct Record {
    weight: u64,
    key: Option<u8>,
    runs: u32,
    /// Sent to the upstream and not ended.
    at_upstream: bool,
    answering: bool,
    refused_as_not_run: bool,
    last_frames: u32,
    cancelled: bool,
    chunks: u64,
    opened_after_leave: bool,
}

struct Model {
    state: State,
    now: Millis,
    incarnation: u64,
    calls: BTreeMap<CallId, Record>,
    next: CallId,
    leaving: bool,
    /// The incarnation in which each key was first used.
    owners: BTreeMap<u8, u64>,
    /// The runs of each key, over all incarnations.
    key_runs: BTreeMap<u8, u32>,
    /// Calls that the reducer aborted.
    aborted: BTreeSet<CallId>,
}

impl StateMachineTest for Model {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Self {
        Self {
            state: new_state(1),
            now: Millis(1_000),
            incarnation: 1,
            calls: BTreeMap::new(),
            next: 0,
            leaving: false,
            owners: BTreeMap::new(),
            key_runs: BTreeMap::new(),
            aborted: BTreeSet::new(),
        }
    }

    fn apply(mut this: Self, _: &Reference, step: Step) -> Self {
        this.step(step);
        this
    }

    fn check_invariants(this: &Self, _: &Reference) {
        this.check();
    }
}

fn new_state(incarnation: u64) -> State {
    let settings = Settings {
        bound: BOUND,
        slots: SLOTS,
        queue: 3,
        answers_bytes: 64,
        answer_bytes: 24,
        ..Settings::default()
    };
    let own = Peer { name: "e1".into(), address: "a".into() };
    State::new(settings, own, incarnation)
}

impl Model {
    #[expect(clippy::needless_pass_by_value, reason = "steps are passed by value")]
    fn step(&mut self, step: Step) {
        match step {
            Step::Open { workspace, weight, key, body, remaining, stale } => {
                self.open(workspace, weight, key, body, remaining, stale);
            }
            Step::Cancel(back) => {
                let call = self.call(back);
                if let Some(record) = self.calls.get_mut(&call) {
                    record.cancelled = true;
                }
                self.apply(Event::Cancel { call });
            }
            Step::Head(back) => self.answer(back, false, |call| Event::Head {
                call,
                status: 200,
                headers: Vec::new(),
            }),
            Step::Chunk(back) => self.answer(back, true, |call| Event::Chunk {
                call,
                bytes: Bytes::from_static(b"0123456789"),
            }),
            Step::Ended(back) => self.end(back, true, |call| Event::Ended { call }),
            Step::Failed(back, kind) => {
                // Without a connection to the upstream nothing has run.
                let call = self.call(back);
                let answering = self.calls.get(&call).is_some_and(|record| record.answering);
                if kind == Kind::UpstreamDown && !answering && self.is_at_upstream(call) {
                    self.undo_run(call);
                }
                if kind != Kind::UpstreamDown || !answering {
                    self.end(back, false, |call| Event::Failed { call, kind });
                }
            }
            Step::Tick(passed) => {
                self.now = self.now + Millis(passed);
                self.apply(Event::Tick);
            }
            Step::Pool { load, members } => {
                self.apply(Event::Pool { pool: Pool { load, members }, sum: false });
            }
            Step::Leave => {
                self.leaving = true;
                self.apply(Event::Leave);
            }
            Step::Restart => self.restart(),
        }
    }

    fn open(
        &mut self,
        workspace: u8,
        weight: u64,
        key: Option<u8>,
        body: u8,
        remaining: u64,
        stale: bool,
    ) {
        self.next += 1;
        let call = self.next;
        let owner = key.map(|key| *self.owners.entry(key).or_insert(self.incarnation));
        let incarnation = match owner {
            Some(owner) => owner,
            None if stale => self.incarnation + 1,
            None => 0,
        };
        self.calls.insert(
            call,
            Record {
                weight,
                key,
                runs: 0,
                at_upstream: false,
                answering: false,
                refused_as_not_run: false,
                last_frames: 0,
                cancelled: false,
                chunks: 0,
                opened_after_leave: self.leaving,
            },
        );
        let before = (self.state.load(), self.state.status().pool);
        let open = Open {
            request: format!("r{call}").into(),
            attempt: 1,
            workspace: format!("w{workspace}").into(),
            chat: call % 7,
            is_home: call.is_multiple_of(2),
            priority: 0,
            remaining_ms: remaining,
            weight,
            incarnation,
            idempotency_key: key.map(|key| format!("k{key}").into()),
            generation: 1,
            traceparent: None,
            method: "POST".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: Bytes::from(vec![body]),
        };
        self.apply(Event::Open { call, open });
        if self.state.load() > before.0 {
            let (load, pool) = before;
            assert!(
                load == 0 || load + weight <= BOUND.ceiling(pool, weight),
                "{load} + {weight} exceeds the bound of {pool:?}"
            );
        }
    }

    fn call(&self, back: usize) -> CallId {
        self.next.saturating_sub(back as CallId)
    }

    fn is_at_upstream(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|record| record.at_upstream)
    }

    fn answer(&mut self, back: usize, answering: bool, event: impl Fn(CallId) -> Event) {
        let call = self.call(back);
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        if !record.at_upstream || record.answering != answering {
            return;
        }
        record.answering = true;
        self.apply(event(call));
    }

    fn end(&mut self, back: usize, answering: bool, event: impl Fn(CallId) -> Event) {
        let call = self.call(back);
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        if !record.at_upstream || (answering && !record.answering) {
            return;
        }
        record.at_upstream = false;
        self.apply(event(call));
    }

    fn undo_run(&mut self, call: CallId) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        record.runs = 0;
        if let Some(key) = record.key {
            *self.key_runs.entry(key).or_default() -= 1;
        }
    }

    /// Kills the sidecar. Its calls in flight get no further events.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.leaving = false;
        self.state = new_state(self.incarnation);
        self.calls.clear();
    }

    fn apply(&mut self, event: Event) {
        for effect in self.state.apply(event, self.now) {
            match effect {
                Effect::Run { call, .. } => self.run(call),
                Effect::Abort { call } => {
                    self.aborted.insert(call);
                    if let Some(record) = self.calls.get_mut(&call) {
                        record.at_upstream = false;
                    }
                }
                Effect::Send { call, frame } => self.frame(call, &frame),
                Effect::Finish { call, frame } => {
                    self.frame(call, &frame);
                    self.last_frame(call, &frame);
                }
                Effect::Report { .. } | Effect::Drained => {}
            }
        }
    }

    fn run(&mut self, call: CallId) {
        let record = self.calls.get_mut(&call).expect("only known calls run");
        assert!(!record.refused_as_not_run, "call {call} ran after it was refused as not run");
        assert!(!record.opened_after_leave, "call {call} was opened after the leave and ran");
        record.runs += 1;
        record.at_upstream = true;
        assert_eq!(record.runs, 1, "call {call} ran twice");
        if let Some(key) = record.key {
            let runs = self.key_runs.entry(key).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "key {key} ran twice");
        }
    }

    fn frame(&mut self, call: CallId, frame: &Frame) {
        let record = self.calls.get_mut(&call).expect("only known calls get frames");
        assert_eq!(record.last_frames, 0, "call {call} got a frame after its last one");
        if let Frame::Chunk(chunk) = frame {
            assert_eq!(chunk.sequence, record.chunks, "call {call} got a chunk out of order");
            record.chunks += 1;
        }
    }

    fn last_frame(&mut self, call: CallId, frame: &Frame) {
        let record = self.calls.get_mut(&call).expect("only known calls get frames");
        record.last_frames += 1;
        match frame {
            Frame::Refused(refused) if refused.kind.row().outcome == Outcome::NotRun => {
                record.refused_as_not_run = true;
                assert_eq!(record.runs, 0, "call {call} ran and was refused as not run");
            }
            Frame::End(end) => {
                assert_eq!(end.chunks, record.chunks, "call {call} has a wrong number of chunks");
            }
            _ => {}
        }
    }

    fn check(&self) {
        assert!(self.state.running() <= SLOTS);
        let at_upstream = self.calls.values().filter(|record| record.at_upstream).count();
        assert_eq!(self.state.running(), at_upstream, "wrong number of running calls");
        let free = self.state.running() < SLOTS;
        assert!(!free || self.state.status().queued == 0, "a call waits though a slot is free");
        let running_load: u64 = self
            .calls
            .values()
            .filter(|record| record.at_upstream)
            .map(|record| record.weight)
            .sum();
        assert!(
            self.state.load() >= running_load,
            "the load is less than that of the running calls"
        );
        if self.state.in_flight() == 0 {
            assert_eq!(self.state.load(), 0, "load remains without calls");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    #[test]
    fn calls_run_at_most_once_within_the_slots_and_the_bound(sequential 1..200 => Model);
}
