//! A model of an engine: a batch of slots, a queue by urgency, a cache of parts.
//!
//! Time goes in steps of one event. A step takes longer the more requests are in the batch,
//! and longer by what is read of prompts in it; a request's first event comes with the step
//! in which the last of its prompt is read.

use std::collections::VecDeque;

use crate::cache::Cache;

/// Requests at once.
pub(crate) const SLOTS: usize = 16;

/// Requests that may wait; those beyond it are refused.
const QUEUE: usize = 64;

/// Tokens of an event.
const TOKENS: f64 = 7.0;

/// What a token takes in an empty batch, and more for each request in it, in milliseconds.
const TOKEN_MS: f64 = 3.0;
const TOKEN_MS_EACH: f64 = 0.25;

/// Tokens of prompts that are read in a millisecond, and at most in one step.
const READ_PER_MS: f64 = 100.0;
const READ_PER_STEP: u64 = 4_096;

/// Parts of prompts that stay in the cache.
const PARTS: usize = 48;

/// Parts that give way to each request that runs, where memory is short.
const PARTS_EACH: usize = 2;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Whose it is.
    pub owner: Owner,
    pub priority: i32,
    /// The part of the prompt that others share, and its length.
    pub part: u64,
    pub shared: u64,
    /// The rest of the prompt.
    pub own: u64,
    /// Events still to come.
    pub events: u64,
    /// Tokens of the prompt that are still to be read, once it is in the batch.
    pub unread: u64,
}

/// The router, its number for the request, and the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub router: usize,
    pub id: u64,
    pub attempt: u32,
}

/// What a step brought a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub owner: Owner,
    /// Whether it is the last one.
    pub last: bool,
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    batch: Vec<Run>,
    queue: VecDeque<Run>,
    cache: Cache,
    /// Whether requests that run take the memory of parts.
    short: bool,
    /// Tokens of shared parts that were read, which copies from other engines may save.
    pub read: u64,
}

impl Engine {
    /// An engine; `short` says that requests that run take the memory of parts.
    pub(crate) fn new(short: bool) -> Self {
        Self { short, ..Self::default() }
    }

    /// Takes a request; whether it did.
    pub(crate) fn take(&mut self, run: Run) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        let place = self.queue.partition_point(|it| it.priority <= run.priority);
        self.queue.insert(place, run);
        true
    }

    /// Whether it holds a part that others may copy.
    pub(crate) fn holds(&self, part: u64) -> bool {
        self.cache.holds(part)
    }

    /// Drops a request.
    pub(crate) fn cancel(&mut self, owner: Owner) {
        self.batch.retain(|it| it.owner != owner);
        self.queue.retain(|it| it.owner != owner);
    }

    /// Requests that run and wait.
    pub(crate) fn load(&self) -> u64 {
        (self.batch.len() + self.queue.len()) as u64
    }

    /// Requests whose answers have not begun.
    pub(crate) fn waiting(&self) -> u64 {
        let unread = self.batch.iter().filter(|it| it.unread > 0).count();
        (unread + self.queue.len()) as u64
    }

    /// Whether it has anything to do.
    pub(crate) fn is_idle(&self) -> bool {
        self.load() == 0
    }

    /// Ends all requests and forgets what it read; returns whose they were.
    pub(crate) fn crash(&mut self) -> Vec<Owner> {
        let crashed = std::mem::take(self);
        self.read = crashed.read;
        self.short = crashed.short;
        crashed.batch.into_iter().chain(crashed.queue).map(|it| it.owner).collect()
    }

    /// Works for one step; returns how long it takes and what it brings.
    pub(crate) fn step(&mut self) -> (f64, Vec<Event>) {
        self.fill();
        let read = self.read_prompts();
        #[expect(clippy::cast_precision_loss, reason = "a batch is small")]
        let token = TOKEN_MS + TOKEN_MS_EACH * self.batch.len() as f64;
        #[expect(clippy::cast_precision_loss, reason = "at most what is read in a step")]
        let took = TOKENS * token + read as f64 / READ_PER_MS;
        let mut events = Vec::new();
        for run in self.batch.iter_mut().filter(|it| it.unread == 0) {
            run.events -= 1;
            events.push(Event { owner: run.owner, last: run.events == 0 });
        }
        self.batch.retain(|it| it.events > 0);
        (took, events)
    }

    /// Lets requests into free slots.
    fn fill(&mut self) {
        while self.batch.len() < SLOTS {
            let Some(mut run) = self.queue.pop_front() else { return };
            let held = self.cache.touch(run.part);
            let shared = if held { 0 } else { run.shared };
            self.read += shared;
            run.unread = run.own + shared;
            let taken = if self.short { PARTS_EACH * self.batch.len() } else { 0 };
            self.cache.store(run.part, PARTS - taken);
            self.batch.push(run);
        }
    }

    /// Reads prompts, the first come first; returns how many tokens.
    fn read_prompts(&mut self) -> u64 {
        let mut left = READ_PER_STEP;
        for run in &mut self.batch {
            let read = run.unread.min(left);
            run.unread -= read;
            left -= read;
        }
        READ_PER_STEP - left
    }
}
