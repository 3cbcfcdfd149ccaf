//! Which routers poll the store, and which routers the others query.

use std::sync::Arc;

use clock::Millis;
use edge::{Announcement, Peer};
use fleet::{Roster, Source, Sources};
use proptest::prelude::*;

const STEP: Millis = Millis(100);

/// How long an announcement lasts without renewal.
const LEASE_TTL: Millis = Millis(20_000);

/// The pollers of a single domain; with several, each has one.
const POLLERS: usize = 2;

fn peer(number: usize, domain: usize) -> Peer {
    let [low, high] = [domain, number].map(|number| u8::try_from(number).expect("a small fleet"));
    Peer {
        name: format!("front-{domain}-{number}").into(),
        hints: Some(([10, 0, low, high], 9).into()),
        domain: format!("zone-{domain}").into(),
        strength: 5,
    }
}

struct Router {
    own: Peer,
    sources: Sources,
    roster: Roster,
    is_up: bool,
    /// Whether the store answers it.
    reaches_store: bool,
    /// When the store last answered it.
    reached_store_at: Millis,
    /// The time of its last confirmation.
    confirmed_at: Option<Millis>,
    source: Option<Arc<str>>,
    /// The step whose announcements it knows.
    known_step: Option<usize>,
}

/// A fleet whose calls take no time. Routers read the announcements with each poll of the store;
/// an answer of another router includes those that it knows.
struct Fleet {
    routers: Vec<Router>,
    /// What was announced at each step.
    announced: Vec<Vec<Announcement>>,
    now: Millis,
    /// How many polls of the store there were.
    polls: usize,
    /// How many steps each read takes.
    read_steps: usize,
}

impl Fleet {
    fn new(domains: usize, size: usize) -> Self {
        let own = (0..domains).flat_map(|domain| (0..size).map(move |number| peer(number, domain)));
        let router = |own: Peer| Router {
            sources: Sources::new(own.clone(), Millis::ZERO),
            own,
            roster: Roster::default(),
            is_up: true,
            reaches_store: true,
            reached_store_at: Millis::ZERO,
            confirmed_at: None,
            source: None,
            known_step: None,
        };
        let mut fleet = Self {
            routers: own.map(router).collect(),
            announced: Vec::new(),
            now: Millis::ZERO,
            polls: 0,
            read_steps: 1,
        };
        fleet.routers[0].sources.become_poller();
        fleet
    }

    /// The announcements of all pollers, with their subscribers.
    fn announcements(&self) -> Vec<Announcement> {
        let is_announced = |router: &&Router| {
            router.sources.is_poller() && router.reached_store_at.until(self.now) < LEASE_TTL
        };
        let pollers = self.routers.iter().filter(|router| router.is_up).filter(is_announced);
        let announce = |poller: &Router| {
            let is_subscriber =
                |other: &&Router| other.is_up && other.source.as_ref() == Some(&poller.own.name);
            let hearers = self
                .routers
                .iter()
                .filter(is_subscriber)
                .map(|router| router.own.clone())
                .collect();
            Announcement { router: poller.own.clone(), hearers, most: 0 }
        };
        pollers.map(announce).collect()
    }

