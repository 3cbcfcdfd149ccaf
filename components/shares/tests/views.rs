//! How far the views of routers differ under the same load if summaries are delayed or lost.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::Arc;

use clock::Millis;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shares::{MAX_DEMANDS, Pool, Summary};

const SEED: u64 = 20_261_203;
const START: Millis = Millis(1_000_000);

/// The simulated steps, and the milliseconds per step.
const STEPS: u64 = 300;
const STEP_MS: u64 = 20;

/// The steps between two summaries of a router.
const SUMMARY_INTERVAL: u64 = 20;

/// The number of routers whose views are compared.
const OBSERVED_ROUTERS: usize = 3;

const HOT: u64 = 0;
const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

/// Requests per second by workspace and priority.
struct Load {
    rates: Vec<(u64, i32, f64)>,
    /// The fraction that the pool serves.
    served: f64,
    /// The router that receives all requests of the hot workspace, if it is one.
    hot_router: Option<usize>,
}

/// The routers and the links between them.
#[derive(Clone, Copy)]
struct Network {
    routers: usize,
    delay: u64,
    /// Whether every third summary is lost.
    lossy: bool,
}

/// The views at the end of a simulation, and the exact counts.
struct Outcome {
    views: Vec<Pool>,
    truth: Pool,
    now: Millis,
}

fn simulate(load: &Load, network: Network) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut routers = vec![Pool::default(); network.routers];
    let mut truth = Pool::default();
    let mut in_transit: Vec<(Millis, usize, Summary)> = Vec::new();
    let (mut fingerprint, mut summaries) = (0, 0);
    let indices: Vec<usize> = (0..network.routers).collect();
    for step in 0..STEPS {
        let now = START + Millis(step * STEP_MS);
        for (workspace, priority, rate) in &load.rates {
            let expected = rate * 0.001 * f64::from(u32::try_from(STEP_MS).expect("small"));
            let mut left = expected;
            while left > 0.0 && rng.random_bool(left.min(1.0)) {
                left -= 1.0;
                fingerprint += 1;
                let chosen = *indices.choose(&mut rng).expect("a router");
                let router = load.hot_router.filter(|_| *workspace == HOT).unwrap_or(chosen);
                routers[router].record_request(*workspace, *priority, fingerprint, now);
                truth.record_request(*workspace, *priority, fingerprint, now);
                if rng.random_bool(load.served) {
                    routers[router].record_sent(*workspace, *priority, now);
                    truth.record_sent(*workspace, *priority, now);
                }
            }
        }
        in_transit.retain(|(at, from, summary)| {
            let arrived = *at <= now;
            for to in (0..network.routers.min(OBSERVED_ROUTERS)).filter(|to| arrived && to != from)
            {
                routers[to].receive(&Arc::from(format!("front-{from}")), summary.clone(), now);
            }
            !arrived
        });
        for from in 0..network.routers {
            if !(step + u64::try_from(from).expect("few")).is_multiple_of(SUMMARY_INTERVAL) {
                continue;
            }
            routers[from].mark_saturated(now);
            summaries += 1;
            let Some(summary) = routers[from].summarize(now) else { continue };
            if !network.lossy || summaries % 3 != 0 {
                in_transit.push((now + Millis(network.delay), from, summary));
            }
        }
    }
    routers.truncate(OBSERVED_ROUTERS);
    Outcome { views: routers, truth, now: START + Millis(STEPS * STEP_MS) }
}

/// Each workspace's fraction of the demand.
fn fractions(pool: &Pool, now: Millis) -> HashMap<u64, f64> {
    let all = pool.largest(usize::MAX, |_| 1.0, now);
    let demand: f64 = all.iter().map(|entry| entry.1.demand).sum();
    all.into_iter().map(|(name, standing)| (name, standing.demand / demand)).collect()
}

/// The largest error of a view in a workspace's fraction of the demand.
fn error(outcome: &Outcome) -> f64 {
    let truth = fractions(&outcome.truth, outcome.now);
    let max_error = |view: &Pool| {
        let view = fractions(view, outcome.now);
        let error =
            |(name, fraction): (&u64, &f64)| (view.get(name).unwrap_or(&0.0) - fraction).abs();
        truth.iter().map(error).fold(0.0, f64::max)
    };
    outcome.views.iter().map(max_error).fold(0.0, f64::max)
}

