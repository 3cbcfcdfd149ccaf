//! What the clock counts.

use std::time::Duration;

use clock::{Clock, Millis, Suspension};
use nix::time::{ClockId, clock_gettime};

/// The host's clock that also counts suspension.
fn host() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).expect("the host has one")
}

#[test]
fn it_goes_by_the_clock_of_the_host_that_counts_suspension() {
    let (clock, before) = (Clock::new(), host());
    let first = clock.now();
    std::thread::sleep(Duration::from_millis(30));
    let passed = first.until(clock.now());
    let most = host().saturating_sub(before);
    assert!(passed >= Millis(29) && passed.duration() <= most + Duration::from_millis(2));
}

#[test]
fn a_host_that_was_not_suspended_has_not_slept() {
    let mut sleep = Suspension::new(Clock::new());
    std::thread::sleep(Duration::from_millis(30));
    assert!(sleep.take_elapsed() <= Millis(2), "{sleep:?}");
}
