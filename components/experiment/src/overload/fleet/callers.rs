//! Callers: what they send, and what becomes of it for them.

use clock::Millis;
use errors::{Answer, Outcome};
use rand::Rng;
use routing::{Arrival, Event, Prefix};

use super::names::{part, whole};
use super::{Caller, Fleet, Happening, Open, ROUTERS};
use crate::overload::kind::KINDS;
use crate::overload::report::End;

/// When callers stop sending.
const LAST_ASK: Millis = Millis(20_000);

/// The share of the time left that a caller stays away at most, as one part in so many.
const HONOURED: u64 = 3;

impl Fleet {
    pub(super) fn arrive(&mut self) {
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

    pub(super) fn ask(&mut self, caller: Caller) {
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
        let ask = Arrival {
            id,
            request: format!("r-{id}").into(),
            workspace: "w".into(),
            kind: caller.kind.name.into(),
            model: Some("m".into()),
            fingerprint: id,
            chat: format!("{}-{}", caller.kind.name, caller.chat).into(),
            prefixes: vec![Prefix { hash: part(&caller), tokens: caller.kind.shared }],
            idempotency_key: None,
            weight: 1,
            deadline: Some(self.now.until(deadline)),
        };
        self.apply(router, id, Event::Arrival(ask));
    }

    pub(super) fn begin(&mut self, router: usize, id: u64) {
        if let Some(open) = self.open.get_mut(&(router, id)) {
            open.begun.get_or_insert(self.now);
        }
    }

    pub(super) fn finish(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let took = open.caller.first.until(open.begun.unwrap_or(self.now));
        let end = if took <= open.caller.kind.objective { End::InTime } else { End::Late };
        self.end(router, id, end);
    }

    /// The caller gets an error. One that says that the request has not run may come back
    /// once.
    pub(super) fn fail(&mut self, router: usize, id: u64, answer: &Answer) {
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

    pub(super) fn give_up(&mut self, router: usize, id: u64) {
        if self.open.contains_key(&(router, id)) {
            self.report.expired += 1;
            self.apply(router, id, Event::Cancel { id });
            self.end(router, id, End::Failed);
        }
    }

    pub(super) fn end(&mut self, router: usize, id: u64, end: End) {
        if let Some(open) = self.open.remove(&(router, id)) {
            self.report.end(open.caller.first, end);
        }
    }
}