/// Formats each router's rank of the hot workspace, the largest number of other workspaces over
/// their shares, and the error.
fn row(outcome: &mut Outcome) -> String {
    let now = outcome.now;
    let names: Vec<u64> =
        fractions(&outcome.truth, now).into_keys().filter(|name| *name != HOT).collect();
    let mut row = String::new();
    let mut others = 0;
    for view in &mut outcome.views {
        let hot = view.standing(HOT, LESS_URGENT, |_| 1.0, now).rank;
        let over = |name: &&u64| {
            view.standing(**name, LESS_URGENT, |_| 1.0, now).rank.excess_ratio() > 1.0
        };
        others = others.max(names.iter().filter(over).count());
        let _ = write!(row, "{} {:.1}; ", hot.name(), hot.excess_ratio());
    }
    format!("{row}others over: {others}, error {:.3}\n", error(outcome))
}

/// 40 workspaces of 10 requests per second, one of them with eight times as many.
fn one_hot(hot_router: Option<usize>) -> Load {
    let rate = |workspace| if workspace == HOT { 80.0 } else { 10.0 };
    let rates = (0..40).map(|workspace| (workspace, URGENT, rate(workspace))).collect();
    Load { rates, served: 0.85, hot_router }
}

/// 40 workspaces with two priorities, the less urgent one at 2.3 times its usual rate.
fn one_kind() -> Load {
    let both = |workspace| [(workspace, URGENT, 5.0), (workspace, LESS_URGENT, 5.0 * 2.3)];
    Load { rates: (0..40).flat_map(both).collect(), served: 0.7, hot_router: None }
}

/// 1,800 small workspaces and a hot one.
fn many_small() -> Load {
    let rate = |workspace| if workspace == HOT { 40.0 } else { 0.4 };
    let rates = (0..1_800).map(|workspace| (workspace, URGENT, rate(workspace))).collect();
    Load { rates, served: 0.9, hot_router: None }
}

const NETWORKS: [(&str, u64, bool); 4] =
    [("5 ms", 5, false), ("50 ms", 50, false), ("500 ms", 500, false), ("a third lost", 50, true)];

fn table(load: &Load, fleets: &[usize]) -> String {
    let mut table = String::new();
    for routers in fleets {
        for (name, delay, lossy) in NETWORKS {
            let mut outcome = simulate(load, Network { routers: *routers, delay, lossy });
            let _ = write!(table, "{routers} routers, {name}: {}", row(&mut outcome));
        }
    }
    table
}

#[test]
fn one_workspace_is_over_its_share_at_all_routers() {
    insta::assert_snapshot!(table(&one_hot(None), &[4, 27, 385]));
}

#[test]
fn one_workspace_is_over_its_share_at_one_router() {
    insta::assert_snapshot!(table(&one_hot(Some(0)), &[4, 27, 385]));
}

#[test]
fn more_requests_of_one_priority_leave_all_workspaces_within_their_shares() {
    insta::assert_snapshot!(table(&one_kind(), &[4, 27]));
}

#[test]
fn one_workspace_is_over_its_share_among_many_small_ones() {
    insta::assert_snapshot!(table(&many_small(), &[4, 27]));
}

/// The error of a view is bounded: an unlisted workspace is no larger than the smallest listed one,
/// and a summary decays until the next one arrives.
#[test]
fn the_error_of_a_view_is_bounded() {
    for load in [one_hot(None), one_kind(), many_small()] {
        for (name, delay, lossy) in NETWORKS {
            let network = Network { routers: 27, delay, lossy };
            let priorities = 2;
            let listed = f64::from(u32::try_from(MAX_DEMANDS / priorities + 1).expect("few"));
            let missed = if lossy { 2 } else { 0 };
            let age = SUMMARY_INTERVAL * STEP_MS * (1 + missed) + delay;
            let age = f64::from(u32::try_from(age).expect("a second or two"));
            let bound = 1.0 / listed + 1.0 - 0.5_f64.powf(age / 2_000.0);
            let error = error(&simulate(&load, network));
            assert!(error <= bound, "{name}: {error} > {bound}");
        }
    }
}
