//! The load bound of a pool while one workspace surges tenfold.

use experiment::surge::{Variant, run};

#[test]
fn a_tenfold_surge_puts_no_engine_over_the_bound() {
    for seed in 1..=8 {
        let outcome = run(Variant { seed, margin: 0.1, report_soon_ms: 50 });
        assert_eq!(outcome.answered + outcome.refused, outcome.asked, "{outcome:?}");
        assert!(outcome.worst_over_rule <= 1.0, "{outcome:?}");
        assert!(outcome.worst_skew <= 1.25, "{outcome:?}");
    }
}

#[test]
fn without_a_margin_the_lag_of_the_mean_shows() {
    let outcome = run(Variant { seed: 1, margin: 0.0, report_soon_ms: 50 });
    assert!(outcome.worst_over_rule > 1.0, "{outcome:?}");
}
