//! The sum of all shares, and the room that is left for small ones.

use budget::Budget;
use proptest::prelude::{prop, proptest};

#[test]
fn dropped_shares_are_free_again() {
    let budget = Budget::new(100);
    let mut share = budget.share();
    assert!(share.resize(50));
    drop(share);
    assert_eq!(budget.held(), 0);
}

#[test]
fn a_share_grows_only_while_a_quarter_of_it_stays_free() {
    let budget = Budget::new(100);
    let (mut first, mut second) = (budget.share(), budget.share());
    assert!(!first.resize(81));
    assert!(first.resize(80));
    assert!(!second.resize(17));
    assert!(second.resize(16));
    assert_eq!((first.bytes(), second.bytes(), budget.held()), (80, 16, 96));
}

#[test]
fn shrinking_is_allowed_when_nothing_is_free() {
    let budget = Budget::new(10);
    let mut shares: Vec<_> = (0..10).map(|_| budget.share()).collect();
    for share in &mut shares {
        share.resize(3);
    }
    assert!(shares[0].resize(1));
}

proptest! {
    // Guards against shares that together exceed the limit, and against large ones that leave no
    // room for a small one.
    #[test]
    fn the_limit_holds(sizes in prop::collection::vec((0..8_usize, 40..400_usize), 0..60)) {
        let budget = Budget::new(1_000);
        let mut shares: Vec<_> = (0..8).map(|_| budget.share()).collect();
        for (number, bytes) in sizes {
            shares[number].resize(bytes);
            assert_eq!(budget.held(), shares.iter().map(budget::Share::bytes).sum::<usize>());
            assert!(budget.held() + 10 <= budget.limit());
        }
        // Every share above could grow only while a quarter of it stayed free.
        assert!(budget.share().resize(8));
    }
}
