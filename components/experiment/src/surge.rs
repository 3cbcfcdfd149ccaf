//! One workspace surges tenfold: does the load bound hold?

use placement::Bound;

use crate::{Load, Outcome, Setup, World};

/// Engines, as many as the larger user has today.
const ENGINES: usize = 9;

/// The end of the run, in milliseconds: all loads have ended before.
const END_MS: u64 = 70_000;

/// The bound's floor: more than four times the greatest weight.
const FLOOR: u64 = 4_000;

/// What is varied between runs.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// The bound's margin.
    pub margin: f64,
    /// How long a large change of load may wait for its report, in
    /// milliseconds.
    pub report_soon_ms: u64,
}

/// Ten workspaces for a minute; for 20 s of it, one sends eleven times as much
/// in six chats, so that hashing alone would pile it up.
pub fn run(variant: Variant) -> Outcome {
    let bound = Bound { multiple: 1.25, floor: FLOOR, margin: variant.margin };
    let setup = Setup {
        seed: variant.seed,
        routers: 3,
        sidecars: ENGINES,
        delay_ms: 1,
        tokens_per_second: 200,
        routing: routing::Settings { bound, ..Default::default() },
        admission: admission::Settings {
            bound,
            slots: 256,
            report_soon_ms: variant.report_soon_ms,
            ..Default::default()
        },
    };
    World::new(setup, loads()).run(END_MS)
}

fn loads() -> Vec<Load> {
    let calm = |workspace| Load {
        workspace,
        from_ms: 0,
        until_ms: 60_000,
        rate: 8.0,
        chats: 400,
        least: 100,
        greatest: 900,
    };
    let mut loads: Vec<_> = (0..9).map(calm).collect();
    loads.push(Load { from_ms: 20_000, until_ms: 40_000, rate: 80.0, chats: 6, ..calm(0) });
    loads
}

/// The worst over `seeds` for each margin and delay of reports, as a table in
/// Markdown.
pub fn table(seeds: u64) -> String {
    let mut text = String::from(
        "| margin | large change reported after | worst load / (c x true mean) | 999 in 1,000 | \
         refused of asked | attempts per request | report bytes per sidecar and second |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for margin in [0.0, 0.05, 0.1] {
        for report_soon_ms in [50, 250] {
            let runs: Vec<_> =
                (1..=seeds).map(|seed| run(Variant { seed, margin, report_soon_ms })).collect();
            text.push_str(&row(margin, report_soon_ms, &runs));
        }
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn row(margin: f64, report_soon_ms: u64, runs: &[Outcome]) -> String {
    let worst = runs.iter().map(|it| it.worst_over_rule).fold(0.0, f64::max);
    let p999 = runs.iter().map(|it| it.p999_over_rule).fold(0.0, f64::max);
    let asked: u64 = runs.iter().map(|it| it.asked).sum();
    let refused: u64 = runs.iter().map(|it| it.refused).sum();
    let attempts: u64 = runs.iter().map(|it| it.attempts).sum();
    let bytes: u64 = runs.iter().map(|it| it.report_bytes).sum();
    let seconds: f64 = runs.iter().map(|it| it.seconds).sum();
    format!(
        "| {margin} | {report_soon_ms} ms | {worst:.3} | {p999:.3} | {:.2}% | {:.3} | {:.0} |\n",
        100.0 * refused as f64 / asked as f64,
        attempts as f64 / asked as f64,
        bytes as f64 / seconds / ENGINES as f64,
    )
}
