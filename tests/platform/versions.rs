//! Engines of two software versions serve side by side: callers continue their streams only at the
//! version that began them.

use serde_json::Value;

use crate::caller::Answer;
use crate::router::{Router, configuration, unused_host};
use crate::standin::{Action, Mode, Upstream};

pub const STREAMS: usize = 16;

/// How many engines go while streams that they began wait to be continued.
const LEAVING: usize = 4;

/// Four engines of each version; the first [`LEAVING`] are of both.
pub fn engines() -> Vec<Upstream> {
    let host = unused_host();
    let start = |number: usize| {
        let version = if number.is_multiple_of(2) { "v1" } else { "v2" };
        Upstream::start_version(&host, &format!("i-{number}"), "engine", version)
    };
    (0..2 * LEAVING).map(start).collect()
}

/// Removes the first [`LEAVING`] engines, and waits until the routers know.
fn remove_some(engines: &[Upstream], routers: &[&Router]) {
    for engine in &engines[..LEAVING] {
        routers[0].store.remove(&engine.key());
    }
    for router in routers {
        wait_until_removed(router);
    }
}

/// Waits until a router lists only the engines that stay.
pub fn wait_until_removed(router: &Router) {
    let listed = || {
        let status: Value = serde_json::from_str(&router.page("/status")).expect("JSON");
        status["upstreams"].as_array().map(Vec::len)
    };
    router.wait_until("without some engines", || listed() == Some(LEAVING));
}

/// Begins all streams at a router; returns the versions of their engines.
pub fn begin_all(router: &Router, engines: &[Upstream]) -> Vec<&'static str> {
    (0..STREAMS).map(|number| begin(router, engines, number)).collect()
}

/// Continues all streams at a router, and asserts that each goes to its end at its version.
pub fn continue_all(router: &Router, engines: &[Upstream], began: &[&str]) {
    for (number, began) in began.iter().enumerate() {
        let answer = take_up(router, engines, number);
        assert_eq!((answer.status, answer.whole), (200, true), "stream {number}: {answer:?}");
        let version = version_of(engines, &format!("taken-{number}"));
        assert_eq!(version, Some(*began), "stream {number}");
    }
}

/// A configuration whose routers do not retry streams, so that only callers continue them.
pub fn without_retries() -> Value {
    let mut configuration = configuration(1);
    configuration["routes"][3]["attempts"] = 1.into();
    configuration
}

fn set_all(engines: &[Upstream], action: &Action) {
    for engine in engines {
        engine.set_actions(std::slice::from_ref(action));
    }
}

/// The version of the engine that received request `id`.
pub fn version_of(engines: &[Upstream], id: &str) -> Option<&'static str> {
    let received = |engine: &&Upstream| {
        engine.requests().iter().any(|request| request.header("attempt-identifier") == Some(id))
    };
    engines.iter().find(received).map(|engine| engine.version)
}

/// Begins stream `number` at a router; its engine breaks off after three events. Returns the
/// engine's version.
fn begin(router: &Router, engines: &[Upstream], number: usize) -> &'static str {
    set_all(engines, &Action::Broken(1, 3));
    let (id, prompt) = (format!("begun-{number}"), format!("c{number}:9,bb:1"));
    // The caller may continue it for some time.
    let further = [
        ("Attempt-Identifier", &*id),
        ("Deadline-Remaining", "30000"),
        ("Model", "m"),
        ("Prompt-Prefix", &prompt),
    ];
    let answer = router.request("POST /resumed/x", &further, "b").expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, false), "{answer:?}");
    version_of(engines, &id).expect("an engine received the request")
}

/// Continues stream `number` at a router, after its third event.
pub fn take_up(router: &Router, engines: &[Upstream], number: usize) -> Answer {
    let begun = format!("begun-{number}");
    take_up_with(router, engines, number, &[("Resumes", &begun)])
}

/// Continues stream `number` without naming the request that began it.
fn take_up_unnamed(router: &Router, engines: &[Upstream], number: usize) -> Answer {
    take_up_with(router, engines, number, &[])
}

fn take_up_with(
    router: &Router,
    engines: &[Upstream],
    number: usize,
    names: &[(&str, &str)],
) -> Answer {
    set_all(engines, &Action::Events(4, 6, 1));
    let (id, prompt) = (format!("taken-{number}"), format!("c{number}:9,bb:1"));
    let mut further = vec![
        ("Attempt-Identifier", &*id),
        ("Last-Event-Id", "3"),
        ("Model", "m"),
        ("Prompt-Prefix", &prompt),
    ];
    further.extend(names);
    router.request("POST /resumed/x", &further, "b").expect("an answer")
}

