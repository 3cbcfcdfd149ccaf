//! What is run, and what came of it.

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Sidecars, each with an engine.
    pub sidecars: usize,
    /// One way between any two hosts, in milliseconds.
    pub delay_ms: u64,
    /// The tokens that an engine makes a second for one request.
    pub tokens_per_second: u64,
    /// The tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// One engine after the other vanishes and returns cold, if at all.
    pub churn: Option<Churn>,
    /// What is lost on the way, if anything.
    pub loss: Option<Loss>,
    /// The routers' settings.
    pub routing: routing::Settings,
    /// The sidecars' settings.
    pub admission: admission::Settings,
}

/// Sidecars that vanish at one moment, with their engines.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Every so manyth sidecar vanishes.
    pub every: usize,
    /// When the platform's list shows it, in milliseconds after.
    pub list_lag_ms: u64,
}

/// A rolling restart without end: engines vanish in turn and return cold.
#[derive(Clone, Copy, Debug)]
pub struct Churn {
    /// From one vanishing to the next, in milliseconds.
    pub every_ms: u64,
    /// How long an engine is gone, in milliseconds.
    pub gone_ms: u64,
    /// When the platform's list shows a change, in milliseconds after.
    pub list_lag_ms: u64,
}

/// The requests of one workspace.
#[derive(Clone, Debug)]
pub struct Load {
    /// The workspace.
    pub workspace: usize,
    /// When they begin, in milliseconds.
    pub from_ms: u64,
    /// When they end, in milliseconds.
    pub until_ms: u64,
    /// Requests a second.
    pub rate: f64,
    /// How many chats they belong to.
    pub chats: u64,
    /// The least weight of a request, in tokens.
    pub least: u64,
    /// The greatest weight of a request, in tokens.
    pub greatest: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Outcome {
    /// Requests that came.
    pub asked: u64,
    /// Requests that were answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// The worst ratio of an engine's load, just after an admission, to what
    /// the rule allows with the true load of the pool.
    pub worst_over_rule: f64,
    /// The same in 999 of 1,000 admissions.
    pub p999_over_rule: f64,
    /// The worst ratio of an engine's load to the pool's true mean, while the
    /// mean is above the floor.
    pub worst_skew: f64,
    /// Tokens of chats that came back.
    pub returning: u64,
    /// Those of them whose chat was in the cache of the engine that ran them.
    pub found: u64,
    /// Those of them whose chat was in the cache of that or another engine that
    /// could have run them under the bound.
    pub findable: u64,
    /// Notes of where a chat is.
    pub notes: u64,
    /// Bytes of load reports and their answers.
    pub report_bytes: u64,
    /// Load reports that the busiest sidecar took.
    pub busiest_reports: u64,
    /// Simulated seconds.
    pub seconds: f64,
}