    /// Advances the time by a step, in which each router reads once if it is due.
    fn step(&mut self) {
        self.now = self.now + STEP;
        for router in self.routers.iter_mut().filter(|router| router.reaches_store) {
            router.reached_store_at = self.now;
        }
        self.announced.push(self.announcements());
        let latest = self.announced.len() - 1;
        let known: Vec<_> = self
            .routers
            .iter()
            .map(|router| {
                (router.own.name.clone(), router.is_up, router.confirmed_at, router.known_step)
            })
            .collect();
        let (now, mut polls) = (self.now, 0);
        let read_steps = self.read_steps;
        let is_due = |(index, router): &(usize, &mut Router)| {
            router.is_up && (index + latest).is_multiple_of(read_steps)
        };
        for (_, router) in self.routers.iter_mut().enumerate().filter(is_due) {
            // A starting router reads the announcements from the store.
            if router.known_step.is_none() && router.reaches_store {
                router.known_step = Some(latest);
            }
            let announcements = router.known_step.map_or(&[][..], |step| &self.announced[step]);
            let names =
                announcements.iter().map(|announcement| announcement.router.name.clone()).collect();
            router.roster.retain(&names);
            for announcement in announcements {
                router.roster.insert(announcement.clone());
            }
            router.sources.update_role(&mut router.roster, now);
            match router.sources.next(&mut router.roster, now) {
                Source::Store if router.reaches_store => {
                    polls += 1;
                    router.sources.record_store_success(now);
                    router.confirmed_at = Some(now);
                    router.source = None;
                    router.known_step = Some(latest);
                }
                Source::Store => {
                    polls += 1;
                    router.sources.record_store_failure(Millis(300), &mut router.roster, now);
                }
                Source::Router(peer) => {
                    let answer =
                        known.iter().find(|known| known.0 == peer.name).filter(|known| known.1);
                    router.known_step = router.known_step.max(answer.and_then(|known| known.3));
                    match answer.and_then(|known| known.2) {
                        Some(confirmed_at) if confirmed_at.until(now) < Millis(1_800) => {
                            router.confirmed_at = router.confirmed_at.max(Some(confirmed_at));
                            router.source = Some(peer.name.clone());
                            router.sources.record_success(&peer.name);
                        }
                        Some(_) => router.sources.record_stale(&peer.name, now),
                        None if answer.is_some() => {
                            router.sources.record_referral(&peer.name, Vec::new(), now);
                        }
                        None => router.sources.record_failure(&peer.name, now),
                    }
                }
                Source::Pause(_) => {}
            }
        }
        self.polls += polls;
    }

    fn run(&mut self, time: Millis) {
        for _ in 0..time.0 / STEP.0 {
            self.step();
        }
    }

    fn pollers(&self, domain: usize) -> usize {
        let domain = format!("zone-{domain}");
        let is_poller = |router: &&Router| {
            router.is_up && router.sources.is_poller() && *router.own.domain == *domain
        };
        self.routers.iter().filter(is_poller).count()
    }

    /// The largest age of the confirmations of running routers.
    fn max_age(&self) -> Option<Millis> {
        let times =
            self.routers.iter().filter(|router| router.is_up).map(|router| router.confirmed_at);
        times
            .map(|at| at.map(|at| at.until(self.now)))
            .max_by_key(|age| age.unwrap_or(Millis(u64::MAX)))?
    }
}

#[test]
fn each_domain_has_few_pollers_for_any_number_of_routers() {
    for (domains, size) in [(3, 1), (3, 2), (3, 3), (3, 10), (1, 77), (1, 120)] {
        let expected = if domains == 1 { POLLERS } else { 1 };
        let mut fleet = Fleet::new(domains, size);
        for _ in 0..120 {
            fleet.step();
            let most = (0..domains).map(|domain| fleet.pollers(domain)).max();
            assert!(
                most.is_some_and(|count| count <= POLLERS.min(size)),
                "{most:?} of {size} at {}",
                fleet.now
            );
        }
        for domain in 0..domains {
            assert_eq!(fleet.pollers(domain), expected.min(size), "of {size}");
        }
        let max_age = fleet.max_age();
        assert!(max_age.is_some_and(|age| age <= Millis(400)), "{size}: {max_age:?}");
    }
}

#[test]
fn routers_do_not_become_pollers_together_while_queries_wait() {
    for (domains, size) in [(1, 30), (3, 12)] {
        let mut fleet = Fleet::new(domains, size);
        fleet.read_steps = 12;
        for _ in 0..200 {
            fleet.step();
            let most = (0..domains).map(|domain| fleet.pollers(domain)).max();
            assert!(
                most.is_some_and(|count| count <= POLLERS),
                "{most:?} of {size} at {}",
                fleet.now
            );
        }
        assert!(fleet.max_age().is_some_and(|age| age <= Millis(4_000)), "{:?}", fleet.max_age());
    }
}

