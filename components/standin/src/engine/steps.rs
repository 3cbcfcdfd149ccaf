//! Continuous batching.

use std::time::{Duration, Instant};

use super::{Fault, Inner, Sequence, Shared};
use crate::cache::Change;
use crate::text::BLOCK;

/// How many cache events are kept for readers that come late.
const KEPT_EVENTS: usize = 4_096;

/// Makes steps until the engine is dropped.
pub(super) async fn run(shared: Shared) {
    let step = Duration::from_millis(shared.lock().settings.step_ms.max(1));
    let started = Instant::now();
    let mut ticks = tokio::time::interval(step);
    loop {
        ticks.tick().await;
        let now = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        shared.lock().step(now);
    }
}

impl Inner {
    /// Takes a request in; returns its cached prompt tokens.
    pub(super) fn admit(&mut self, mut sequence: Sequence, priority: i64, tokens: usize) -> usize {
        let cached = self.cache.matched(&sequence.prompt_blocks) * BLOCK;
        sequence.prefill = tokens.saturating_sub(cached);
        self.counts.prompt_tokens += tokens as u64;
        self.counts.cached_tokens += cached as u64;
        self.counts.started += 1;
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
        cached
    }

    fn step(&mut self, now: u64) {
        self.report(now);
        if self.fault == Fault::Frozen {
            return;
        }
        while self.running.len() < self.settings.batch {
            let Some((_, sequence)) = self.waiting.pop_first() else {
                break;
            };
            self.running.push(sequence);
        }
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|sequence| self.advance(sequence));
        self.running = running;
    }

    /// One step of one request; whether it goes on.
    fn advance(&mut self, sequence: &mut Sequence) -> bool {
        if sequence.tokens.is_closed() {
            self.counts.cancelled += 1;
            return false;
        }
        if sequence.prefill > 0 {
            sequence.prefill = sequence.prefill.saturating_sub(self.settings.prefill);
            if sequence.prefill == 0 {
                let changes = self.cache.store(&sequence.prompt_blocks);
                self.publish(changes);
            }
            return true;
        }
        if sequence.next < sequence.end {
            let _ = sequence.tokens.send(sequence.next);
            sequence.next += 1;
            self.counts.generated += 1;
        }
        sequence.next < sequence.end
    }

    fn publish(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.sequence += 1;
            let gap = self.settings.event_gap;
            if gap > 0 && self.sequence.is_multiple_of(gap) {
                continue;
            }
            self.events.push((self.sequence, change));
        }
        let surplus = self.events.len().saturating_sub(KEPT_EVENTS);
        self.events.drain(..surplus);
    }

    /// Shows the counts of now, if the last ones are old enough.
    fn report(&mut self, now: u64) {
        if now.saturating_sub(self.shown.1) < self.settings.report_lag_ms {
            return;
        }
        self.counts.running = self.running.len();
        self.counts.waiting = self.waiting.len();
        self.shown = (self.counts, now);
    }
}
