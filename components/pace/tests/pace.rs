//! What is believed of an upstream's pace.

use clock::Millis;
use pace::{NOMINAL_PERCENT, Pace};
use proptest::prelude::*;

const NOW: Millis = Millis(1_000_000);

/// An upstream that tells `usual`, and `slow` in one of seven figures, each 100 ms.
fn with_moments(usual: u32, slow: u32) -> (Pace, Millis) {
    let mut pace = Pace::default();
    let mut now = NOW;
    for figure in 1..=200 {
        now = now + Millis(100);
        pace.record(if figure % 7 == 0 { slow } else { usual }, now);
    }
    (pace, now)
}

#[test]
fn an_upstream_that_tells_nothing_is_as_usual() {
    let pace = Pace::default();
    assert!((pace.factor(NOW) - 1.0).abs() < f64::EPSILON);
    assert!((pace.expected_wait_ms(50.0, 120.0, NOW) - 120.0).abs() < f64::EPSILON);
}

#[test]
fn a_slow_moment_counts_while_it_lasts_and_is_not_held_against_the_upstream() {
    let (mut pace, now) = with_moments(100, 250);
    let usual = pace.factor(now + Millis(5_000));
    assert!((1.0..1.1).contains(&usual), "{usual}");
    pace.record(250, now + Millis(5_000));
    assert!(pace.factor(now + Millis(5_000)) > 2.4);
    assert!(pace.factor(now + Millis(5_200)) < 1.9);
    assert!(pace.factor(now + Millis(7_000)) < 1.1);
}

#[test]
fn an_upstream_that_is_slower_for_good_is_known_to_be() {
    let (pace, now) = with_moments(130, 325);
    let usual = pace.factor(now + Millis(5_000));
    assert!((1.3..1.45).contains(&usual), "{usual}");
    // 130 ms and 65 ms for 100 ms and 50 ms, a little more for the moments.
    let beyond = pace.expected_wait_ms(100.0, 50.0, now + Millis(5_000));
    assert!((95.0..120.0).contains(&beyond), "{beyond}");
}

proptest! {
    #[test]
    fn whatever_is_told_in_whatever_order_the_pace_is_between_the_extremes(
        figures in prop::collection::vec((0_u32..100_000, 0_u64..3_000), 1..60),
        later in 0_u64..10_000,
    ) {
        let mut pace = Pace::default();
        for (percent, at) in &figures {
            pace.record(*percent, NOW + Millis(*at));
        }
        let factor = pace.factor(NOW + Millis(3_000 + later));
        let bounds = figures.iter().map(|(it, _)| f64::from((*it).clamp(20, 1_000)) / 100.0);
        let (least, most) = bounds.fold((f64::MAX, 0.0_f64), |at, it| (at.0.min(it), at.1.max(it)));
        prop_assert!((least - 1e-9..=most + 1e-9).contains(&factor));
    }

    #[test]
    fn an_earlier_figure_says_nothing(percent in 20_u32..1_000, age in 1_u64..1_000) {
        let mut pace = Pace::default();
        pace.record(NOMINAL_PERCENT, NOW);
        let before = pace.factor(NOW);
        pace.record(percent, NOW - Millis(age));
        prop_assert!((pace.factor(NOW) - before).abs() < f64::EPSILON);
    }
}