#[test]
fn the_loss_of_all_pollers_costs_few_polls_of_others() {
    let mut fleet = Fleet::new(1, 77);
    fleet.run(Millis(12_000));
    for router in fleet.routers.iter_mut().filter(|router| router.sources.is_poller()) {
        router.is_up = false;
    }
    fleet.polls = 0;
    let mut max_age = Millis::ZERO;
    for _ in 0..50 {
        fleet.step();
        max_age = max_age.max(fleet.max_age().expect("a confirmation"));
    }
    assert!(fleet.pollers(0) >= POLLERS);
    assert!(max_age <= Millis(3_000), "a confirmation of {max_age}");
    // Pollers poll at each step; more may begin until all routers know them.
    assert!(fleet.polls <= 50 * (POLLERS + 3), "{} polls", fleet.polls);
    fleet.run(Millis(10_000));
    assert_eq!(fleet.pollers(0), POLLERS);
}

#[test]
fn a_poller_without_access_to_the_store_reads_from_other_routers() {
    let mut fleet = Fleet::new(2, 20);
    fleet.run(Millis(12_000));
    let first =
        fleet.routers.iter_mut().find(|router| router.sources.is_poller()).expect("a poller");
    first.reaches_store = false;
    for _ in 0..80 {
        fleet.step();
        assert!(fleet.max_age().is_some_and(|age| age <= Millis(2_500)), "{:?}", fleet.max_age());
    }
}

#[test]
fn an_unavailable_store_gets_one_poll_a_second_from_other_routers_than_pollers() {
    let mut fleet = Fleet::new(1, 77);
    fleet.run(Millis(12_000));
    fleet.routers.iter_mut().for_each(|router| router.reaches_store = false);
    fleet.run(Millis(3_000));
    fleet.polls = 0;
    fleet.run(Millis(20_000));
    // Each poller polls every 300 ms, and one other router every second.
    let expected = POLLERS * 20_000 / 300 + 20;
    assert!(fleet.polls <= expected + expected / 10, "{} polls", fleet.polls);
    fleet.routers.iter_mut().for_each(|router| router.reaches_store = true);
    fleet.run(Millis(1_500));
    assert!(fleet.max_age().is_some_and(|age| age <= Millis(1_500)), "{:?}", fleet.max_age());
}

