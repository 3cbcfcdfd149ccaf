//! Properties of the ranking and the load bound.

use placement::{Bound, Pool, key, rank, top};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 20_261_202;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("engine-{index}")).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn top_returns_the_first_of_rank(key in any::<u64>(), len in 0..60_usize, count in 0..20_usize) {
        let mut ranked = names(len);
        rank(key, &mut ranked, |name| (name, 1.0));
        ranked.truncate(count);
        let best = top(key, names(len).into_iter(), count, |name| (name, 1.0));
        prop_assert_eq!(best, ranked);
    }

    #[test]
    fn the_ranking_is_independent_of_the_input_order(key in any::<u64>(), count in 1..40_usize) {
        let mut one = names(count);
        let mut other: Vec<_> = names(count).into_iter().rev().collect();
        rank(key, &mut one, |name| (name, 1.0));
        rank(key, &mut other, |name| (name, 1.0));
        prop_assert_eq!(one, other);
    }

    #[test]
    fn the_bound_follows_its_formula(
        load in 0..10_000_u64,
        weight in 1..2_000_u64,
        total in 0..100_000_u64,
        members in 1..50_u32,
    ) {
        let bound = Bound { multiple: 1.25, floor: 3_000, margin: 0.0, extra: 0 };
        // 1.25 = 5 / 4 in integers.
        let share = 5 * (total + weight) / (4 * u64::from(members));
        let naive = load == 0 || load + weight <= share.max(3_000);
        prop_assert_eq!(bound.admits(load, weight, Pool { load: total, members }), naive);
    }
}

#[test]
fn removing_an_upstream_moves_only_its_own_chats() {
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
