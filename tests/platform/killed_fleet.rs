//! All routers are killed at once while streams of two software versions go on: callers continue
//! them at any router, and none is joined from two versions.

use std::time::Duration;

use serde_json::{Value, json};

use crate::router::Router;
use crate::standin::{Mode, Upstream};
use crate::versions::{
    STREAMS, begin_all, continue_all, engines, pair, restart, take_up, version_of,
    wait_until_removed, without_retries,
};

/// Time within which the records of all streams are saved.
const SAVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Kills both routers at once and starts them again.
fn kill_all(one: &mut Router, two: &mut Router) {
    one.kill();
    two.kill();
    one.restart();
    two.restart();
}

/// How often a router has logged `message`.
fn count_logged(router: &Router, message: &str) -> usize {
    router.log().iter().filter(|line| line["payload"] == message).count()
}

/// Waits until a router is ready.
fn wait_until_ready(router: &Router) {
    router.wait_until("listening again", || router.is_listening());
    router.wait_until("ready again", || router.is_ready());
}

/// Continues all streams at a router. Asserts that each goes on at its version or is refused, and
/// returns how many go on.
fn count_continued(router: &Router, engines: &[Upstream], began: &[&str]) -> usize {
    let continues = |(number, began): (usize, &&str)| {
        let answer = take_up(router, engines, number);
        let version = version_of(engines, &format!("taken-{number}"));
        assert!(version.is_none_or(|version| version == *began), "stream {number} is joined");
        assert_eq!(version.is_some(), answer.status == 200, "stream {number}: {answer:?}");
        version.is_some()
    };
    began.iter().enumerate().filter(|stream| continues(*stream)).count()
}

#[test]
fn streams_go_on_at_their_versions_after_all_routers_were_killed() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    continue_all(&two, &engines, &began);
}

#[test]
fn streams_go_on_after_two_kills_of_all_routers() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&one);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    continue_all(&two, &engines, &began);
}

#[test]
fn streams_go_on_at_the_routers_that_are_left_of_three() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    let third = Router::join(&one.store, "front-3");
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&one);
    continue_all(&third, &engines, &began);
}

#[test]
fn streams_of_a_version_that_left_while_all_routers_were_down_are_refused() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    one.kill();
    two.kill();
    for engine in engines.iter().filter(|engine| engine.version == "v1") {
        one.store.remove(&engine.key());
    }
    one.restart();
    two.restart();
    wait_until_ready(&two);
    wait_until_removed(&two);
    let of_v2 = began.iter().filter(|version| **version == "v2").count();
    assert_eq!(count_continued(&two, &engines, &began), of_v2);
}

#[test]
fn streams_go_on_though_a_third_version_came_while_all_routers_were_down() {
    let mut engines = engines();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    one.kill();
    two.kill();
    let host = crate::router::unused_host();
    let third = Upstream::start_version(&host, "i-new", "engine", "v3");
    one.store.put(&third.key(), &third.entry("ready", 1));
    engines.push(third);
    one.restart();
    two.restart();
    wait_until_ready(&two);
    continue_all(&two, &engines, &began);
}

#[test]
fn no_stream_is_joined_if_the_store_was_away_before_all_routers_were_killed() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    one.store.set_mode(Mode::Busy);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    one.kill();
    two.kill();
    one.store.set_mode(Mode::Up);
    one.restart();
    two.restart();
    wait_until_ready(&two);
    assert_eq!(count_continued(&two, &engines, &began), 0);
}

#[test]
fn streams_go_on_once_the_store_is_back_after_all_routers_were_killed() {
    let engines = engines();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    one.store.set_mode(Mode::Silent);
    kill_all(&mut one, &mut two);
    std::thread::sleep(Duration::from_millis(500));
    one.store.set_mode(Mode::Up);
    wait_until_ready(&two);
    // Once at its first start, once at the second.
    one.wait_until("restored", || count_logged(&one, "stream records restored") == 2);
    assert_eq!(count_continued(&two, &engines, &began), STREAMS);
}

