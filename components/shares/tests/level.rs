//! Shares hold what they promise, whatever is asked for.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use shares::{Group, max_min_level};

/// The seed of the cases, so that every run is the same.
const SEED: u64 = 20_261_203;

/// What is lost by counting with fractions.
const ROUNDING: f64 = 1e-6;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn claim(demand: f64, weight: f64) -> Group {
    Group { demand, weight, count: 1.0 }
}

fn claims() -> impl Strategy<Value = Vec<Group>> {
    let one = (0.0..1_000.0, 0.1..10.0, 1..5_u32);
    let one =
        one.prop_map(|(demand, weight, count)| Group { demand, weight, count: f64::from(count) });
    prop::collection::vec(one, 1..40)
}

fn served(it: &Group, level: f64) -> f64 {
    it.demand.min(it.weight * level)
}

fn all(claims: &[Group], level: f64) -> f64 {
    claims.iter().map(|it| served(it, level) * it.count).sum()
}

fn wanted(claims: &[Group]) -> f64 {
    all(claims, f64::INFINITY)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_take_all_the_room_that_is_wanted_and_no_more(mut claims in claims(), room in 0.0..20_000.0) {
        let level = max_min_level(&mut claims, room);
        let expected = wanted(&claims).min(room);
        prop_assert!((all(&claims, level) - expected).abs() <= ROUNDING * (1.0 + expected));
    }

    #[test]
    fn no_share_is_starved(mut claims in claims(), room in 0.0..20_000.0) {
        let level = max_min_level(&mut claims, room);
        let weights: f64 = claims.iter().map(|it| it.weight * it.count).sum();
        for it in &claims {
            let even = it.demand.min(it.weight * room / weights);
            prop_assert!(served(it, level) >= even - ROUNDING);
        }
    }

    #[test]
    fn more_room_takes_from_nobody(mut claims in claims(), room in 0.0..20_000.0, more in 0.0..500.0) {
        prop_assert!(max_min_level(&mut claims, room + more) >= max_min_level(&mut claims, room) - ROUNDING);
    }

    #[test]
    fn who_wants_more_gets_no_less_and_others_get_no_more(
        mut claims in claims(),
        room in 0.0..20_000.0,
        more in 0.0..500.0,
    ) {
        let before = max_min_level(&mut claims, room);
        let first = claims[0];
        claims[0].demand += more;
        let now = claims[0];
        let after = max_min_level(&mut claims, room);
        prop_assert!(after <= before + ROUNDING);
        prop_assert!(served(&now, after) >= served(&first, before) - ROUNDING);
    }
}

#[test]
fn who_wants_little_gets_it_and_the_others_share_the_rest() {
    let mut claims = [claim(1.0, 1.0), claim(8.0, 1.0), claim(3.0, 1.0)];
    let level = max_min_level(&mut claims, 8.0);
    assert!((level - 4.0).abs() < ROUNDING, "{level}");
}

#[test]
fn who_counts_twice_gets_twice_as_much() {
    let mut claims = [claim(8.0, 2.0), claim(8.0, 1.0)];
    let level = max_min_level(&mut claims, 6.0);
    assert!((level - 2.0).abs() < ROUNDING, "{level}");
}
