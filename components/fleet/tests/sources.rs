//! Who looks at the store, and who asks whom.

use std::sync::Arc;

use clock::Millis;
use edge::{Announcement, Peer};
use fleet::{Roster, Source, Sources};
use proptest::prelude::*;

/// How long a step of the tests takes.
const STEP: Millis = Millis(100);

/// How long an announcement lasts that its router can't renew, as the store does not answer it.
const LEASE: Millis = Millis(20_000);

/// How many routers of a domain follow the store where it is the only one; one where there are
/// more.
const FOLLOWING: usize = 2;

fn peer(number: usize, domain: usize) -> Peer {
    let [low, high] = [domain, number].map(|it| u8::try_from(it).expect("a small fleet"));
    Peer {
        name: format!("front-{domain}-{number}").into(),
        hints: Some(([10, 0, low, high], 9).into()),
        domain: format!("zone-{domain}").into(),
        strength: 5,
    }
}

/// A router of a modelled fleet.
struct Router {
    own: Peer,
    sources: Sources,
    roster: Roster,
    lives: bool,
    /// Whether the store answers it.
    reaches: bool,
    /// When the store last did.
    reached: Millis,
    /// When it last knew what the store holds.
    proof: Option<Millis>,
    /// From whom it heard last.
    source: Option<Arc<str>>,
    /// The step whose announcements it knows.
    seen: Option<usize>,
}

/// A fleet whose calls take no time. Who looks at the store learns there who follows it; who hears
/// from another learns as much as that one knows.
struct Fleet {
    routers: Vec<Router>,
    /// What was announced at each step.
    announced: Vec<Vec<Announcement>>,
    now: Millis,
    looks: usize,
    /// How many steps each router's look takes.
    pace: usize,
}

impl Fleet {
    fn new(domains: usize, size: usize) -> Self {
        let own = (0..domains).flat_map(|domain| (0..size).map(move |it| peer(it, domain)));
        let router = |own: Peer| Router {
            sources: Sources::new(own.clone(), Millis::ZERO),
            own,
            roster: Roster::default(),
            lives: true,
            reaches: true,
            reached: Millis::ZERO,
            proof: None,
            source: None,
            seen: None,
        };
        let mut fleet = Self {
            routers: own.map(router).collect(),
            announced: Vec::new(),
            now: Millis::ZERO,
            looks: 0,
            pace: 1,
        };
        fleet.routers[0].sources.become_poller();
        fleet
    }

    /// What the followers announce: themselves, and all that have heard from them.
    fn announcements(&self) -> Vec<Announcement> {
        let is_announced =
            |it: &&Router| it.sources.is_poller() && it.reached.until(self.now) < LEASE;
        let followers = self.routers.iter().filter(|it| it.lives).filter(is_announced);
        let announce = |it: &Router| {
            let hears =
                |other: &&Router| other.lives && other.source.as_ref() == Some(&it.own.name);
            let hearers = self.routers.iter().filter(hears).map(|it| it.own.clone()).collect();
            Announcement { router: it.own.clone(), hearers, most: 0 }
        };
        followers.map(announce).collect()
    }

