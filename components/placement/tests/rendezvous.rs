//! Ranking agrees with itself and moves few chats; the bound is what it says.

use placement::{Bound, Pool, key, rank, top};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The seed of the cases, so that every run is the same.
const SEED: u64 = 20_261_202;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|place| format!("engine-{place}")).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn top_is_the_head_of_rank(key in any::<u64>(), count in 0..60_usize, most in 0..20_usize) {
        let mut ranked = names(count);
        rank(key, &mut ranked, |name| (name, 1.0));
        ranked.truncate(most);
        let best = top(key, names(count).into_iter(), most, |name| (name, 1.0));
        prop_assert_eq!(best, ranked);
    }

    #[test]
    fn the_order_does_not_hang_on_the_order_of_the_list(key in any::<u64>(), count in 1..40_usize) {
        let mut one = names(count);
        let mut other: Vec<_> = names(count).into_iter().rev().collect();
        rank(key, &mut one, |name| (name, 1.0));
        rank(key, &mut other, |name| (name, 1.0));
        prop_assert_eq!(one, other);
    }

    #[test]
    fn the_bound_admits_what_its_rule_says(
        load in 0..10_000_u64,
        weight in 1..2_000_u64,
        total in 0..100_000_u64,
        members in 1..50_u32,
    ) {
        let bound = Bound { multiple: 1.25, floor: 3_000, margin: 0.0, extra: 0 };
        // 1.25 as 5 / 4, in whole numbers.
        let share = 5 * (total + weight) / (4 * u64::from(members));
        let naive = load == 0 || load + weight <= share.max(3_000);
        prop_assert_eq!(bound.admits(load, weight, Pool { load: total, members }), naive);
    }
}

#[test]
fn an_upstream_that_leaves_moves_only_its_own_chats() {
    let (with, without) = (names(20), names(19));
    let first = |names: &[String], chat: usize| {
        let key = key("mesa", &format!("chat-{chat}"));
        top(key, names.iter(), 1, |name| (name, 1.0))[0].clone()
    };
    let mut moved = 0;
    for chat in 0..4_000 {
        let before = first(&with, chat);
        let after = first(&without, chat);
        if before == after {
            continue;
        }
        assert_eq!(before, "engine-19");
        moved += 1;
    }
    assert!((150..250).contains(&moved), "{moved} of 4,000 chats moved, one in 20 is right");
}
