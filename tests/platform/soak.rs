//! A soak test of a fleet under seeded, overlapping faults.
//!
//! `cargo test --test platform soak` runs three seeds; `SILVERSTACK_SOAK_SEEDS=1-50` selects others.

mod callers;
mod fleet;
mod notices;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::callers::{Kind, Seen, run_caller};
use self::fleet::{FATAL, Fleet};
use crate::caller::Answer;

/// First and last default seed.
const DEFAULT_SEEDS: (u64, u64) = (1, 3);

/// Time for which faults are injected per seed.
const FAULT_DURATION: Duration = Duration::from_secs(20);

/// Number of concurrent callers.
const CALLERS: u64 = 12;

/// Time after which a revoked key is refused, by the routers' settings.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which all routers know the store's content once no fault is active.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of requests that must be served for the other checks to be meaningful.
const MIN_SERVED: usize = 200;

/// Time within which fatal work must have crashed three engines.
const CRASH_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of the last event of each stream.
const LAST_EVENT: usize = 5;

/// How often quarantined work may still be sent to upstreams.
const MAX_RETRIES: usize = 3;

#[test]
fn a_fleet_keeps_its_guarantees_under_overlapping_faults() {
    let (first, last) = seeds();
    for seed in first..=last {
        soak(seed);
    }
}

/// First and last seed to run, from `SILVERSTACK_SOAK_SEEDS`.
fn seeds() -> (u64, u64) {
    let range = std::env::var("SILVERSTACK_SOAK_SEEDS").ok();
    let range = range.as_deref().and_then(|range| range.split_once('-'));
    range.map_or(DEFAULT_SEEDS, |(first, last)| {
        (first.parse().expect("a seed"), last.parse().expect("a seed"))
    })
}