    /// Lets a step of time pass, in which each router looks once.
    fn step(&mut self) {
        self.now = self.now + STEP;
        for router in self.routers.iter_mut().filter(|it| it.reaches) {
            router.reached = self.now;
        }
        self.announced.push(self.announcements());
        let latest = self.announced.len() - 1;
        let known: Vec<_> = self
            .routers
            .iter()
            .map(|it| (it.own.name.clone(), it.lives, it.proof, it.seen))
            .collect();
        let (now, mut looks) = (self.now, 0);
        let pace = self.pace;
        let is_due =
            |(place, it): &(usize, &mut Router)| it.lives && (place + latest).is_multiple_of(pace);
        for (_, router) in self.routers.iter_mut().enumerate().filter(is_due) {
            // At its start a router reads from the store who follows it.
            if router.seen.is_none() && router.reaches {
                router.seen = Some(latest);
            }
            let announcements = router.seen.map_or(&[][..], |it| &self.announced[it]);
            let names = announcements.iter().map(|it| it.router.name.clone()).collect();
            router.roster.retain(&names);
            for announcement in announcements {
                router.roster.insert(announcement.clone());
            }
            router.sources.update_role(&mut router.roster, now);
            match router.sources.next(&mut router.roster, now) {
                Source::Store if router.reaches => {
                    looks += 1;
                    router.sources.record_store_success(now);
                    router.proof = Some(now);
                    router.source = None;
                    router.seen = Some(latest);
                }
                Source::Store => {
                    looks += 1;
                    router.sources.record_store_failure(Millis(300), &mut router.roster, now);
                }
                Source::Router(peer) => {
                    let told = known.iter().find(|it| it.0 == peer.name).filter(|it| it.1);
                    router.seen = router.seen.max(told.and_then(|it| it.3));
                    match told.and_then(|it| it.2) {
                        Some(proof) if proof.until(now) < Millis(1_800) => {
                            router.proof = router.proof.max(Some(proof));
                            router.source = Some(peer.name.clone());
                            router.sources.record_success(&peer.name);
                        }
                        Some(_) => router.sources.record_stale(&peer.name, now),
                        None if told.is_some() => {
                            router.sources.record_referral(&peer.name, Vec::new(), now)
                        }
                        None => router.sources.record_failure(&peer.name, now),
                    }
                }
                Source::Pause(_) => {}
            }
        }
        self.looks += looks;
    }

    fn run(&mut self, time: Millis) {
        for _ in 0..time.0 / STEP.0 {
            self.step();
        }
    }

    fn followers(&self, domain: usize) -> usize {
        let domain = format!("zone-{domain}");
        let follows =
            |it: &&Router| it.lives && it.sources.is_poller() && *it.own.domain == *domain;
        self.routers.iter().filter(follows).count()
    }

    /// The oldest proof of those that live.
    fn oldest(&self) -> Option<Millis> {
        let ages = self.routers.iter().filter(|it| it.lives).map(|it| it.proof);
        ages.map(|it| it.map(|at| at.until(self.now)))
            .max_by_key(|it| it.unwrap_or(Millis(u64::MAX)))?
    }
}

#[test]
fn few_routers_of_each_domain_follow_the_store_however_many_there_are() {
    for (domains, size) in [(3, 1), (3, 2), (3, 3), (3, 10), (1, 77), (1, 120)] {
        let following = if domains == 1 { FOLLOWING } else { 1 };
        let mut fleet = Fleet::new(domains, size);
        for _ in 0..120 {
            fleet.step();
            let most = (0..domains).map(|it| fleet.followers(it)).max();
            assert!(
                most.is_some_and(|it| it <= FOLLOWING.min(size)),
                "{most:?} of {size} at {}",
                fleet.now
            );
        }
        for domain in 0..domains {
            assert_eq!(fleet.followers(domain), following.min(size), "of {size}");
        }
        let oldest = fleet.oldest();
        assert!(oldest.is_some_and(|it| it <= Millis(400)), "{size}: {oldest:?}");
    }
}

#[test]
fn routers_whose_questions_wait_for_news_do_not_follow_together() {
    for (domains, size) in [(1, 30), (3, 12)] {
        let mut fleet = Fleet::new(domains, size);
        fleet.pace = 12;
        for _ in 0..200 {
            fleet.step();
            let most = (0..domains).map(|it| fleet.followers(it)).max();
            assert!(most.is_some_and(|it| it <= FOLLOWING), "{most:?} of {size} at {}", fleet.now);
        }
        assert!(fleet.oldest().is_some_and(|it| it <= Millis(4_000)), "{:?}", fleet.oldest());
    }
}

