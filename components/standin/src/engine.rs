//! A model engine that speaks the OpenAI chat-completions API.
//!
//! It batches continuously: every step, each running request either works off
//! a part of its prompt or generates one token. Requests beyond the batch wait
//! by priority. `Last-Event-ID` resumes an answer after the event it names.

mod http;
mod steps;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::Server;
use crate::cache::{Cache, Change};

/// The size and speed of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The model it serves.
    pub model: String,
    /// The time of a step, in milliseconds.
    pub step_ms: u64,
    /// The requests in a batch.
    pub batch: usize,
    /// The prompt tokens worked off in a step, for one request.
    pub prefill: usize,
    /// The blocks of 16 tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// By how much the load report lags, in milliseconds.
    pub report_lag_ms: u64,
    /// Of this many cache events, one is lost; none, if zero.
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

/// What an engine does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It breaks every answer off after this many tokens.
    BreakAfter(u64),
    /// It ends every answer cleanly, but after this many tokens.
    ShortAfter(u64),
    /// It answers every request with what another one asked for.
    Crossed,
    /// It makes no step.
    Frozen,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Shared,
}

/// One request in the engine.
#[derive(Debug)]
struct Sequence {
    prompt_blocks: Vec<u64>,
    /// Prompt tokens still to be worked off.
    prefill: usize,
    next: u64,
    end: u64,
    tokens: tokio::sync::mpsc::UnboundedSender<u64>,
}

/// What an engine counts.
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
    /// By priority and arrival, lowest first.
    waiting: BTreeMap<(i64, u64), Sequence>,
    arrivals: u64,
    counts: Counts,
    /// The report that is shown, and when it was taken.
    shown: (Counts, u64),
    events: Vec<(u64, Change)>,
    sequence: u64,
    /// How often each request id was started.
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
    /// The address can't be listened on.
    pub fn start(address: &str, settings: Settings) -> std::io::Result<Self> {
        let shared = Shared(Arc::new(Mutex::new(Inner {
            cache: Cache::new(settings.cache_blocks),
            settings,
            fault: Fault::None,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            counts: Counts::default(),
            shown: (Counts::default(), 0),
            events: Vec::new(),
            sequence: 0,
            runs: HashMap::new(),
            adapters: Vec::new(),
        })));
        let routes = shared.clone();
        let server = Server::start(address, move |config| http::routes(config, &routes))?;
        Ok(Self { server, shared })
    }

    /// Its server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Makes it fail from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// How often the request with this id was started.
    pub fn runs(&self, request: &str) -> u64 {
        self.shared.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// How many requests were started.
    pub fn started(&self) -> u64 {
        self.shared.lock().counts.started
    }

    /// How many requests were cancelled by their caller.
    pub fn cancelled(&self) -> u64 {
        self.shared.lock().counts.cancelled
    }

    /// How many requests run now.
    pub fn running(&self) -> usize {
        self.shared.lock().running.len()
    }

    /// Prompt tokens asked for, and those of them found in the cache.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let counts = self.shared.lock().counts;
        (counts.prompt_tokens, counts.cached_tokens)
    }
}