#[test]
fn a_restarted_router_of_a_fleet_with_records_serves_new_streams() {
    let engines = engines();
    let (mut one, two) = pair(&engines);
    let began = begin_all(&one, &engines);
    std::thread::sleep(SAVE_TIMEOUT);
    restart_killed(&mut one);
    continue_all(&two, &engines, &began);
}

/// Kills a router and starts it again.
fn restart_killed(router: &mut Router) {
    router.kill();
    restart(router);
}

/// Two services with engines of one version each. A stream that one of them began goes on there.
fn engines_of_two_services() -> Vec<Upstream> {
    let host = crate::router::unused_host();
    let start = |number: usize| {
        let name = format!("i-{number}");
        match number % 2 {
            0 => Upstream::start_version(&host, &name, "engine", "v1"),
            _ => Upstream::start_version(&host, &name, "other", "v2"),
        }
    };
    (0..8).map(start).collect()
}

/// The configuration with which the routers start, as a later version.
fn without_retries_since(version: u64) -> Value {
    let mut configuration = without_retries();
    configuration["version"] = version.into();
    configuration
}

/// The same with streams split between both services.
fn split(version: u64) -> Value {
    let mut configuration = without_retries_since(version);
    let route = configuration["routes"][3].as_object_mut().expect("a route");
    route.remove("service");
    let targets = json!([
        { "service": "engine", "weight": 50 },
        { "service": "other", "weight": 50 },
    ]);
    route.insert("trafficSplit".to_owned(), targets);
    let mut other = configuration["services"][1].clone();
    other["name"] = "other".into();
    configuration["services"].as_array_mut().expect("services").push(other);
    configuration
}

/// Waits until both routers use the configuration of generation `version`.
fn wait_until_configured(routers: [&Router; 2], version: u64) {
    let generation = format!(r#""generation":{version}"#);
    for router in routers {
        router.wait_until("configured", || router.page("/status").contains(&generation));
    }
}

/// Guards against concluding nothing about the streams of a route that is split between services:
/// each may have begun them, so that only a saved record tells which one did.
#[test]
fn streams_of_a_split_route_go_on_after_all_routers_were_killed() {
    let engines = engines_of_two_services();
    let (mut one, mut two) = pair(&engines);
    one.store.put("op/config", &split(2));
    wait_until_configured([&one, &two], 2);
    let began = begin_all(&one, &engines);
    assert!(began.contains(&"v1") && began.contains(&"v2"), "both services began streams");
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    continue_all(&two, &engines, &began);
}

/// Guards against saving no record of a stream that began while one version served, though another
/// came before the routers were killed.
#[test]
fn streams_go_on_though_another_version_came_after_they_had_begun() {
    let all = engines();
    let (first, later): (Vec<_>, Vec<_>) =
        all.iter().cloned().partition(|engine| engine.version == "v1");
    let (mut one, mut two) = pair(&first);
    let began = begin_all(&one, &first);
    for engine in &later {
        one.store.put(&engine.key(), &engine.entry("ready", 1));
    }
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    continue_all(&two, &all, &began);
}

/// Guards against drawing the rest of a stream into a branch that its service is not in: the stream
/// began before its route was split.
#[test]
fn streams_go_on_though_their_route_was_split_meanwhile() {
    let engines = engines_of_two_services();
    let (mut one, mut two) = pair(&engines);
    let began = begin_all(&one, &engines);
    one.store.put("op/config", &split(2));
    wait_until_configured([&one, &two], 2);
    continue_all(&two, &engines, &began);
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    continue_all(&two, &engines, &began);
}

/// Streams that a service began which its route no longer names go on nowhere else.
#[test]
fn no_stream_is_joined_though_its_route_was_split_before_all_routers_were_killed() {
    let engines = engines_of_two_services();
    let (mut one, mut two) = pair(&engines);
    one.store.put("op/config", &split(2));
    wait_until_configured([&one, &two], 2);
    let began = begin_all(&one, &engines);
    one.store.put("op/config", &without_retries_since(3));
    wait_until_configured([&one, &two], 3);
    std::thread::sleep(SAVE_TIMEOUT);
    kill_all(&mut one, &mut two);
    wait_until_ready(&two);
    let of_engine = began.iter().filter(|began| **began == "v1").count();
    assert_eq!(count_continued(&two, &engines, &began), of_engine);
}
