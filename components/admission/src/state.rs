//! The reducer's state and its transitions.

use std::collections::HashMap;
use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use placement::Pool;
use wire::{
    Admitted, Broken, Chunk, DirectoryUpdate, End, Frame, Head, Open, Refused, Report, Status,
};

use crate::call::{Answer, Call, Stage};
use crate::directory::Directory;
use crate::keys::{Action, Keys, digest};
use crate::pool::Tree;
use crate::queue::Queue;
use crate::{CallId, Effect, Event, Peer, Settings};

/// The weight of the latest run in the mean run time, as a divisor.
const RUN_SMOOTHING: u64 = 8;

/// The state of a sidecar.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    /// The time of the latest event.
    now: Millis,
    incarnation: u64,
    calls: HashMap<CallId, Call>,
    queue: Queue,
    running: usize,
    load: u64,
    keys: Keys,
    tree: Tree,
    directory: Directory,
    /// The mean run time.
    run_ms: u64,
    leaving: bool,
}

impl State {
    /// Creates the state of a new incarnation, whose number is above that of every earlier one of
    /// the same name.
    pub fn new(settings: Settings, own: Peer, incarnation: u64) -> Self {
        let tree = Tree::new(own, incarnation, &settings);
        Self {
            settings,
            now: Millis::ZERO,
            incarnation,
            calls: HashMap::new(),
            queue: Queue::default(),
            running: 0,
            load: 0,
            keys: Keys::default(),
            tree,
            directory: Directory::default(),
            run_ms: 0,
            leaving: false,
        }
    }

