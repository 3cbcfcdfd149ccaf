//! Properties of max-min allocation.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use shares::{Group, max_min_level};

const SEED: u64 = 20_261_203;

/// The tolerance for rounding errors.
const ROUNDING: f64 = 1e-6;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn group(demand: f64, weight: f64) -> Group {
    Group { demand, weight, count: 1.0 }
}

fn groups() -> impl Strategy<Value = Vec<Group>> {
    let one = (0.0..1_000.0, 0.1..10.0, 1..5_u32);
    let one =
        one.prop_map(|(demand, weight, count)| Group { demand, weight, count: f64::from(count) });
    prop::collection::vec(one, 1..40)
}

fn served(group: &Group, level: f64) -> f64 {
    group.demand.min(group.weight * level)
}

fn total_served(groups: &[Group], level: f64) -> f64 {
    groups.iter().map(|group| served(group, level) * group.count).sum()
}

fn total_demand(groups: &[Group]) -> f64 {
    total_served(groups, f64::INFINITY)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn allocates_the_capacity_up_to_the_demand(mut groups in groups(), capacity in 0.0..20_000.0) {
        let level = max_min_level(&mut groups, capacity);
        let expected = total_demand(&groups).min(capacity);
        prop_assert!((total_served(&groups, level) - expected).abs() <= ROUNDING * (1.0 + expected));
    }

    #[test]
    fn no_workspace_gets_less_than_an_even_share_of_the_capacity(mut groups in groups(), capacity in 0.0..20_000.0) {
        let level = max_min_level(&mut groups, capacity);
        let weights: f64 = groups.iter().map(|group| group.weight * group.count).sum();
        for group in &groups {
            let even = group.demand.min(group.weight * capacity / weights);
            prop_assert!(served(group, level) >= even - ROUNDING);
        }
    }

    #[test]
    fn more_capacity_does_not_lower_the_level(mut groups in groups(), capacity in 0.0..20_000.0, more in 0.0..500.0) {
        prop_assert!(max_min_level(&mut groups, capacity + more) >= max_min_level(&mut groups, capacity) - ROUNDING);
    }

    #[test]
    fn more_demand_does_not_lower_the_own_share_or_raise_the_level(
        mut groups in groups(),
        capacity in 0.0..20_000.0,
        more in 0.0..500.0,
    ) {
        let before = max_min_level(&mut groups, capacity);
        let first = groups[0];
        groups[0].demand += more;
        let now = groups[0];
        let after = max_min_level(&mut groups, capacity);
        prop_assert!(after <= before + ROUNDING);
        prop_assert!(served(&now, after) >= served(&first, before) - ROUNDING);
    }
}

#[test]
fn small_demands_are_met_and_the_others_share_the_rest() {
    let mut groups = [group(1.0, 1.0), group(8.0, 1.0), group(3.0, 1.0)];
    let level = max_min_level(&mut groups, 8.0);
    assert!((level - 4.0).abs() < ROUNDING, "{level}");
}

#[test]
fn a_double_weight_gets_a_double_share() {
    let mut groups = [group(8.0, 2.0), group(8.0, 1.0)];
    let level = max_min_level(&mut groups, 6.0);
    assert!((level - 2.0).abs() < ROUNDING, "{level}");
}