#[test]
fn surplus_pollers_step_down_and_read_from_the_others() {
    for (domains, size) in [(3, 10), (1, 30), (5, 20)] {
        let mut fleet = Fleet::new(domains, size);
        for router in &mut fleet.routers {
            router.sources.become_poller();
        }
        fleet.run(Millis(6_000));
        for _ in 0..150 {
            fleet.step();
            let max_age = fleet.max_age();
            assert!(
                max_age.is_some_and(|age| age <= Millis(2_500)),
                "{max_age:?} at {}",
                fleet.now
            );
        }
        let most = (0..domains).map(|domain| fleet.pollers(domain)).max();
        assert!(most.is_some_and(|count| count <= POLLERS), "{most:?} of {size}");
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
    fn running_routers_stay_current_under_random_faults(
        faults in prop::collection::vec((fault(), 1_u64..40), 1..12),
    ) {
        let mut fleet = Fleet::new(2, 12);
        fleet.run(Millis(8_000));
        for (fault, steps) in faults {
            match fault {
                Fault::Kill(index) => fleet.routers[index].is_up = false,
                Fault::CutFromStore(index) => fleet.routers[index].reaches_store = false,
                Fault::Mend => fleet.routers.iter_mut().for_each(|router| router.reaches_store = true),
            }
            for _ in 0..steps {
                fleet.step();
            }
        }
        // One running router with access to the store is enough for all.
        if fleet.routers.iter().any(|router| router.is_up && router.reaches_store) {
            let running = fleet.routers.iter().filter(|router| router.is_up).count();
            fleet.run(Millis(4_000 + 1_000 * running as u64));
            let max_age = fleet.max_age();
            prop_assert!(max_age.is_some_and(|age| age <= Millis(2_500)), "{:?}", max_age);
        }
    }
}

#[test]
fn running_routers_stay_current_if_pollers_lose_access_to_the_store() {
    use Fault::{CutFromStore, Kill};
    let kills = [(Kill(7), 1), (Kill(9), 1), (Kill(5), 2), (Kill(1), 37)];
    let cuts = [(CutFromStore(8), 30), (CutFromStore(16), 26), (CutFromStore(0), 28)];
    let mut fleet = Fleet::new(2, 12);
    fleet.run(Millis(8_000));
    for (fault, steps) in kills.into_iter().chain(cuts) {
        match fault {
            Kill(index) => fleet.routers[index].is_up = false,
            CutFromStore(index) => fleet.routers[index].reaches_store = false,
            Fault::Mend => {}
        }
        for _ in 0..steps {
            fleet.step();
        }
    }
    let running = fleet.routers.iter().filter(|router| router.is_up).count();
    fleet.run(Millis(4_000 + 1_000 * running as u64));
    let max_age = fleet.max_age();
    assert!(max_age.is_some_and(|age| age <= Millis(2_500)), "{max_age:?}");
}

/// A router of a domain without pollers that reads from another domain, and its roster.
fn remote_reader(number: usize) -> (Sources, Roster) {
    let mut sources = Sources::new(peer(number, 1), Millis::ZERO);
    let mut roster = Roster::default();
    let (poller, relay) = (peer(0, 0), peer(1, 0));
    roster.insert(announcement(&poller));
    sources.record_referral(&poller.name, vec![relay.clone()], Millis::ZERO);
    assert_eq!(sources.next(&mut roster, Millis::ZERO), Source::Router(relay.clone()));
    sources.record_success(&relay.name);
    (sources, roster)
}

fn announcement(router: &Peer) -> Announcement {
    Announcement { router: router.clone(), hearers: Vec::new(), most: 0 }
}

#[test]
fn routers_return_to_a_new_poller_of_their_domain_spread_over_time() {
    let local = peer(100, 1);
    let mut returns = vec![0; 100];
    for number in 0..60 {
        let (mut sources, mut roster) = remote_reader(number);
        roster.insert(announcement(&local));
        let reads_locally = |step: &usize| {
            let now = Millis(100 * *step as u64);
            let next = sources.next(&mut roster, now);
            if let Source::Router(peer) = &next {
                sources.record_success(&peer.name);
            }
            next == Source::Router(local.clone())
        };
        let step = (1..returns.len()).find(reads_locally).expect("it returns");
        returns[step] += 1;
    }
    let most = returns.windows(10).map(|window| window.iter().sum::<usize>()).max();
    assert!(most.is_some_and(|count| count <= 30), "{returns:?}");
}

#[test]
fn a_router_without_a_source_reads_from_a_poller_of_its_domain_at_once() {
    let local = peer(100, 1);
    let (mut sources, mut roster) = remote_reader(1);
    roster.insert(announcement(&local));
    sources.record_failure(&peer(0, 0).name, Millis(100));
    sources.record_failure(&peer(1, 0).name, Millis(100));
    assert_eq!(sources.next(&mut roster, Millis(200)), Source::Router(local));
}

#[test]
fn subscribers_are_queried_last() {
    let mut sources = Sources::new(peer(1, 0), Millis::ZERO);
    let mut roster = Roster::default();
    let (subscriber, other) = (peer(2, 0), peer(3, 1));
    roster.insert(announcement(&subscriber));
    roster.insert(announcement(&other));
    sources.set_subscribers([subscriber.name.clone()].into());
    assert_eq!(sources.next(&mut roster, Millis(100)), Source::Router(other.clone()));
    sources.record_failure(&other.name, Millis(200));
    assert_eq!(sources.next(&mut roster, Millis(300)), Source::Router(subscriber));
}
