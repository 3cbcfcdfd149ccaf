//! The load bound of a pool while one workspace adds ten times its usual load.

use experiment::surge::{Variant, run};

#[test]
fn a_tenfold_surge_puts_no_engine_over_the_bound() {
    for seed in 1..=8 {
        let outcome = run(Variant { seed, ..Variant::default() });
        assert_eq!(outcome.answered + outcome.refused, outcome.asked, "{outcome:?}");
        assert!(outcome.worst_over_rule <= 1.0, "{outcome:?}");
        assert!(outcome.worst_skew <= 1.25, "{outcome:?}");
    }
}

#[test]
fn without_a_margin_the_bound_is_exceeded() {
    let outcome = run(Variant { margin: 0.0, ..Variant::default() });
    assert!(outcome.worst_over_rule > 1.0, "{outcome:?}");
}
