//! Continuous batching.

use std::time::{Duration, Instant};

use super::{Fault, Inner, Sequence, Shared};
use crate::cache::Change;
use crate::text::BLOCK_TOKENS;

/// The cache events that are kept for later readers.
const MAX_EVENTS: usize = 4_096;

/// Runs the steps of the engine.
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
    /// Queues a request and returns the number of its cached prompt tokens.
    pub(super) fn admit(&mut self, mut sequence: Sequence, priority: i64, tokens: usize) -> usize {
        let cached = self.cache.matching_blocks(&sequence.prompt_blocks) * BLOCK_TOKENS;
        sequence.prefill = tokens.saturating_sub(cached);
        self.counts.prompt_tokens += tokens as u64;
        self.counts.cached_tokens += cached as u64;
        self.counts.started += 1;
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
        cached
    }

    fn step(&mut self, now: u64) {
        self.publish_counts(now);
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

    /// Advances a request by one step and returns whether it continues.
    fn advance(&mut self, sequence: &mut Sequence) -> bool {
        if sequence.tokens.is_closed() {
            self.counts.cancelled += 1;
            return false;
        }
        if sequence.prefill > 0 {
            sequence.prefill = sequence.prefill.saturating_sub(self.settings.prefill);
            if sequence.prefill == 0 {
                let changes = self.cache.store(&sequence.prompt_blocks);
                self.publish_changes(changes);
            }
            return true;
        }
        if sequence.next_token < sequence.token_limit {
            let _ = sequence.tokens.send(sequence.next_token);
            sequence.next_token += 1;
            self.counts.generated += 1;
        }
        sequence.next_token < sequence.token_limit
    }

    fn publish_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.event_sequence += 1;
            let drop_interval = self.settings.event_gap;
            if drop_interval > 0 && self.event_sequence.is_multiple_of(drop_interval) {
                continue;
            }
            self.events.push((self.event_sequence, change));
        }
        let surplus = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..surplus);
    }

    /// Updates the published counts if they are older than the report lag.
    fn publish_counts(&mut self, now: u64) {
        if now.saturating_sub(self.published.1) < self.settings.report_lag_ms {
            return;
        }
        self.counts.running = self.running.len();
        self.counts.waiting = self.waiting.len();
        self.published = (self.counts, now);
    }
}
