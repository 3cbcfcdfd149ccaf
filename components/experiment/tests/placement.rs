//! Returning chats find their context again.

use experiment::placement::{Scene, run};
use routing::Policy;

fn found(policy: Policy, scene: Scene) -> u64 {
    let outcome = run(policy, scene, 0.1, 1);
    100 * outcome.found / outcome.returning
}

#[test]
fn the_directory_finds_chats_that_had_to_go_elsewhere() {
    let (ranked, directory) =
        (found(Policy::Ranked, Scene::Calm), found(Policy::Directory, Scene::Calm));
    assert!(directory >= ranked + 8, "{directory}% with the directory, {ranked}% without");
    assert!(directory >= 78, "{directory}%");
}

#[test]
fn restarts_leave_most_chats_where_they_were() {
    let random = found(Policy::Random, Scene::Churn);
    let directory = found(Policy::Directory, Scene::Churn);
    assert!(directory >= 55 && directory >= random * 3, "{directory}%, at random {random}%");
}