/// Starts a killed router again, and waits until it is ready.
pub fn restart(router: &mut Router) {
    router.restart();
    router.wait_until("listening again", || router.is_listening());
    router.wait_until("ready again", || router.is_ready());
}

/// Two routers of one fleet that know each other.
pub fn pair(engines: &[Upstream]) -> (Router, Router) {
    let upstreams: Vec<_> = engines.iter().collect();
    let one = Router::start(&without_retries(), &upstreams);
    let two = Router::join(&one.store, "front-2");
    let knows_another = |router: &Router| router.has_logged("another router announced itself");
    one.wait_until("knowing the other", || knows_another(&one) && knows_another(&two));
    (one, two)
}

#[test]
fn a_stream_is_continued_at_its_version_by_the_router_that_began_it() {
    let engines = engines();
    let router = Router::start(&without_retries(), &engines.iter().collect::<Vec<_>>());
    let began = begin_all(&router, &engines);
    remove_some(&engines, &[&router]);
    continue_all(&router, &engines, &began);
}

#[test]
fn a_stream_is_continued_at_its_version_by_another_router() {
    let engines = engines();
    let (one, two) = pair(&engines);
    let began = begin_all(&one, &engines);
    remove_some(&engines, &[&one, &two]);
    continue_all(&two, &engines, &began);
}

#[test]
fn a_stream_is_continued_at_its_version_after_its_router_is_killed() {
    let engines = engines();
    let (mut one, two) = pair(&engines);
    let began = begin_all(&one, &engines);
    remove_some(&engines, &[&one, &two]);
    one.kill();
    continue_all(&two, &engines, &began);
}

#[test]
fn a_stream_is_continued_at_its_version_while_the_store_is_away() {
    let engines = engines();
    let (one, two) = pair(&engines);
    let began = begin_all(&one, &engines);
    remove_some(&engines, &[&one, &two]);
    one.store.set_mode(Mode::Busy);
    continue_all(&two, &engines, &began);
}

#[test]
fn a_restarted_router_asks_the_others_which_version_began_a_stream() {
    let engines = engines();
    let (one, mut two) = pair(&engines);
    let began = begin_all(&two, &engines);
    remove_some(&engines, &[&one, &two]);
    two.kill();
    restart(&mut two);
    wait_until_removed(&two);
    continue_all(&two, &engines, &began);
}

#[test]
fn a_stream_of_an_unknown_version_is_refused_at_once() {
    let engines = engines();
    let router = Router::start(&without_retries(), &engines.iter().collect::<Vec<_>>());
    for number in 0..STREAMS {
        let answer = take_up(&router, &engines, number);
        assert_eq!(answer.status, 503, "stream {number}: {answer:?}");
        assert_eq!(version_of(&engines, &format!("taken-{number}")), None, "stream {number}");
    }
}

#[test]
fn a_stream_is_continued_without_a_record_where_only_one_version_has_served() {
    let host = unused_host();
    let engines = ["i-0", "i-1"].map(|name| Upstream::start(&host, name, "engine"));
    let mut router = Router::start_first(&without_retries(), &engines.each_ref());
    assert_eq!(take_up_unnamed(&router, &engines, 0).status, 200);
    assert_eq!(take_up(&router, &engines, 1).status, 200);
    // The store keeps what a router that starts later needs for this.
    let saved = || router.store.contains_key("silverstack/builds");
    router.wait_until("saved", saved);
    router.kill();
    let settings = std::fs::read_to_string(router.settings()).expect("the settings");
    let settings = settings.replace("bootstrap = true", "bootstrap = false");
    std::fs::write(router.settings(), settings).expect("the file is writable");
    restart(&mut router);
    assert_eq!(take_up_unnamed(&router, &engines, 2).status, 200);
    assert_eq!(take_up(&router, &engines, 3).status, 200);
}

#[test]
fn an_unnamed_stream_is_refused_while_versions_are_mixed() {
    let engines = engines();
    let router = Router::start_first(&without_retries(), &engines.iter().collect::<Vec<_>>());
    let answer = take_up_unnamed(&router, &engines, 0);
    assert_eq!(answer.status, 503, "{answer:?}");
}
