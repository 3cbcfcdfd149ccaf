//! One workspace surges tenfold, and engines vanish: does the load bound hold?

use placement::Bound;

use crate::{Load, Loss, Outcome, Setup, World};

/// Engines of one model, as many as each user has today.
const ENGINES: usize = 9;

/// Engines of one model in one region at the target.
const TARGET: usize = 142;

/// The end of the run, in milliseconds: all loads have ended before.
const END_MS: u64 = 100_000;

/// The bound's floor: more than four times the greatest weight.
const FLOOR: u64 = 4_000;

/// A third of the engines vanish in the middle of the surge.
const LOSS: Loss = Loss { at_ms: 30_000, every: 3, list_lag_ms: 2_000 };

/// What the requests are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Many short ones: 8 a second and engine, of 2.5 s.
    Dense,
    /// Those of the target: 1.84 a second and engine, at 31 ms a token.
    Target,
}

impl Shape {
    /// Requests a second of one of nine workspaces, for nine engines.
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

/// What is varied between runs.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Engines; the load grows with them.
    pub engines: usize,
    /// What the requests are like.
    pub shape: Shape,
    /// Whether a third of the engines vanish in the middle of the surge.
    pub loss: bool,
    /// The bound's margin.
    pub margin: f64,
    /// How long a large change of load may wait for its report, in
    /// milliseconds.
    pub report_soon_ms: u64,
}

impl Default for Variant {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: ENGINES,
            shape: Shape::Dense,
            loss: false,
            margin: 0.1,
            report_soon_ms: 50,
        }
    }
}

/// Ten workspaces for a minute; for 20 s of it, one sends eleven times as much
/// in six chats, so that hashing alone would pile it up.
pub fn run(variant: Variant) -> Outcome {
    let bound = Bound { multiple: 1.25, floor: FLOOR, margin: variant.margin, extra: 0 };
    let setup = Setup {
        seed: variant.seed,
        routers: 3,
        sidecars: variant.engines,
        cache_tokens: 0,
        churn: None,
        loss: variant.loss.then_some(LOSS),
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
    World::new(setup, loads(variant)).run(END_MS)
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
fn loads(variant: Variant) -> Vec<Load> {
    let rate = variant.shape.rate() * variant.engines as f64 / ENGINES as f64;
    let calm = |workspace| Load {
        workspace,
        from_ms: 0,
        until_ms: 60_000,
        rate,
        chats: 400,
        least: 100,
        greatest: 900,
    };
    let mut loads: Vec<_> = (0..9).map(calm).collect();
    loads.push(Load { from_ms: 20_000, until_ms: 40_000, rate: 10.0 * rate, chats: 6, ..calm(0) });
    loads
}

/// The worst over `seeds` for each margin and delay of reports, then for larger
/// pools and losses, as a table in Markdown.
pub fn table(seeds: u64) -> String {
    let mut text = String::from(
        "| engines | requests | a third vanishes | margin | large change reported after | worst load / (c x \
         true mean) | 999 in 1,000 | refused of asked | attempts per request | report bytes per \
         sidecar and second | reports/s at the busiest |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for margin in [0.0, 0.05, 0.1] {
        for report_soon_ms in [50, 250] {
            text.push_str(&row(Variant { margin, report_soon_ms, ..Variant::default() }, seeds));
        }
    }
    for engines in [ENGINES, TARGET / 2, TARGET] {
        for loss in [false, true] {
            for shape in [Shape::Dense, Shape::Target] {
                let variant = Variant { engines, shape, loss, ..Variant::default() };
                text.push_str(&row(variant, seeds / 2));
            }
        }
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn row(variant: Variant, seeds: u64) -> String {
    let runs: Vec<_> = (1..=seeds).map(|seed| run(Variant { seed, ..variant })).collect();
    let worst = runs.iter().map(|it| it.worst_over_rule).fold(0.0, f64::max);
    let p999 = runs.iter().map(|it| it.p999_over_rule).fold(0.0, f64::max);
    let asked: u64 = runs.iter().map(|it| it.asked).sum();
    let refused: u64 = runs.iter().map(|it| it.refused).sum();
    let attempts: u64 = runs.iter().map(|it| it.attempts).sum();
    let bytes: u64 = runs.iter().map(|it| it.report_bytes).sum();
    let busiest = runs.iter().map(|it| it.busiest_reports).max().unwrap_or(0);
    let seconds: f64 = runs.iter().map(|it| it.seconds).sum();
    format!(
        "| {} | {:?} | {} | {} | {} ms | {worst:.3} | {p999:.3} | {:.2}% | {:.3} | {:.0} | {:.1} |\n",
        variant.engines,
        variant.shape,
        if variant.loss { "yes" } else { "no" },
        variant.margin,
        variant.report_soon_ms,
        100.0 * refused as f64 / asked as f64,
        attempts as f64 / asked as f64,
        bytes as f64 / seconds / variant.engines as f64,
        busiest as f64 / runs[0].seconds,
    )
}