#[test]
fn the_loss_of_followers_costs_a_few_looks_of_others() {
    let mut fleet = Fleet::new(1, 77);
    fleet.run(Millis(12_000));
    for router in fleet.routers.iter_mut().filter(|it| it.sources.is_poller()) {
        router.lives = false;
    }
    fleet.looks = 0;
    let mut worst = Millis::ZERO;
    for _ in 0..50 {
        fleet.step();
        worst = worst.max(fleet.oldest().expect("a proof"));
    }
    assert!(fleet.followers(0) >= FOLLOWING);
    assert!(worst <= Millis(3_000), "a proof of {worst}");
    // Two followers look at each step; some more may begin until all know of them.
    assert!(fleet.looks <= 50 * (FOLLOWING + 3), "{} looks", fleet.looks);
    fleet.run(Millis(10_000));
    assert_eq!(fleet.followers(0), FOLLOWING);
}

#[test]
fn followers_that_the_store_turns_away_hear_from_others() {
    let mut fleet = Fleet::new(2, 20);
    fleet.run(Millis(12_000));
    let first = fleet.routers.iter_mut().find(|it| it.sources.is_poller()).expect("a follower");
    first.reaches = false;
    for _ in 0..80 {
        fleet.step();
        assert!(fleet.oldest().is_some_and(|it| it <= Millis(2_500)), "{:?}", fleet.oldest());
    }
}

#[test]
fn a_store_that_answers_nobody_is_asked_about_once_a_second_by_those_that_do_not_follow() {
    let mut fleet = Fleet::new(1, 77);
    fleet.run(Millis(12_000));
    fleet.routers.iter_mut().for_each(|it| it.reaches = false);
    fleet.run(Millis(3_000));
    fleet.looks = 0;
    fleet.run(Millis(20_000));
    // Two followers each 300 ms, and one other each second.
    let expected = FOLLOWING * 20_000 / 300 + 20;
    assert!(fleet.looks <= expected + expected / 10, "{} looks", fleet.looks);
    fleet.routers.iter_mut().for_each(|it| it.reaches = true);
    fleet.run(Millis(1_500));
    assert!(fleet.oldest().is_some_and(|it| it <= Millis(1_500)), "{:?}", fleet.oldest());
}

#[test]
fn a_fleet_in_which_all_follow_comes_down_to_few_and_all_hear_of_the_store() {
    for (domains, size) in [(3, 10), (1, 30), (5, 20)] {
        let mut fleet = Fleet::new(domains, size);
        for router in &mut fleet.routers {
            router.sources.become_poller();
        }
        fleet.run(Millis(6_000));
        for _ in 0..150 {
            fleet.step();
            let oldest = fleet.oldest();
            assert!(oldest.is_some_and(|it| it <= Millis(2_500)), "{oldest:?} at {}", fleet.now);
        }
        let most = (0..domains).map(|it| fleet.followers(it)).max();
        assert!(most.is_some_and(|it| it <= FOLLOWING), "{most:?} of {size}");
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    CutFromStore(usize),
    Mend,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..24_usize).prop_map(Fault::Kill),
        (0..24_usize).prop_map(Fault::CutFromStore),
        Just(Fault::Mend),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn whoever_lives_comes_to_know_the_newest_whatever_happens_to_others(
        faults in prop::collection::vec((fault(), 1_u64..40), 1..12),
    ) {
        let mut fleet = Fleet::new(2, 12);
        fleet.run(Millis(8_000));
        for (fault, steps) in faults {
            match fault {
                Fault::Kill(it) => fleet.routers[it].lives = false,
                Fault::CutFromStore(it) => fleet.routers[it].reaches = false,
                Fault::Mend => fleet.routers.iter_mut().for_each(|it| it.reaches = true),
            }
            for _ in 0..steps {
                fleet.step();
            }
        }
        // One that lives and reaches the store is enough for all.
        if fleet.routers.iter().any(|it| it.lives && it.reaches) {
            let lives = fleet.routers.iter().filter(|it| it.lives).count();
            fleet.run(Millis(4_000 + 1_000 * lives as u64));
            let oldest = fleet.oldest();
            prop_assert!(oldest.is_some_and(|it| it <= Millis(2_500)), "{:?}", oldest);
        }
    }
}

