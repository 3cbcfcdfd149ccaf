//! The cache hits of returning chats under each placement policy.

use placement::Bound;
use routing::Policy;

use crate::{Churn, Load, Outcome, Setup, Simulation};

const ENGINES: usize = 9;

/// The duration of a run, in milliseconds.
const END_MS: u64 = 600_000;

/// The number of chats of all workspaces.
const CHATS: u64 = 3_000;

/// The cache capacity of an engine, in tokens. All caches together hold a third
/// more than the chats need.
const CACHE_TOKENS: u64 = 225_000;

/// The disturbance during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No disturbance.
    Calm,
    /// One workspace sends ten times its usual load for two minutes.
    Surge,
    /// Every minute the next engine stops, and returns after ten seconds with an
    /// empty cache.
    Churn,
}

/// Simulates ten minutes of three workspaces with chats that return after two
/// and a half minutes on average.
pub fn run(policy: Policy, scenario: Scenario, margin: f64, seed: u64) -> Outcome {
    let bound = Bound { multiple: 1.25, floor: 4_000, margin, extra: 0 };
    let churn = Churn { interval_ms: 60_000, downtime_ms: 10_000, hosts_lag_ms: 1_000 };
    let setup = Setup {
        seed,
        routers: 3,
        sidecars: ENGINES,
        delay_ms: 1,
        tokens_per_second: 64,
        cache_tokens: CACHE_TOKENS,
        churn: (scenario == Scenario::Churn).then_some(churn),
        outage: None,
        routing: routing::Settings { policy, bound, ..Default::default() },
        admission: admission::Settings { bound, slots: 256, ..Default::default() },
    };
    Simulation::new(setup, loads(scenario)).run(END_MS)
}

fn loads(scenario: Scenario) -> Vec<Load> {
    let base = |workspace| Load {
        workspace,
        start_ms: 0,
        end_ms: END_MS - 30_000,
        rate: 20.0 / 3.0,
        chats: CHATS / 3,
        min_weight: 250,
        max_weight: 750,
    };
    let mut loads: Vec<_> = (0..3).map(base).collect();
    if scenario == Scenario::Surge {
        let rate = 9.0 * 20.0 / 3.0;
        loads.push(Load { start_ms: 300_000, end_ms: 420_000, rate, ..base(0) });
    }
    loads
}

/// Runs every policy in every scenario and returns the results as a Markdown
/// table.
pub fn table(seeds: u64) -> String {
    let mut text = String::from(
        "| margin | scene | policy | context hits | of the possible hits under the bound | worst load / (c x true mean) | \
         refused | attempts per request | directory updates per request |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for margin in [0.1, 0.0] {
        for scenario in [Scenario::Calm, Scenario::Surge, Scenario::Churn] {
            for policy in [Policy::Random, Policy::Lightest, Policy::Ranked, Policy::Directory] {
                let runs: Vec<_> =
                    (1..=seeds).map(|seed| run(policy, scenario, margin, seed)).collect();
                text.push_str(&row(policy, scenario, margin, &runs));
            }
        }
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn row(policy: Policy, scenario: Scenario, margin: f64, runs: &[Outcome]) -> String {
    let sum = |value: fn(&Outcome) -> u64| runs.iter().map(value).sum::<u64>() as f64;
    let worst = runs.iter().map(|run| run.worst_over_rule).fold(0.0, f64::max);
    format!(
        "| {margin} | {scenario:?} | {policy:?} | {:.1}% | {:.1}% | {worst:.3} | {:.2}% | {:.3} | {:.3} |\n",
        100.0 * sum(|run| run.found) / sum(|run| run.returning),
        100.0 * sum(|run| run.found) / sum(|run| run.findable),
        100.0 * sum(|run| run.refused) / sum(|run| run.asked),
        sum(|run| run.attempts) / sum(|run| run.asked),
        sum(|run| run.notes) / sum(|run| run.asked),
    )
}
