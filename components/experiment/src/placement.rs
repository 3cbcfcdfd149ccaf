//! Where chats are placed: how much of their context is found again.

use placement::Bound;
use routing::Policy;

use crate::{Churn, Load, Outcome, Setup, World};

/// Engines, as many as each user has today.
const ENGINES: usize = 9;

/// The end of the run, in milliseconds.
const END_MS: u64 = 600_000;

/// The chats that return, over all workspaces.
const CHATS: u64 = 3_000;

/// The tokens that each engine's cache holds: in all, a third more than the
/// chats need.
const CACHE_TOKENS: u64 = 225_000;

/// What happens meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing.
    Calm,
    /// One workspace sends ten times as much for two minutes.
    Surge,
    /// Engines vanish in turn, one a minute, and return cold after ten seconds.
    Churn,
}

/// Ten minutes of three workspaces whose chats return after two and a half
/// minutes on the mean.
pub fn run(policy: Policy, scene: Scene, margin: f64, seed: u64) -> Outcome {
    let bound = Bound { multiple: 1.25, floor: 4_000, margin, extra: 0 };
    let churn = Churn { every_ms: 60_000, gone_ms: 10_000, list_lag_ms: 1_000 };
    let setup = Setup {
        seed,
        routers: 3,
        sidecars: ENGINES,
        delay_ms: 1,
        tokens_per_second: 64,
        cache_tokens: CACHE_TOKENS,
        churn: (scene == Scene::Churn).then_some(churn),
        loss: None,
        routing: routing::Settings { policy, bound, ..Default::default() },
        admission: admission::Settings { bound, slots: 256, ..Default::default() },
    };
    World::new(setup, loads(scene)).run(END_MS)
}

fn loads(scene: Scene) -> Vec<Load> {
    let calm = |workspace| Load {
        workspace,
        from_ms: 0,
        until_ms: END_MS - 30_000,
        rate: 20.0 / 3.0,
        chats: CHATS / 3,
        least: 250,
        greatest: 750,
    };
    let mut loads: Vec<_> = (0..3).map(calm).collect();
    if scene == Scene::Surge {
        let rate = 9.0 * 20.0 / 3.0;
        loads.push(Load { from_ms: 300_000, until_ms: 420_000, rate, ..calm(0) });
    }
    loads
}

/// Every policy in every scene, as a table in Markdown.
pub fn table(seeds: u64) -> String {
    let mut text = String::from(
        "| margin | scene | policy | context found | of what could be found under the bound | worst load / (c x true mean) | \
         refused | attempts per request | notes per request |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for margin in [0.1, 0.0] {
        for scene in [Scene::Calm, Scene::Surge, Scene::Churn] {
            for policy in [Policy::Random, Policy::Lightest, Policy::Ranked, Policy::Directory] {
                let runs: Vec<_> =
                    (1..=seeds).map(|seed| run(policy, scene, margin, seed)).collect();
                text.push_str(&row(policy, scene, margin, &runs));
            }
        }
    }
    text
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn row(policy: Policy, scene: Scene, margin: f64, runs: &[Outcome]) -> String {
    let sum = |of: fn(&Outcome) -> u64| runs.iter().map(of).sum::<u64>() as f64;
    let worst = runs.iter().map(|it| it.worst_over_rule).fold(0.0, f64::max);
    format!(
        "| {margin} | {scene:?} | {policy:?} | {:.1}% | {:.1}% | {worst:.3} | {:.2}% | {:.3} | {:.3} |\n",
        100.0 * sum(|it| it.found) / sum(|it| it.returning),
        100.0 * sum(|it| it.found) / sum(|it| it.findable),
        100.0 * sum(|it| it.refused) / sum(|it| it.asked),
        sum(|it| it.attempts) / sum(|it| it.asked),
        sum(|it| it.notes) / sum(|it| it.asked),
    )
}
