//! The parameters and the results of a simulation.

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The random seed.
    pub seed: u64,
    /// The number of routers.
    pub routers: usize,
    /// The number of sidecars, each with an engine.
    pub sidecars: usize,
    /// The one-way delay between two hosts, in milliseconds.
    pub delay_ms: u64,
    /// The tokens per second that an engine generates for each request.
    pub tokens_per_second: u64,
    /// The capacity of an engine's cache, in tokens.
    pub cache_tokens: u64,
    /// A continuous rolling restart.
    pub churn: Option<Churn>,
    /// A simultaneous outage of several sidecars.
    pub outage: Option<Outage>,
    /// The settings of the routers.
    pub routing: routing::Settings,
    /// The settings of the sidecars.
    pub admission: admission::Settings,
}

/// A simultaneous outage of sidecars and their engines.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The start, in milliseconds.
    pub at_ms: u64,
    /// Every n-th sidecar fails.
    pub every_nth: usize,
    /// The delay until the list of hosts shows the outage, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// A continuous rolling restart: engines stop in turn and return with empty caches.
#[derive(Clone, Copy, Debug)]
pub struct Churn {
    /// The time between stops, in milliseconds.
    pub interval_ms: u64,
    /// The downtime of an engine, in milliseconds.
    pub downtime_ms: u64,
    /// The delay until the list of hosts shows a change, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// The requests of one workspace.
#[derive(Clone, Debug)]
pub struct Load {
    /// The number of the workspace.
    pub workspace: usize,
    /// The start, in milliseconds.
    pub start_ms: u64,
    /// The end, in milliseconds.
    pub end_ms: u64,
    /// Requests per second.
    pub rate: f64,
    /// The number of chats of the requests.
    pub chats: u64,
    /// The minimum weight of a request, in tokens.
    pub min_weight: u64,
    /// The maximum weight of a request, in tokens.
    pub max_weight: u64,
}

/// The measurements of a simulation.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Outcome {
    /// Requests that arrived.
    pub asked: u64,
    /// Requests that were answered completely.
    pub answered: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// The maximum ratio of an engine's load, just after an admission, to the
    /// ceiling for the true load of the pool.
    pub worst_over_rule: f64,
    /// The 99.9th percentile of this ratio.
    pub p999_over_rule: f64,
    /// The maximum ratio of an engine's load to the true mean load of the pool,
    /// while the mean is above the floor.
    pub worst_skew: f64,
    /// The weight of requests of returning chats, in tokens.
    pub returning: u64,
    /// The part of `returning` with a cache hit at the engine that ran the request.
    pub found: u64,
    /// The part of `returning` with the chat in the cache of that engine or of one
    /// that could have admitted the request under the bound.
    pub findable: u64,
    /// Directory updates that were sent.
    pub notes: u64,
    /// The size of all load reports and their answers, in bytes.
    pub report_bytes: u64,
    /// The maximum number of load reports that one sidecar received.
    pub busiest_reports: u64,
    /// The simulated time, in seconds.
    pub seconds: f64,
}
