//! Views that differ: what routers make of the same load by words that are old or lost.

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

/// How long a load lasts, in steps, and a step in milliseconds.
const STEPS: u64 = 300;
const STEP: u64 = 20;

/// How often routers tell, in steps.
const TELL_EVERY: u64 = 20;

/// The most routers whose views are looked at.
const LOOKED_AT: usize = 3;

const HOT: u64 = 0;
const URGENT: i32 = 5;
const LESS_URGENT: i32 = 7;

/// What comes: so many requests a second of each workspace and priority.
struct Load {
    rates: Vec<(u64, i32, f64)>,
    /// The part of it that the pool serves.
    served: f64,
    /// The router at which all of the hot workspace comes, if it is one.
    only: Option<usize>,
}

/// How words travel.
#[derive(Clone, Copy)]
struct Way {
    routers: usize,
    delay: u64,
    /// Whether each third word is lost.
    lossy: bool,
}

/// What the looked-at routers made of it.
struct Seen {
    views: Vec<Pool>,
    truth: Pool,
    now: Millis,
}

fn play(load: &Load, way: Way) -> Seen {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut routers = vec![Pool::default(); way.routers];
    let mut truth = Pool::default();
    let mut on_the_way: Vec<(Millis, usize, Summary)> = Vec::new();
    let (mut content, mut words) = (0, 0);
    let places: Vec<usize> = (0..way.routers).collect();
    for step in 0..STEPS {
        let now = START + Millis(step * STEP);
        for (workspace, priority, rate) in &load.rates {
            let expected = rate * 0.001 * f64::from(u32::try_from(STEP).expect("small"));
            let mut left = expected;
            while left > 0.0 && random.random_bool(left.min(1.0)) {
                left -= 1.0;
                content += 1;
                let chosen = *places.choose(&mut random).expect("a router");
                let router = load.only.filter(|_| *workspace == HOT).unwrap_or(chosen);
                routers[router].record_request(*workspace, *priority, content, now);
                truth.record_request(*workspace, *priority, content, now);
                if random.random_bool(load.served) {
                    routers[router].record_sent(*workspace, *priority, now);
                    truth.record_sent(*workspace, *priority, now);
                }
            }
        }
        on_the_way.retain(|(at, from, word)| {
            let here = *at <= now;
            for to in (0..way.routers.min(LOOKED_AT)).filter(|it| here && it != from) {
                routers[to].receive(&Arc::from(format!("front-{from}")), word.clone(), now);
            }
            !here
        });
        for from in 0..way.routers {
            if !(step + u64::try_from(from).expect("few")).is_multiple_of(TELL_EVERY) {
                continue;
            }
            routers[from].mark_saturated(now);
            words += 1;
            let Some(word) = routers[from].summarize(now) else { continue };
            if !way.lossy || words % 3 != 0 {
                on_the_way.push((now + Millis(way.delay), from, word));
            }
        }
    }
    routers.truncate(LOOKED_AT);
    Seen { views: routers, truth, now: START + Millis(STEPS * STEP) }
}

/// The part of the pool's demand that each workspace is.
fn parts(pool: &Pool, now: Millis) -> HashMap<u64, f64> {
    let all = pool.largest(usize::MAX, |_| 1.0, now);
    let demand: f64 = all.iter().map(|it| it.1.demand).sum();
    all.into_iter().map(|(name, it)| (name, it.demand / demand)).collect()
}

/// The most by which a view errs in the part of the demand that a workspace is.
fn error(seen: &Seen) -> f64 {
    let truth = parts(&seen.truth, seen.now);
    let err = |view: &Pool| {
        let view = parts(view, seen.now);
        let off = |(name, part): (&u64, &f64)| (view.get(name).unwrap_or(&0.0) - part).abs();
        truth.iter().map(off).fold(0.0, f64::max)
    };
    seen.views.iter().map(err).fold(0.0, f64::max)
}

/// The ranks that the routers give the hot workspace, and to how many others they say that
/// they are over their shares, at most.
fn row(seen: &mut Seen) -> String {
    let now = seen.now;
    let names: Vec<u64> = parts(&seen.truth, now).into_keys().filter(|it| *it != HOT).collect();
    let mut row = String::new();
    let mut others = 0;
    for view in &mut seen.views {
        let hot = view.standing(HOT, LESS_URGENT, |_| 1.0, now).rank;
        let over =
            |name: &&u64| view.standing(**name, LESS_URGENT, |_| 1.0, now).rank.excess_ratio() > 1.0;
        others = others.max(names.iter().filter(over).count());
        let _ = write!(row, "{} {:.1}; ", hot.name(), hot.excess_ratio());
    }
    format!("{row}others over: {others}, error {:.3}\n", error(seen))
}

/// 40 workspaces of 10 requests a second, one of them with eight times as many.
fn one_hot(only: Option<usize>) -> Load {
    let rate = |it| if it == HOT { 80.0 } else { 10.0 };
    let rates = (0..40).map(|it| (it, URGENT, rate(it))).collect();
    Load { rates, served: 0.85, only }
}

/// 40 workspaces with two kinds, of which the less urgent one has 2.3 times its usual.
fn one_kind() -> Load {
    let both = |it| [(it, URGENT, 5.0), (it, LESS_URGENT, 5.0 * 2.3)];
    Load { rates: (0..40).flat_map(both).collect(), served: 0.7, only: None }
}

/// 1,800 small workspaces and a hot one.
fn many_small() -> Load {
    let rate = |it| if it == HOT { 40.0 } else { 0.4 };
    let rates = (0..1_800).map(|it| (it, URGENT, rate(it))).collect();
    Load { rates, served: 0.9, only: None }
}

const WAYS: [(&str, u64, bool); 4] =
    [("5 ms", 5, false), ("50 ms", 50, false), ("500 ms", 500, false), ("a third lost", 50, true)];

fn table(load: &Load, fleets: &[usize]) -> String {
    let mut table = String::new();
    for routers in fleets {
        for (name, delay, lossy) in WAYS {
            let mut seen = play(load, Way { routers: *routers, delay, lossy });
            let _ = write!(table, "{routers} routers, {name}: {}", row(&mut seen));
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
fn a_kind_that_all_send_more_of_leaves_nobody_over_its_share() {
    insta::assert_snapshot!(table(&one_kind(), &[4, 27]));
}

#[test]
fn one_workspace_is_over_its_share_among_many_small_ones() {
    insta::assert_snapshot!(table(&many_small(), &[4, 27]));
}

/// What a view may err by: a line that is missing at each other router is at most the smallest
/// that is told, and words fade until the next one comes.
#[test]
fn views_err_by_no_more_than_the_design_note_says() {
    for load in [one_hot(None), one_kind(), many_small()] {
        for (name, delay, lossy) in WAYS {
            let way = Way { routers: 27, delay, lossy };
            let priorities = 2;
            let lines = f64::from(u32::try_from(MAX_DEMANDS / priorities + 1).expect("few"));
            let missed = if lossy { 2 } else { 0 };
            let age = TELL_EVERY * STEP * (1 + missed) + delay;
            let age = f64::from(u32::try_from(age).expect("a second or two"));
            let bound = 1.0 / lines + 1.0 - 0.5_f64.powf(age / 2_000.0);
            let error = error(&play(&load, way));
            assert!(error <= bound, "{name}: {error} > {bound}");
        }
    }
}
