//! A model of an engine: a batch of slots, a priority queue and a cache of prefixes.
//!
//! Each step generates one event per prefilled request. The duration of a step grows with
//! the number of requests in the batch and with the prompt tokens that it prefills. A
//! request gets its first event in the step that completes its prefill.

use std::collections::VecDeque;

use crate::cache::Cache;

/// The size of the batch.
pub(crate) const SLOTS: usize = 16;

/// The capacity of the queue.
const MAX_QUEUED: usize = 64;

/// The number of tokens in an event.
const TOKENS_PER_EVENT: f64 = 7.0;

/// The time to generate a token: a fixed part, and a part for each request in the batch.
const TOKEN_MS: f64 = 3.0;
const TOKEN_MS_PER_REQUEST: f64 = 0.25;

/// The prefill speed, and the maximum prefill in one step.
const PREFILL_TOKENS_PER_MS: f64 = 100.0;
const MAX_PREFILL_TOKENS_PER_STEP: u64 = 4_096;

/// The capacity of the cache, in prefixes.
const MAX_PREFIXES: usize = 48;

/// The number of prefixes by which a running request reduces the cache if memory is short.
const PREFIXES_PER_REQUEST: usize = 2;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub owner: Owner,
    pub priority: i32,
    /// The hash of the shared prefix.
    pub prefix: u64,
    /// The tokens of the prefix that are prefilled unless it is cached.
    pub prefix_tokens: u64,
    /// The tokens of the prompt after the prefix.
    pub own_tokens: u64,
    /// The remaining events.
    pub events: u64,
    /// The remaining prompt tokens to prefill, once the request is in the batch.
    pub prefill: u64,
}

/// The router of a request, with its id and attempt there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub router: usize,
    pub id: u64,
    pub attempt: u32,
}

/// An event of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub owner: Owner,
    /// Whether it is the last event.
    pub is_last: bool,
}

/// The state of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    batch: Vec<Request>,
    queue: VecDeque<Request>,
    cache: Cache,
    /// Whether running requests reduce the cache.
    short_memory: bool,
    /// The prefilled prefix tokens, which copies from other engines can avoid.
    pub prefilled_prefix_tokens: u64,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    pub(crate) fn new(short_memory: bool) -> Self {
        Self { short_memory, ..Self::default() }
    }

    /// Queues a request and returns whether the queue had room.
    pub(crate) fn enqueue(&mut self, request: Request) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let index = self.queue.partition_point(|queued| queued.priority <= request.priority);
        self.queue.insert(index, request);
        true
    }

    /// Returns whether a prefix is cached.
    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.cache.contains(prefix)
    }

    /// Removes a request.
    pub(crate) fn cancel(&mut self, owner: Owner) {
        self.batch.retain(|request| request.owner != owner);
        self.queue.retain(|request| request.owner != owner);
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn load(&self) -> u64 {
        (self.batch.len() + self.queue.len()) as u64
    }

    /// Returns the number of requests without a first event.
    pub(crate) fn waiting(&self) -> u64 {
        let prefilling = self.batch.iter().filter(|request| request.prefill > 0).count();
        (prefilling + self.queue.len()) as u64
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.load() == 0
    }

    /// Clears the requests and the cache, and returns the owners of the requests.
    pub(crate) fn crash(&mut self) -> Vec<Owner> {
        let crashed = std::mem::take(self);
        self.prefilled_prefix_tokens = crashed.prefilled_prefix_tokens;
        self.short_memory = crashed.short_memory;
        crashed.batch.into_iter().chain(crashed.queue).map(|request| request.owner).collect()
    }

    /// Runs one step and returns its duration in milliseconds and its events.
    pub(crate) fn step(&mut self) -> (f64, Vec<Event>) {
        self.fill_batch();
        let prefilled = self.prefill();
        #[expect(clippy::cast_precision_loss, reason = "a batch is small")]
        let token_ms = TOKEN_MS + TOKEN_MS_PER_REQUEST * self.batch.len() as f64;
        #[expect(clippy::cast_precision_loss, reason = "bounded by the prefill of a step")]
        let step_ms = TOKENS_PER_EVENT * token_ms + prefilled as f64 / PREFILL_TOKENS_PER_MS;
        let mut events = Vec::new();
        for request in self.batch.iter_mut().filter(|request| request.prefill == 0) {
            request.events -= 1;
            events.push(Event { owner: request.owner, is_last: request.events == 0 });
        }
        self.batch.retain(|request| request.events > 0);
        (step_ms, events)
    }

    /// Moves queued requests into free slots.
    fn fill_batch(&mut self) {
        while self.batch.len() < SLOTS {
            let Some(mut request) = self.queue.pop_front() else { return };
            let cached = self.cache.touch(request.prefix);
            let prefix_tokens = if cached { 0 } else { request.prefix_tokens };
            self.prefilled_prefix_tokens += prefix_tokens;
            request.prefill = request.own_tokens + prefix_tokens;
            let reduction =
                if self.short_memory { PREFIXES_PER_REQUEST * self.batch.len() } else { 0 };
            self.cache.store(request.prefix, MAX_PREFIXES - reduction);
            self.batch.push(request);
        }
    }

    /// Prefills prompts in the order of the batch and returns the number of tokens.
    fn prefill(&mut self) -> u64 {
        let mut left = MAX_PREFILL_TOKENS_PER_STEP;
        for request in &mut self.batch {
            let prefilled = request.prefill.min(left);
            request.prefill -= prefilled;
            left -= prefilled;
        }
        MAX_PREFILL_TOKENS_PER_STEP - left
    }
}
