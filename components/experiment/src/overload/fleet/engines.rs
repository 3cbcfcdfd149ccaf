//! What passes between routers and engines.

use bytes::Bytes;
use clock::Millis;
use routing::{Attempt, Event, Reply};
use wire::{Chunk, Head, Refused, Status};

use super::names::{name, part, place, source, whole};
use super::{Fleet, Happening, Signal};
use crate::overload::engine::{Owner, Run};

/// One way between a router and an engine.
const DELAY: Millis = Millis(1);

impl Fleet {
    pub(super) fn send(&mut self, router: usize, id: u64, attempt: &Attempt) {
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        let engine = place(&attempt.upstream);
        open.attempt = attempt.number;
        open.engine = Some(engine);
        open.chunks = 0;
        open.heard = self.now;
        let owner = Owner { router, id, attempt: attempt.number };
        let kind = open.caller.kind;
        let part = part(&open.caller);
        let source = attempt.copy_from.as_deref().map(source);
        // Where memory is short the source may have dropped the part, too.
        let holds = |it: usize| !self.pattern.is_short_of_memory() || self.engines[it].holds(part);
        let copied = source.is_some_and(holds);
        let run = Run {
            owner,
            priority: attempt.priority,
            part,
            shared: if copied { 0 } else { kind.shared },
            own: kind.own,
            events: kind.events,
            unread: 0,
        };
        self.queue.add(self.now + DELAY, Happening::Reach { engine, run });
        let silence = Happening::Silence { owner, timeout: attempt.timeout };
        self.queue.add(self.now + attempt.timeout, silence);
    }

    pub(super) fn cancel(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let owner = Owner { router, id, attempt: open.attempt };
        if let Some(engine) = open.engine {
            self.engines[engine].cancel(owner);
        }
    }

    pub(super) fn reach(&mut self, engine: usize, run: Run) {
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
    pub(super) fn signal(&mut self, owner: Owner, after: Millis, signal: Signal) {
        self.queue.add(self.now + after + DELAY, Happening::Answer { owner, signal });
    }

    pub(super) fn step(&mut self, engine: usize) {
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

    pub(super) fn answer(&mut self, owner: Owner, signal: Signal) {
        let Owner { router, id, attempt } = owner;
        let Some(open) = self.open.get_mut(&(router, id)) else { return };
        if open.attempt != attempt {
            return;
        }
        open.heard = self.now;
        match signal {
            Signal::Lost => {
                self.apply(router, id, Event::ConnectionFailed { id, attempt, sent: true });
            }
            Signal::Refused => {
                let reply = Reply::Refused(refused());
                self.apply(router, id, Event::Reply { id, attempt, reply });
            }
            Signal::Event { last } => self.pass(owner, last),
        }
    }

    /// Passes an event of an answer on: with the head before the first one, and the end
    /// after the last one.
    pub(super) fn pass(&mut self, owner: Owner, last: bool) {
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

    pub(super) fn silence(&mut self, owner: Owner, timeout: Millis) {
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
}

fn refused() -> Refused {
    Refused {
        kind: errors::Kind::QueueFull,
        retry_after_ms: 0,
        hints: Vec::new(),
        status: Status::default(),
    }
}
