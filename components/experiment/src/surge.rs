//! The load bound while one workspace adds ten times its usual load and engines fail.

use placement::Bound;

use crate::{Load, Outage, Outcome, Setup, Simulation};

const ENGINES: usize = 9;

/// The number of engines of the largest pool.
const MAX_ENGINES: usize = 142;

/// The duration of a run, in milliseconds; all loads end before.
const END_MS: u64 = 100_000;

/// The floor of the bound: more than four times the maximum weight of a request.
const BOUND_FLOOR_TOKENS: u64 = 4_000;

/// A third of the engines fail in the middle of the surge.
const OUTAGE: Outage = Outage { at_ms: 30_000, every_nth: 3, hosts_lag_ms: 2_000 };

/// The rate and duration of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Many short requests: 8 per second and engine, of 2.5 s each.
    Dense,
    /// Fewer long requests: 1.84 per second and engine, at 31 ms per token.
    Target,
}

impl Shape {
    /// Returns the requests per second of one of nine workspaces, for nine engines.
    fn rate(self) -> f64 {
        match self {
            Self::Dense => 8.0,
            Self::Target => 1.84,
        }
    }

    fn tokens_per_second(self) -> u64 {
        match self {
            Self::Dense => 200,
            Self::Target => 32,
        }
    }
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// The random seed.
    pub seed: u64,
    /// The number of engines; the load is proportional to it.
    pub engines: usize,
    /// The rate and duration of requests.
    pub shape: Shape,
    /// Whether a third of the engines fail in the middle of the surge.
    pub outage: bool,
    /// The margin of the bound.
    pub margin: f64,
    /// The maximum delay of the report of a large load change, in milliseconds.
    pub report_soon_ms: u64,
}

impl Default for Variant {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: ENGINES,
            shape: Shape::Dense,
            outage: false,
            margin: 0.1,
            report_soon_ms: 50,
        }
    }
}

/// Simulates nine workspaces for a minute. For 20 s, one adds ten times its usual
/// load in six chats, which hashing alone would place on few engines.
pub fn run(variant: Variant) -> Outcome {
    let bound =
        Bound { multiple: 1.25, floor: BOUND_FLOOR_TOKENS, margin: variant.margin, extra: 0 };
    let setup = Setup {
        seed: variant.seed,
        routers: 3,
        sidecars: variant.engines,
        cache_tokens: 0,
        churn: None,
        outage: variant.outage.then_some(OUTAGE),
        delay_ms: 1,
        tokens_per_second: variant.shape.tokens_per_second(),
        routing: routing::Settings { bound, ..Default::default() },
        admission: admission::Settings {
            bound,
            slots: 256,
            report_soon_ms: variant.report_soon_ms,
            ..Default::default()
        },
    };
    Simulation::new(setup, loads(variant)).run(END_MS)
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
fn loads(variant: Variant) -> Vec<Load> {
    let rate = variant.shape.rate() * variant.engines as f64 / ENGINES as f64;
    let base = |workspace| Load {
        workspace,
        start_ms: 0,
        end_ms: 60_000,
        rate,
        chats: 400,
        min_weight: 100,
        max_weight: 900,
    };
    let mut loads: Vec<_> = (0..9).map(base).collect();
    loads.push(Load { start_ms: 20_000, end_ms: 40_000, rate: 10.0 * rate, chats: 6, ..base(0) });
    loads
}

/// Returns a Markdown table of the worst results over `seeds`: for each margin and
/// report delay, then for larger pools with and without an outage.
pub fn table(seeds: u64) -> String {
    let mut text = String::from(
        "| engines | requests | a third fails | margin | large change reported after | worst load / (c x \
         true mean) | 99.9th percentile | refused requests | attempts per request | report bytes per \
         sidecar and second | reports/s at the busiest |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for margin in [0.0, 0.05, 0.1] {
        for report_soon_ms in [50, 250] {
            text.push_str(&row(Variant { margin, report_soon_ms, ..Variant::default() }, seeds));
        }
    }
    for engines in [ENGINES, MAX_ENGINES / 2, MAX_ENGINES] {
        for outage in [false, true] {
            for shape in [Shape::Dense, Shape::Target] {
                let variant = Variant { engines, shape, outage, ..Variant::default() };
                text.push_str(&row(variant, seeds / 2));
            }
        }
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn row(variant: Variant, seeds: u64) -> String {
    let runs: Vec<_> = (1..=seeds).map(|seed| run(Variant { seed, ..variant })).collect();
    let worst = runs.iter().map(|run| run.worst_over_rule).fold(0.0, f64::max);
    let p999 = runs.iter().map(|run| run.p999_over_rule).fold(0.0, f64::max);
    let asked: u64 = runs.iter().map(|run| run.asked).sum();
    let refused: u64 = runs.iter().map(|run| run.refused).sum();
    let attempts: u64 = runs.iter().map(|run| run.attempts).sum();
    let bytes: u64 = runs.iter().map(|run| run.report_bytes).sum();
    let busiest = runs.iter().map(|run| run.busiest_reports).max().unwrap_or(0);
    let seconds: f64 = runs.iter().map(|run| run.seconds).sum();
    format!(
        "| {} | {:?} | {} | {} | {} ms | {worst:.3} | {p999:.3} | {:.2}% | {:.3} | {:.0} | {:.1} |\n",
        variant.engines,
        variant.shape,
        if variant.outage { "yes" } else { "no" },
        variant.margin,
        variant.report_soon_ms,
        100.0 * refused as f64 / asked as f64,
        attempts as f64 / asked as f64,
        bytes as f64 / seconds / variant.engines as f64,
        busiest as f64 / runs[0].seconds,
    )
}