#[test]
fn whoever_lives_comes_to_know_the_newest_where_followers_are_cut_off_from_the_store() {
    use Fault::{CutFromStore, Kill};
    let kills = [(Kill(7), 1), (Kill(9), 1), (Kill(5), 2), (Kill(1), 37)];
    let cuts = [(CutFromStore(8), 30), (CutFromStore(16), 26), (CutFromStore(0), 28)];
    let mut fleet = Fleet::new(2, 12);
    fleet.run(Millis(8_000));
    for (fault, steps) in kills.into_iter().chain(cuts) {
        match fault {
            Kill(it) => fleet.routers[it].lives = false,
            CutFromStore(it) => fleet.routers[it].reaches = false,
            Fault::Mend => {}
        }
        for _ in 0..steps {
            fleet.step();
        }
    }
    let lives = fleet.routers.iter().filter(|it| it.lives).count();
    fleet.run(Millis(4_000 + 1_000 * lives as u64));
    let oldest = fleet.oldest();
    assert!(oldest.is_some_and(|it| it <= Millis(2_500)), "{oldest:?}");
}

/// A router of a domain without followers that hears from one far away, and its roster.
fn away(number: usize) -> (Sources, Roster) {
    let mut sources = Sources::new(peer(number, 1), Millis::ZERO);
    let mut roster = Roster::default();
    let (far, relay) = (peer(0, 0), peer(1, 0));
    roster.insert(announces(&far));
    sources.record_referral(&far.name, vec![relay.clone()], Millis::ZERO);
    assert_eq!(sources.next(&mut roster, Millis::ZERO), Source::Router(relay.clone()));
    sources.record_success(&relay.name);
    (sources, roster)
}

fn announces(router: &Peer) -> Announcement {
    Announcement { router: router.clone(), hearers: Vec::new(), most: 0 }
}

#[test]
fn routers_that_hear_from_far_go_home_once_one_follows_there_but_not_all_at_once() {
    let home = peer(100, 1);
    let mut homecomers = vec![0; 100];
    for number in 0..60 {
        let (mut sources, mut roster) = away(number);
        roster.insert(announces(&home));
        let asks_home = |step: &usize| {
            let now = Millis(100 * *step as u64);
            let next = sources.next(&mut roster, now);
            if let Source::Router(it) = &next {
                sources.record_success(&it.name);
            }
            next == Source::Router(home.clone())
        };
        let came = (1..homecomers.len()).find(asks_home).expect("it goes home");
        homecomers[came] += 1;
    }
    let most = homecomers.windows(10).map(|it| it.iter().sum::<usize>()).max();
    assert!(most.is_some_and(|it| it <= 30), "{homecomers:?}");
}

#[test]
fn a_router_that_has_nobody_else_asks_the_follower_of_its_domain_at_once() {
    let home = peer(100, 1);
    let (mut sources, mut roster) = away(1);
    roster.insert(announces(&home));
    sources.record_failure(&peer(0, 0).name, Millis(100));
    sources.record_failure(&peer(1, 0).name, Millis(100));
    assert_eq!(sources.next(&mut roster, Millis(200)), Source::Router(home));
}

#[test]
fn routers_that_hear_from_this_one_are_asked_last() {
    let mut sources = Sources::new(peer(1, 0), Millis::ZERO);
    let mut roster = Roster::default();
    let (hears, other) = (peer(2, 0), peer(3, 1));
    roster.insert(announces(&hears));
    roster.insert(announces(&other));
    sources.set_subscribers([hears.name.clone()].into());
    assert_eq!(sources.next(&mut roster, Millis(100)), Source::Router(other.clone()));
    sources.record_failure(&other.name, Millis(200));
    assert_eq!(sources.next(&mut roster, Millis(300)), Source::Router(hears));
}
