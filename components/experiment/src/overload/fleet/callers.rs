//! The callers: arrivals, retries and results.

use clock::Millis;
use errors::{Answer, Outcome};
use rand::Rng;
use routing::{Arrival, Event, Prefix};

use super::names::{prefix_hash, to_millis};
use super::{Caller, Fleet, Open, ROUTERS, SimEvent};
use crate::overload::kind::KINDS;
use crate::overload::report::End;

/// The end of the arrivals.
const ARRIVALS_END: Millis = Millis(20_000);

/// A caller waits for at most this fraction (1/n) of the time to its deadline before a
/// retry.
const MAX_BACKOFF_DIVISOR: u64 = 3;

impl Fleet {
    pub(super) fn arrive(&mut self) {
        if self.now >= ARRIVALS_END {
            return;
        }
        let mut draw = self.arrival_rng.random_range(0..100);
        let kind = KINDS.iter().find(|kind| {
            let is_drawn = draw < kind.percent;
            draw = draw.saturating_sub(kind.percent);
            is_drawn
        });
        let kind = kind.unwrap_or(&KINDS[0]);
        let chat = self.arrival_rng.random_range(0..kind.chats);
        let caller = Caller { kind, chat, first_sent: self.now, is_retry: false };
        self.report.record_arrival(self.now);
        self.submit(caller);
        let gap_ms = -self.arrival_rng.random::<f64>().ln() * 1_000.0 / self.pattern.rate(self.now);
        self.queue.add(self.now + to_millis(gap_ms), SimEvent::Arrive);
    }

    pub(super) fn submit(&mut self, caller: Caller) {
        self.next_id += 1;
        let id = self.next_id;
        let router = self.rng.random_range(0..ROUTERS);
        let deadline = caller.first_sent + caller.kind.deadline;
        let open = Open {
            caller,
            deadline,
            attempt: 0,
            engine: None,
            chunks: 0,
            answered_at: None,
            last_received: self.now,
        };
        self.open.insert((router, id), open);
        self.queue.add(deadline, SimEvent::Timeout { router, id });
        let arrival = Arrival {
            id,
            request: format!("r-{id}").into(),
            workspace: "w".into(),
            kind: caller.kind.name.into(),
            model: Some("m".into()),
            fingerprint: id,
            chat: format!("{}-{}", caller.kind.name, caller.chat).into(),
            prefixes: vec![Prefix {
                hash: prefix_hash(&caller),
                tokens: caller.kind.prefix_tokens,
            }],
            parts: Vec::new(),
            idempotency_key: None,
            weight: 1,
            deadline: Some(self.now.until(deadline)),
            continuation: None,
        };
        self.apply(router, id, Event::Arrival(arrival));
    }

    pub(super) fn record_answer_start(&mut self, router: usize, id: u64) {
        if let Some(open) = self.open.get_mut(&(router, id)) {
            open.answered_at.get_or_insert(self.now);
        }
    }

    pub(super) fn finish(&mut self, router: usize, id: u64) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let elapsed = open.caller.first_sent.until(open.answered_at.unwrap_or(self.now));
        let end = if elapsed <= open.caller.kind.objective { End::InTime } else { End::Late };
        self.end(router, id, end);
    }

    /// Handles an error answer. The caller retries once if the request has not run.
    pub(super) fn fail(&mut self, router: usize, id: u64, answer: &Answer) {
        let Some(open) = self.open.get(&(router, id)) else { return };
        let (mut caller, left) = (open.caller, self.now.until(open.deadline));
        if answer.outcome != Outcome::NotRun {
            return self.end(router, id, End::Failed);
        }
        if caller.is_retry {
            return self.end(router, id, End::Refused);
        }
        self.open.remove(&(router, id));
        caller.is_retry = true;
        let backoff = Millis(answer.retry_after_ms.unwrap_or(0).min(left.0 / MAX_BACKOFF_DIVISOR));
        self.queue.add(self.now + backoff, SimEvent::Retry(caller));
    }

    pub(super) fn time_out(&mut self, router: usize, id: u64) {
        if self.open.contains_key(&(router, id)) {
            self.report.expired += 1;
            self.apply(router, id, Event::Cancel { id });
            self.end(router, id, End::Failed);
        }
    }

    pub(super) fn end(&mut self, router: usize, id: u64, end: End) {
        if let Some(open) = self.open.remove(&(router, id)) {
            self.report.record_end(open.caller.first_sent, end);
        }
    }
}
