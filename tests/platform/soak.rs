//! A fleet under faults that come in series and overlap, by seed.
//!
//! `cargo test --test platform soak` plays three seeds; `SILVERSTACK_SOAK_SEEDS=1-50` plays others.

mod callers;
mod fleet;
mod words;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::callers::{Kind, Seen, call};
use self::fleet::{FATAL, Fleet};
use crate::caller::Answer;

/// The seeds that are played where none are asked for.
const SEEDS: (u64, u64) = (1, 3);

/// How long faults go on for each seed.
const LASTS: Duration = Duration::from_secs(20);

/// How many callers ask at a time.
const CALLERS: u64 = 12;

/// How long a key may still be used that was taken away, as the routers' settings say.
const REVOCATION: Duration = Duration::from_secs(3);

/// How long routers may take until they know what the platform's store says, once all is calm.
const CONTACT: Duration = Duration::from_secs(3);

/// The least number of requests that are served for the rest to say anything.
const LEAST: usize = 200;

/// How long engines may take to end.
const PATIENCE: Duration = Duration::from_secs(10);

/// How often fatal work may be sent after that.
const MOST_RETRIES: usize = 3;

#[test]
fn a_fleet_keeps_its_promises_through_faults_in_series() {
    let (first, last) = seeds();
    for seed in first..=last {
        soak(seed);
    }
}

/// The seeds to play: `FIRST-LAST`.
fn seeds() -> (u64, u64) {
    let asked = std::env::var("SILVERSTACK_SOAK_SEEDS").ok();
    let asked = asked.as_deref().and_then(|it| it.split_once('-'));
    asked.map_or(SEEDS, |(first, last)| {
        (first.parse().expect("a seed"), last.parse().expect("a seed"))
    })
}

fn soak(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(3);
    let routers: Vec<_> = fleet.routers.iter().map(crate::router::Router::callers).collect();
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let asked: Vec<Seen> = std::thread::scope(|scope| {
        let start = |number| {
            let (routers, stop, next) = (&routers, &stop, &next);
            scope.spawn(move || call(routers, stop, next, seed * 1_000 + number))
        };
        let callers: Vec<_> = (0..CALLERS).map(start).collect();
        disturb(&mut fleet, &mut random);
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect()
    });
    let context = format!("seed {seed}: {:#?}", fleet.log);
    check(&fleet, &asked, &context);
    words::check_rests(&fleet, &context);
    words::check_leaving(&fleet, &asked, &context);
    check_calm(&fleet, &context);
}

/// Disturbs the fleet, and has it calm at the end.
fn disturb(fleet: &mut Fleet, random: &mut ChaCha8Rng) {
    let begun = Instant::now();
    while begun.elapsed() < LASTS {
        fleet.disturb(random);
        std::thread::sleep(Duration::from_millis(random.random_range(0..700)));
        fleet.mend(false);
        if fleet.revoked.is_none() && begun.elapsed() > LASTS / 2 {
            fleet.revoke();
        }
    }
    fleet.mend(true);
    end_three(fleet);
    std::thread::sleep(CONTACT);
}

/// Has three engines at least end under the fatal work, however few have until now.
fn end_three(fleet: &Fleet) {
    let begun = Instant::now();
    while fleet.fatal().1 < 3 && begun.elapsed() < PATIENCE {
        fleet.send_fatal(0, 1);
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// What held at all times.
fn check(fleet: &Fleet, asked: &[Seen], context: &str) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let requests = fleet.all.iter().flat_map(crate::standin::Upstream::requests);
    for request in requests.filter(|it| !it.turned_away) {
        let id = request.header("attempt-identifier").unwrap_or("").to_owned();
        *runs.entry(id).or_default() += 1;
    }
    let served = asked.iter().filter(|it| it.answer.as_ref().is_some_and(|it| it.status == 200));
    let served = served.count();
    assert!(served > LEAST, "{served} of {} are served: {context}", asked.len());
    for it in asked {
        let ran = runs.get(&it.id).copied().unwrap_or_default();
        if matches!(it.kind, Kind::Unsafe | Kind::Stream) {
            assert!(ran <= 1, "{it:?} ran {ran} times: {context}");
        }
        let late = fleet.revoked.is_some_and(|at| it.sent > at + REVOCATION);
        assert!(ran == 0 || !it.revoked || !late, "{it:?} ran with a key taken away: {context}");
        if let Some(answer) = &it.answer {
            check_answer(it, answer, ran, context);
        }
    }
}

/// An answer is its request's own, whole or visibly not, and keeps what its status promises.
fn check_answer(seen: &Seen, answer: &Answer, ran: usize, context: &str) {
    let promises = matches!(answer.status, 408 | 421 | 429 | 503);
    let once = matches!(seen.kind, Kind::Unsafe | Kind::Stream);
    assert!(!promises || !once || ran == 0, "{seen:?} had run: {context}");
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
            let lines = answer.body.lines().filter_map(|it| it.strip_prefix("id: "));
            let numbers: Vec<_> = lines.collect();
            assert_eq!(numbers, ["1", "2", "3", "4", "5"], "{seen:?}: {context}");
        }
    }
}

/// What holds once all is calm: every router serves everything, and sends fatal work no more.
fn check_calm(fleet: &Fleet, context: &str) {
    let (before, ended) = fleet.fatal();
    for (place, router) in fleet.routers.iter().enumerate() {
        router.until(&format!("ready again: {context}"), || router.is_ready());
        for kind in Kind::ALL {
            let (line, id) = (kind.line(), format!("calm-{place}-{kind:?}"));
            router.until(&format!("serving {line}: {context}"), || {
                let answer = router.ask(line, &[("Attempt-Identifier", &id)], "calm");
                answer.is_some_and(|it| it.status == 200 && it.whole)
            });
        }
    }
    assert!(ended >= 3, "{ended} engines have ended: {context}");
    for place in 0..fleet.routers.len() {
        fleet.send_fatal(place, 4);
    }
    let (after, _) = fleet.fatal();
    let sent = after - before;
    assert!(sent <= MOST_RETRIES, "{FATAL:?} was sent {sent} times more: {context}");
}
