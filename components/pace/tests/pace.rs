//! The pace estimated from an upstream's reports.

use clock::Millis;
use pace::{NOMINAL_PERCENT, Pace};
use proptest::prelude::*;

const NOW: Millis = Millis(1_000_000);

/// Records a report every 100 ms: `baseline`, but every seventh is `slow`.
fn with_slow_periods(baseline: u32, slow: u32) -> (Pace, Millis) {
    let mut pace = Pace::default();
    let mut now = NOW;
    for report in 1..=200 {
        now = now + Millis(100);
        pace.record(if report % 7 == 0 { slow } else { baseline }, now);
    }
    (pace, now)
}

#[test]
fn without_reports_the_pace_is_nominal() {
    let pace = Pace::default();
    assert!((pace.factor(NOW) - 1.0).abs() < f64::EPSILON);
    assert!((pace.expected_wait_ms(50.0, 120.0, NOW) - 120.0).abs() < f64::EPSILON);
}

#[test]
fn a_slow_report_decays_and_hardly_changes_the_baseline() {
    let (mut pace, now) = with_slow_periods(100, 250);
    let baseline = pace.factor(now + Millis(5_000));
    assert!((1.0..1.1).contains(&baseline), "{baseline}");
    pace.record(250, now + Millis(5_000));
    assert!(pace.factor(now + Millis(5_000)) > 2.4);
    assert!(pace.factor(now + Millis(5_200)) < 1.9);
    assert!(pace.factor(now + Millis(7_000)) < 1.1);
}

#[test]
fn a_permanently_slower_upstream_has_a_slower_baseline() {
    let (pace, now) = with_slow_periods(130, 325);
    let baseline = pace.factor(now + Millis(5_000));
    assert!((1.3..1.45).contains(&baseline), "{baseline}");
    // At 1.3 times the nominal time 150 ms take 195 ms, slightly more with the slow periods.
    let wait = pace.expected_wait_ms(100.0, 50.0, now + Millis(5_000));
    assert!((95.0..120.0).contains(&wait), "{wait}");
}

proptest! {
    #[test]
    fn the_pace_is_between_the_extremes_of_the_reports_in_any_order(
        reports in prop::collection::vec((0_u32..100_000, 0_u64..3_000), 1..60),
        later in 0_u64..10_000,
    ) {
        let mut pace = Pace::default();
        for (percent, at) in &reports {
            pace.record(*percent, NOW + Millis(*at));
        }
        let factor = pace.factor(NOW + Millis(3_000 + later));
        let bounds = reports.iter().map(|(percent, _)| f64::from((*percent).clamp(20, 1_000)) / 100.0);
        let (min, max) = bounds
            .fold((f64::MAX, 0.0_f64), |range, bound| (range.0.min(bound), range.1.max(bound)));
        prop_assert!((min - 1e-9..=max + 1e-9).contains(&factor));
    }

    #[test]
    fn an_earlier_report_is_ignored(percent in 20_u32..1_000, age in 1_u64..1_000) {
        let mut pace = Pace::default();
        pace.record(NOMINAL_PERCENT, NOW);
        let before = pace.factor(NOW);
        pace.record(percent, NOW - Millis(age));
        prop_assert!((pace.factor(NOW) - before).abs() < f64::EPSILON);
    }
}
