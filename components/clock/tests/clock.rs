//! Tests against the clock of the host.

use std::time::Duration;

use clock::{Clock, Millis, Suspension};
use nix::time::{ClockId, clock_gettime};

/// The host's time since boot, suspension included.
fn host_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).expect("the host has the clock")
}

#[test]
fn follows_the_host_clock_that_counts_suspension() {
    let (clock, before) = (Clock::new(), host_time());
    let first = clock.now();
    std::thread::sleep(Duration::from_millis(30));
    let passed = first.until(clock.now());
    let host_passed = host_time().saturating_sub(before);
    assert!(passed >= Millis(29) && passed.duration() <= host_passed + Duration::from_millis(2));
}

#[test]
fn reports_no_suspension_of_a_running_host() {
    let mut suspension = Suspension::new(Clock::new());
    std::thread::sleep(Duration::from_millis(30));
    assert!(suspension.take_elapsed() <= Millis(2), "{suspension:?}");
}