fn soak(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(3);
    let routers: Vec<_> = fleet.routers.iter().map(crate::router::Router::caller_address).collect();
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let exchanges: Vec<Seen> = std::thread::scope(|scope| {
        let start = |number| {
            let (routers, stop, next) = (&routers, &stop, &next);
            scope.spawn(move || run_caller(routers, stop, next, seed * 1_000 + number))
        };
        let callers: Vec<_> = (0..CALLERS).map(start).collect();
        inject_faults(&mut fleet, &mut random);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let context = format!("seed {seed}: {:#?}", fleet.log);
    check(&fleet, &exchanges, &context);
    check_versions(&exchanges, &context);
    notices::check_backoffs(&fleet, &context);
    notices::check_leaving(&fleet, &exchanges, &context);
    check_calm(&fleet, &context);
}

/// Injects faults for a while, then undoes all of them.
fn inject_faults(fleet: &mut Fleet, random: &mut ChaCha8Rng) {
    let begun = Instant::now();
    while begun.elapsed() < FAULT_DURATION {
        fleet.inject_fault(random);
        std::thread::sleep(Duration::from_millis(random.random_range(0..700)));
        fleet.undo_faults(false);
        if fleet.revoked_at.is_none() && begun.elapsed() > FAULT_DURATION / 2 {
            fleet.revoke();
        }
    }
    fleet.undo_faults(true);
    crash_three(fleet);
    fleet.restart_engines();
    crash_three_by_part(fleet);
    fleet.restart_engines();
    std::thread::sleep(PROPAGATION_TIMEOUT);
}

/// Sends requests with the fatal prompt part until they have crashed at least three engines.
fn crash_three_by_part(fleet: &Fleet) {
    let begun = Instant::now();
    while fleet.fatal_part_counts().1 < 3 && begun.elapsed() < CRASH_TIMEOUT {
        fleet.send_fatal_part(0, 1);
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Sends fatal work until it has crashed at least three engines.
fn crash_three(fleet: &Fleet) {
    let begun = Instant::now();
    while fleet.fatal_counts().1 < 3 && begun.elapsed() < CRASH_TIMEOUT {
        fleet.send_fatal(0, 1);
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Checks the guarantees that hold during faults.
fn check(fleet: &Fleet, exchanges: &[Seen], context: &str) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let requests = fleet.all_instances.iter().flat_map(crate::standin::Upstream::requests);
    for request in requests.filter(|request| !request.refused) {
        let id = request.header("attempt-identifier").unwrap_or("").to_owned();
        *runs.entry(id).or_default() += 1;
    }
    let abandoned: BTreeSet<String> =
        fleet.all_instances.iter().flat_map(crate::standin::Upstream::abandoned).collect();
    let served = exchanges
        .iter()
        .filter(|seen| seen.answer.as_ref().is_some_and(|answer| answer.status == 200));
    let served = served.count();
    assert!(served > MIN_SERVED, "{served} of {} are served: {context}", exchanges.len());
    for seen in exchanges {
        let ran = runs.get(&seen.id).copied().unwrap_or_default();
        if matches!(seen.kind, Kind::Unsafe | Kind::Stream) {
            assert!(ran <= 1, "{seen:?} ran {ran} times: {context}");
        }
        let late = fleet.revoked_at.is_some_and(|at| seen.sent > at + REVOCATION_TIMEOUT);
        assert!(
            ran == 0 || !seen.revoked || !late,
            "{seen:?} ran with a key taken away: {context}"
        );
        check_answered(fleet, seen, ran, abandoned.contains(&seen.id), context);
        if let Some(answer) = &seen.answer {
            check_answer(seen, answer, ran, context);
        }
    }
}

/// Checks that a router which runs, or stops as planned, ends no request that it has sent to an
/// upstream without a whole answer. Streams may break off with their upstream, but not be
/// `abandoned` there.
fn check_answered(fleet: &Fleet, seen: &Seen, ran: usize, abandoned: bool, context: &str) {
    let is_call = matches!(seen.kind, Kind::Safe | Kind::Unsafe);
    let is_lost = match &seen.answer {
        None => ran > 0,
        Some(answer) => !answer.whole && (is_call || abandoned),
    };
    let is_excused = || fleet.was_disturbed(seen.router, seen.sent, seen.ended);
    assert!(!is_lost || is_excused(), "{seen:?} ran {ran} times: {context}");
}

/// Checks that all events of a stream come from one version of the software, over all requests by
/// which its caller continued it.
fn check_versions(exchanges: &[Seen], context: &str) {
    let mut versions: BTreeMap<&str, &str> = BTreeMap::new();
    for seen in exchanges.iter().filter(|seen| matches!(seen.kind, Kind::Stream | Kind::Resumed)) {
        let Some(answer) = &seen.answer else { continue };
        let stream = seen.continued.as_ref().map_or(&seen.id, |continued| &continued.stream);
        let events = answer.body.lines().filter(|line| line.starts_with("data: piece"));
        for version in
            events.filter_map(|line| line.rsplit_once(" at ")).map(|(_, version)| version)
        {
            let began = versions.entry(stream).or_insert(version);
            assert_eq!(*began, version, "{seen:?} has events of two versions: {context}");
        }
    }
}

/// Checks that an answer belongs to its request, is complete or recognizably cut off, and that a
/// status for unexecuted requests is true.
fn check_answer(seen: &Seen, answer: &Answer, ran: usize, context: &str) {
    let is_unexecuted = matches!(answer.status, 408 | 421 | 429 | 503);
    let is_run_once = matches!(seen.kind, Kind::Unsafe | Kind::Stream);
    assert!(!is_unexecuted || !is_run_once || ran == 0, "{seen:?} had run: {context}");
    if answer.status != 200 {
        return;
    }
    let proof = format!("proof.{}", seen.id);
    let own = answer.headers.get("attempt-identifier") == Some(&seen.id);
    let signed = answer.headers.get("server-seal") == Some(&proof);
    assert!(own && signed, "another's answer: {seen:?}: {context}");
    if !answer.whole {
        return;
    }
    match seen.kind {
        Kind::Safe | Kind::Unsafe => assert_eq!(answer.body, "whole", "{seen:?}: {context}"),
        Kind::Stream | Kind::Resumed => {
            let lines = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
            let numbers: Vec<usize> = lines.filter_map(|number| number.parse().ok()).collect();
            let had = seen.continued.as_ref().map_or(0, |continued| continued.last_event);
            let lacked: Vec<_> = (had + 1..=LAST_EVENT).collect();
            assert_eq!(numbers, lacked, "{seen:?}: {context}");
        }
    }
}

/// Checks that every router serves all kinds of requests after the faults, and quarantines fatal
/// work.
fn check_calm(fleet: &Fleet, context: &str) {
    let (before, crashed) = fleet.fatal_counts();
    for (index, router) in fleet.routers.iter().enumerate() {
        router.wait_until(&format!("ready again: {context}"), || router.is_ready());
        for kind in Kind::ALL {
            let (line, id) = (kind.line(), format!("calm-{index}-{kind:?}"));
            router.wait_until(&format!("serving {line}: {context}"), || {
                let answer = router.request(line, &[("Attempt-Identifier", &id)], "calm");
                answer.is_some_and(|answer| answer.status == 200 && answer.whole)
            });
        }
    }
    assert!(crashed >= 3, "{crashed} engines have ended: {context}");
    for index in 0..fleet.routers.len() {
        fleet.send_fatal(index, 4);
    }
    let (after, _) = fleet.fatal_counts();
    let sent = after - before;
    assert!(sent <= MAX_RETRIES, "{FATAL:?} was sent {sent} times more: {context}");
    check_fatal_part(fleet, context);
}

/// Checks that all routers quarantine the fatal prompt part.
fn check_fatal_part(fleet: &Fleet, context: &str) {
    let (before, crashed) = fleet.fatal_part_counts();
    assert!(crashed >= 3, "{crashed} engines have ended under the prompt part: {context}");
    for index in 0..fleet.routers.len() {
        fleet.send_fatal_part(index, 4);
    }
    let sent = fleet.fatal_part_counts().0 - before;
    assert!(sent <= MAX_RETRIES, "the prompt part was sent {sent} times more: {context}");
}
