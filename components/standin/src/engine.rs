//! A model engine with the OpenAI chat-completions API.
//!
//! It batches continuously: in every step, each running request either prefills
//! a chunk of its prompt or generates one token. Requests beyond the batch wait
//! in the order of their priority. `Last-Event-ID` resumes an answer after the
//! named event.

mod http;
mod steps;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::Server;
use crate::cache::{Cache, Change};

/// The capacity and speed of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of the served model.
    pub model: String,
    /// The duration of a step, in milliseconds.
    pub step_ms: u64,
    /// The maximum number of requests in the batch.
    pub batch: usize,
    /// The prompt tokens that are prefilled per request and step.
    pub prefill: usize,
    /// The capacity of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// The time between updates of the load in `/metrics`, in milliseconds.
    pub report_lag_ms: u64,
    /// Every n-th cache event is dropped; zero drops none.
    pub event_gap: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "menu-7b".to_owned(),
            step_ms: 4,
            batch: 64,
            prefill: 512,
            cache_blocks: 4_096,
            report_lag_ms: 1_000,
            event_gap: 50,
        }
    }
}

/// An injected fault of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every answer is aborted after this many tokens.
    BreakAfter(u64),
    /// Every answer ends early without an error, after this many tokens.
    ShortAfter(u64),
    /// Every request gets the answer to a different prompt.
    Crossed,
    /// The engine makes no steps.
    Frozen,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Shared,
}

/// A request in the engine.
#[derive(Debug)]
struct Sequence {
    prompt_blocks: Vec<u64>,
    /// Prompt tokens that remain to be prefilled.
    prefill: usize,
    next_token: u64,
    token_limit: u64,
    tokens: tokio::sync::mpsc::UnboundedSender<u64>,
}

/// Counters and gauges of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    running: usize,
    waiting: usize,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated: u64,
    started: u64,
    cancelled: u64,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    fault: Fault,
    cache: Cache,
    running: Vec<Sequence>,
    /// By priority and arrival, the lowest first.
    waiting: BTreeMap<(i64, u64), Sequence>,
    arrivals: u64,
    counts: Counts,
    /// The counts shown in `/metrics`, and the time they were taken at, in
    /// milliseconds.
    published: (Counts, u64),
    events: Vec<(u64, Change)>,
    event_sequence: u64,
    /// The number of starts of each request id.
    runs: HashMap<String, u64>,
    adapters: Vec<String>,
}

#[derive(Clone, Debug)]
struct Shared(Arc<Mutex<Inner>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Starts an engine that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub fn start(address: &str, settings: Settings) -> std::io::Result<Self> {
        let shared = Shared(Arc::new(Mutex::new(Inner {
            cache: Cache::new(settings.cache_blocks),
            settings,
            fault: Fault::None,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            counts: Counts::default(),
            published: (Counts::default(), 0),
            events: Vec::new(),
            event_sequence: 0,
            runs: HashMap::new(),
            adapters: Vec::new(),
        })));
        let routes = shared.clone();
        let server = Server::start(address, move |config| http::routes(config, &routes))?;
        Ok(Self { server, shared })
    }

    /// Returns the HTTP server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Injects a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Returns the number of starts of the request with this id.
    pub fn runs(&self, request: &str) -> u64 {
        self.shared.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of started requests.
    pub fn started(&self) -> u64 {
        self.shared.lock().counts.started
    }

    /// Returns the number of requests that were cancelled by their caller.
    pub fn cancelled(&self) -> u64 {
        self.shared.lock().counts.cancelled
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.shared.lock().running.len()
    }

    /// Returns the prompt tokens of all requests, and those of them that were
    /// cached.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let counts = self.shared.lock().counts;
        (counts.prompt_tokens, counts.cached_tokens)
    }
}
