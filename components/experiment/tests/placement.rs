//! Cache hits of returning chats under the placement policies.

use experiment::placement::{Scenario, run};
use routing::Policy;

fn found_percent(policy: Policy, scenario: Scenario) -> u64 {
    let outcome = run(policy, scenario, 0.1, 1);
    100 * outcome.found / outcome.returning
}

#[test]
fn directory_policy_finds_more_contexts_than_ranking() {
    let (ranked, directory) = (
        found_percent(Policy::Ranked, Scenario::Calm),
        found_percent(Policy::Directory, Scenario::Calm),
    );
    assert!(directory >= ranked + 8, "{directory}% with the directory, {ranked}% without");
    assert!(directory >= 78, "{directory}%");
}

#[test]
fn directory_policy_keeps_most_contexts_during_restarts() {
    let random = found_percent(Policy::Random, Scenario::Churn);
    let directory = found_percent(Policy::Directory, Scenario::Churn);
    assert!(directory >= 55 && directory >= random * 3, "{directory}%, at random {random}%");
}
