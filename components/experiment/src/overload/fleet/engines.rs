//! The messages between routers and engines.

use bytes::Bytes;
use clock::Millis;
use routing::{Attempt, Event, Reply};
use wire::{Chunk, Head, Refused, Status};

use super::names::{engine_at, engine_index, engine_name, prefix_hash, to_millis};
use super::{Fleet, Signal, SimEvent};
use crate::overload::engine::{Owner, Request};

/// The one-way delay between a router and an engine.
const DELAY: Millis = Millis(1);

impl Fleet {
    pub(super) fn send(&mut self, router: usize, id: u64, attempt: &Attempt) {
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        let engine = engine_index(&attempt.upstream);
        open.attempt = attempt.number;
        open.engine = Some(engine);
        open.chunks = 0;
        open.last_received = self.now;
        let owner = Owner { router, id, attempt: attempt.number };
        let kind = open.caller.kind;
        let prefix = prefix_hash(&open.caller);
        let source = attempt.copy_from.as_deref().map(engine_at);
        // With short memory the source may have evicted the prefix.
        let has_prefix = |engine: usize| {
            !self.pattern.has_short_memory() || self.engines[engine].has_prefix(prefix)
        };
        let copied = source.is_some_and(has_prefix);
        let request = Request {
            owner,
            priority: attempt.priority,
            prefix,
            prefix_tokens: if copied { 0 } else { kind.prefix_tokens },
            own_tokens: kind.own_tokens,
            events: kind.events,
            prefill: 0,
        };
        self.queue.add(self.now + DELAY, SimEvent::Deliver { engine, request });
        let check = SimEvent::CheckSilence { owner, timeout: attempt.timeout };
        self.queue.add(self.now + attempt.timeout, check);
    }

    pub(super) fn cancel(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let owner = Owner { router, id, attempt: open.attempt };
        if let Some(engine) = open.engine {
            self.engines[engine].cancel(owner);
        }
    }

    pub(super) fn deliver(&mut self, engine: usize, request: Request) {
        let owner = request.owner;
        if self.pattern.is_down(engine, self.now) {
            return self.signal(owner, Millis::ZERO, Signal::ConnectionFailed);
        }
        if !self.engines[engine].enqueue(request) {
            return self.signal(owner, Millis::ZERO, Signal::Refused);
        }
        self.report.fullest = self.report.fullest.max(self.engines[engine].load());
        if !std::mem::replace(&mut self.stepping[engine], true) {
            self.queue.add(self.now, SimEvent::Step(engine));
        }
    }

    /// Sends a signal to the router of a request after `delay` and the network delay.
    pub(super) fn signal(&mut self, owner: Owner, delay: Millis, signal: Signal) {
        self.queue.add(self.now + delay + DELAY, SimEvent::Answer { owner, signal });
    }

    pub(super) fn step(&mut self, engine: usize) {
        if self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let (step_ms, events) = self.engines[engine].step();
        let duration = to_millis(step_ms * self.pattern.step_factor(engine, self.now));
        for event in events {
            self.signal(event.owner, duration, Signal::Event { is_last: event.is_last });
        }
        self.queue.add(self.now + duration, SimEvent::Step(engine));
    }

    pub(super) fn answer(&mut self, owner: Owner, signal: Signal) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        if open.attempt != attempt {
            return;
        }
        open.last_received = self.now;
        match signal {
            Signal::ConnectionFailed => {
                self.apply(router, id, Event::ConnectionFailed { id, attempt, sent: true });
            }
            Signal::Refused => {
                let reply = Reply::Refused(refused());
                self.apply(router, id, Event::Reply { id, attempt, reply });
            }
            Signal::Event { is_last } => self.relay_event(owner, is_last),
        }
    }

    /// Applies an event of an answer to its router, with the head before the first event and
    /// the end after the last one.
    pub(super) fn relay_event(&mut self, owner: Owner, is_last: bool) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        let sequence = open.chunks;
        open.chunks += 1;
        let mut replies = Vec::new();
        if sequence == 0 {
            if let Some(engine) = open.engine {
                let (requests, waiting) =
                    (self.engines[engine].load(), self.engines[engine].waiting());
                let load = Event::Load { upstream: engine_name(engine), requests, waiting };
                self.routers[router].apply(load, self.now);
            }
            replies.push(Reply::Head(Head { attempt, status: 200, headers: Vec::new() }));
        }
        replies.push(Reply::Chunk(Chunk { attempt, sequence, bytes: Bytes::from_static(b"e") }));
        if is_last {
            let (chunks, status) = (sequence + 1, Status::default());
            replies.push(Reply::End(wire::End { attempt, chunks, bytes: chunks, status }));
        }
        for reply in replies {
            self.apply(router, id, Event::Reply { id, attempt, reply });
        }
    }

    pub(super) fn check_silence(&mut self, owner: Owner, timeout: Millis) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get(&(router, id)) else { return };
        if open.attempt != attempt {
            return;
        }
        let silence = open.last_received.until(self.now);
        if silence >= timeout {
            self.apply(router, id, Event::Stalled { id, attempt });
        }
        let next = if silence >= timeout { timeout } else { Millis(timeout.0 - silence.0) };
        self.queue.add(self.now + next, SimEvent::CheckSilence { owner, timeout });
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