    /// The status reported in frames.
    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            load: self.load,
            pool: self.pool(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            leaving: self.leaving,
        }
    }

    /// The admitted load, in tokens.
    pub fn load(&self) -> u64 {
        self.load
    }

    /// The number of admitted calls that have not ended, queued or running.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The number of calls at the upstream.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The incarnation of this sidecar.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether new requests are refused as the upstream leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Applies an event and returns its effects.
    pub fn apply(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = now;
        let mut effects = match event {
            Event::Open { call, open } => self.open(call, open, now),
            Event::Cancel { call } => self.cancel(call),
            Event::Head { call, status, headers } => self.start_answer(call, status, headers),
            Event::Chunk { call, bytes } => self.forward_chunk(call, bytes),
            Event::Ended { call } => self.finish(call, now),
            Event::Failed { call, kind } => self.fail(call, kind),
            Event::Pool { pool, sum } => self.record_pool(pool, sum, now),
            Event::Report { call, report } => self.receive_report(call, &report, now),
            Event::DirectoryUpdate(update) => self.update_directory(update),
            Event::Peers(peers) => self.set_peers(peers, now),
            Event::Tick => self.tick(now),
            Event::Leave => self.leave(),
        };
        self.start_waiting(now, &mut effects);
        if self.leaving && self.calls.is_empty() {
            effects.push(Effect::Drained);
        }
        effects
    }

    fn pool(&self) -> Pool {
        self.tree.pool(self.load, self.now)
    }

    fn open(&mut self, id: CallId, open: Open, now: Millis) -> Vec<Effect> {
        if open.incarnation != 0 && open.incarnation != self.incarnation {
            return self.refuse(id, Kind::KeyOwnerGone, Vec::new());
        }
        let hints = self.hints(&open);
        if let Some(key) = &open.idempotency_key {
            match self.keys.register(key, digest(&open), &self.settings) {
                Action::Run => {}
                Action::Replay(answer) => return self.replay(id, open.attempt, &answer),
                Action::Refuse(kind) => return self.refuse(id, kind, Vec::new()),
            }
        }
        if let Some(kind) = self.refusal(&open) {
            if let Some(key) = &open.idempotency_key {
                self.keys.release(key);
            }
            return self.refuse(id, kind, hints);
        }
        if !hints.is_empty() {
            return self.refuse(id, Kind::Moved, hints);
        }
        self.directory.remove(open.chat);
        self.load += open.weight;
        let call = Call {
            attempt: open.attempt,
            workspace: open.workspace.clone(),
            priority: open.priority,
            weight: open.weight,
            started: now,
            deadline: now + Millis(open.remaining_ms),
            key: open.idempotency_key.clone(),
            stage: Stage::Queued(Box::new(open)),
            chunks: 0,
            bytes: 0,
            awaited: true,
            answer: Answer::default(),
        };
        self.queue.push(id, &call);
        self.calls.insert(id, call);
        let frame = Frame::Admitted(Admitted { status: self.status() });
        vec![Effect::Send { call: id, frame }]
    }

    /// Why a request can't be admitted now, if so.
    fn refusal(&self, open: &Open) -> Option<Kind> {
        if self.leaving {
            return Some(Kind::Leaving);
        }
        if !self.settings.bound.admits(self.load, open.weight, self.pool()) {
            return Some(Kind::OverBound);
        }
        let must_wait = self.running >= self.settings.slots;
        if must_wait && self.queue.len() >= self.settings.queue {
            return Some(Kind::QueueFull);
        }
        if must_wait && self.expected_wait_ms() > open.remaining_ms {
            return Some(Kind::WouldMiss);
        }
        (open.remaining_ms == 0).then_some(Kind::ExpiredWaiting)
    }

    /// The expected wait of a call that arrives now.
    fn expected_wait_ms(&self) -> u64 {
        if self.running < self.settings.slots {
            return 0;
        }
        let ahead = self.queue.len() as u64 + 1;
        ahead * self.run_ms / self.settings.slots.max(1) as u64
    }

    /// The other upstreams that have a chat's context, if this is the chat's home. None for requests
    /// with an idempotency key.
    fn hints(&self, open: &Open) -> Vec<Arc<str>> {
        if !open.is_home || open.idempotency_key.is_some() {
            return Vec::new();
        }
        self.directory.get(open.chat).to_vec()
    }

    fn refuse(&self, call: CallId, kind: Kind, hints: Vec<Arc<str>>) -> Vec<Effect> {
        let retry_after_ms = self.expected_wait_ms().max(self.run_ms);
        let refused = Refused { kind, retry_after_ms, hints, status: self.status() };
        vec![Effect::Finish { call, frame: Frame::Refused(refused) }]
    }

    /// Starts waiting calls while slots are free.
    fn start_waiting(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        while self.running < self.settings.slots {
            let Some(id) = self.queue.pop(&self.calls) else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let Stage::Queued(open) = std::mem::replace(&mut call.stage, Stage::Running) else {
                continue;
            };
            call.started = now;
            self.running += 1;
            effects.push(Effect::Run { call: id, open: *open });
        }
    }

    fn start_answer(
        &mut self,
        id: CallId,
        status: u16,
        headers: Vec<(Arc<str>, Arc<str>)>,
    ) -> Vec<Effect> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        call.stage = Stage::Answering;
        if call.key.is_some() {
            call.answer.status = status;
            call.answer.headers.clone_from(&headers);
        }
        let frame = Frame::Head(Head { attempt: call.attempt, status, headers });
        if call.awaited { vec![Effect::Send { call: id, frame }] } else { Vec::new() }
    }

    fn forward_chunk(&mut self, id: CallId, bytes: bytes::Bytes) -> Vec<Effect> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        let sequence = call.chunks;
        call.chunks += 1;
        call.bytes += bytes.len() as u64;
        if call.key.is_some() {
            call.answer.size += bytes.len();
            if call.answer.size <= self.settings.answer_bytes {
                call.answer.chunks.push(bytes.clone());
            }
        }
        let frame = Frame::Chunk(Chunk { attempt: call.attempt, sequence, bytes });
        if call.awaited { vec![Effect::Send { call: id, frame }] } else { Vec::new() }
    }

    fn finish(&mut self, id: CallId, now: Millis) -> Vec<Effect> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        let ran = call.started.until(now).0;
        self.run_ms = if self.run_ms == 0 {
            ran
        } else {
            (self.run_ms * (RUN_SMOOTHING - 1) + ran) / RUN_SMOOTHING
        };
        if let Some(key) = &call.key {
            self.keys.store(key, call.answer, &self.settings);
        }
        let (attempt, chunks, bytes) = (call.attempt, call.chunks, call.bytes);
        let frame = Frame::End(End { attempt, chunks, bytes, status: self.status() });
        if call.awaited { vec![Effect::Finish { call: id, frame }] } else { Vec::new() }
    }

    /// Ends a call without a complete answer.
    fn fail(&mut self, id: CallId, kind: Kind) -> Vec<Effect> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        if let Some(key) = &call.key {
            match kind.row().outcome {
                Outcome::NotRun => self.keys.release(key),
                Outcome::Unknown | Outcome::Ran => self.keys.mark_unknown(key, kind),
            }
        }
        if !call.awaited {
            return Vec::new();
        }
        let frame = if kind.row().outcome == Outcome::NotRun {
            let retry_after_ms = self.run_ms;
            Frame::Refused(Refused {
                kind,
                retry_after_ms,
                hints: Vec::new(),
                status: self.status(),
            })
        } else {
            Frame::Broken(Broken { attempt: call.attempt, kind })
        };
        vec![Effect::Finish { call: id, frame }]
    }

    /// Cancels a call. A running call with a key continues, so that its answer can be replayed.
    fn cancel(&mut self, id: CallId) -> Vec<Effect> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        if call.key.is_some() && !call.is_queued() {
            call.awaited = false;
            return Vec::new();
        }
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        if call.is_queued() {
            if let Some(key) = &call.key {
                self.keys.release(key);
            }
            return Vec::new();
        }
        vec![Effect::Abort { call: id }]
    }

    /// Removes a call with its load and its slot or queue entry.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.load -= call.weight;
        if call.is_queued() {
            self.queue.remove(id);
        } else {
            self.running -= 1;
        }
        Some(call)
    }

    fn replay(&self, call: CallId, attempt: u32, answer: &Answer) -> Vec<Effect> {
        let send = |frame| Effect::Send { call, frame };
        let (status, headers) = (answer.status, answer.headers.clone());
        let mut effects = vec![
            send(Frame::Admitted(Admitted { status: self.status() })),
            send(Frame::Head(Head { attempt, status, headers })),
        ];
        for (sequence, bytes) in (0..).zip(&answer.chunks) {
            effects.push(send(Frame::Chunk(Chunk { attempt, sequence, bytes: bytes.clone() })));
        }
        let (chunks, bytes) = (answer.chunks.len() as u64, answer.size as u64);
        let frame = Frame::End(End { attempt, chunks, bytes, status: self.status() });
        effects.push(Effect::Finish { call, frame });
        effects
    }

    fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut expired: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.deadline <= now).map(|(id, _)| *id).collect();
        expired.sort_unstable();
        let mut effects = Vec::new();
        for id in expired {
            effects.extend(self.expire(id));
        }
        let reports = self.tree.take_reports(self.load, &self.settings, now);
        effects.extend(reports.into_iter().map(|(to, report)| Effect::Report { to, report }));
        effects
    }

    fn expire(&mut self, id: CallId) -> Vec<Effect> {
        let Some(call) = self.calls.get(&id) else {
            return Vec::new();
        };
        let kind = match call.stage {
            Stage::Queued(_) => Kind::ExpiredWaiting,
            // Without an answer it is unknown whether the request ran.
            Stage::Running => Kind::Expired,
            Stage::Answering => Kind::ExpiredRunning,
        };
        let mut effects = Vec::new();
        if kind != Kind::ExpiredWaiting {
            effects.push(Effect::Abort { call: id });
        }
        effects.extend(self.fail(id, kind));
        effects
    }

    fn record_pool(&mut self, pool: Pool, sum: bool, now: Millis) -> Vec<Effect> {
        self.tree.record_answer(pool, sum, now);
        Vec::new()
    }

    fn receive_report(&mut self, call: CallId, report: &Report, now: Millis) -> Vec<Effect> {
        let frame = Frame::Pool(self.tree.receive(report, now));
        vec![Effect::Finish { call, frame }]
    }

    fn update_directory(&mut self, update: DirectoryUpdate) -> Vec<Effect> {
        self.directory.insert(update.chat, update.upstream, self.settings.chats);
        Vec::new()
    }

    fn set_peers(&mut self, peers: Vec<Peer>, now: Millis) -> Vec<Effect> {
        self.tree.set_members(peers, now);
        Vec::new()
    }

    fn leave(&mut self) -> Vec<Effect> {
        self.leaving = true;
        Vec::new()
    }
}
