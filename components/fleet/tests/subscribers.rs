//! The direct and indirect subscribers of routers.

use clock::Millis;
use edge::Peer;
use fleet::{ANSWER_TIMEOUT, Freshness, Subscribers};

/// The time between two queries of a router.
const STEP: Millis = Millis(100);

fn peer(number: u8) -> Peer {
    Peer {
        name: format!("front-{number}").into(),
        hints: Some(([10, 0, 0, number], 9).into()),
        domain: "zone-a".into(),
        strength: 5,
    }
}

/// Routers that query each other.
struct Fleet {
    routers: Vec<(Peer, Subscribers)>,
    now: Millis,
    /// The largest number of routers that one query listed.
    max_listed: usize,
}

impl Fleet {
    fn new(size: u8) -> Self {
        let router = |own: Peer| (own.clone(), Subscribers::new(own.name));
        Self {
            routers: (0..size).map(peer).map(router).collect(),
            now: Millis::ZERO,
            max_listed: 0,
        }
    }

    /// Sends one query for each pair of a router and its source.
    fn query(&mut self, pairs: &[(usize, usize)]) {
        self.now = self.now + STEP;
        for (querier, source) in pairs {
            let (own, subscribers) = &mut self.routers[*querier];
            subscribers.expire(self.now);
            let mut listed = subscribers.all();
            listed.insert(0, own.clone());
            self.max_listed = self.max_listed.max(listed.len());
            self.routers[*source].1.register(listed, self.now);
        }
    }

    fn is_subscribed(&self, router: usize, source: usize) -> bool {
        let name = &self.routers[router].0.name;
        self.routers[source].1.all().iter().any(|subscriber| subscriber.name == *name)
    }
}

#[test]
fn lists_each_router_of_a_cycle_once() {
    let mut fleet = Fleet::new(5);
    for step in 0..16 {
        // The sources change, as they do while no router has anything new.
        let pairs: Vec<_> = (0..5).map(|router| (router, (router + 1 + step % 4) % 5)).collect();
        fleet.query(&pairs);
        assert!(
            fleet.max_listed <= 5,
            "{} names of 5 routers after {step} steps",
            fleet.max_listed
        );
    }
}

#[test]
fn stopped_subscribers_expire_even_in_a_cycle() {
    let mut fleet = Fleet::new(4);
    for _ in 0..10 {
        fleet.query(&[(3, 1), (0, 1), (1, 2), (2, 0)]);
    }
    assert!(fleet.is_subscribed(3, 1));
    for _ in 0..80 {
        fleet.query(&[(0, 1), (1, 2), (2, 0)]);
    }
    for router in 0..3 {
        assert!(!fleet.is_subscribed(3, router), "{router} still names it");
    }
}

#[test]
fn lists_indirect_subscribers() {
    let mut fleet = Fleet::new(6);
    for _ in 0..5 {
        fleet.query(&[(5, 4), (4, 2), (3, 1), (2, 0), (1, 0)]);
    }
    for router in 1..6 {
        assert!(fleet.is_subscribed(router, 0), "{router} is missing");
    }
    assert!(!fleet.is_subscribed(0, 0));
}

#[test]
fn limits_the_routers_listed_by_one_query() {
    let mut subscribers = Subscribers::new("front".into());
    assert!(subscribers.register(vec![peer(1); 100_000], Millis(1)));
    let distinct = |number: usize| Peer { name: format!("other-{number}").into(), ..peer(2) };
    assert!(subscribers.register((0..100_000).map(distinct).collect(), Millis(1)));
    assert!(subscribers.all().len() <= 2_000, "{} routers", subscribers.all().len());
}

#[test]
fn answers_a_referred_router_once_if_it_returns_and_uses_it_as_a_relay() {
    let mut subscribers = Subscribers::new("front".into());
    for number in 0..24 {
        assert!(subscribers.register(vec![peer(number)], Millis(1)));
    }
    assert!(!subscribers.register(vec![peer(30)], Millis(1)));
    assert!(subscribers.register(vec![peer(30)], Millis(900)));
    assert!(subscribers.relays().any(|relay| *relay == peer(30)));
    assert!(!subscribers.register(vec![peer(30)], Millis(1_000)));
    let mut answered = 0;
    for number in 40..140 {
        subscribers.register(vec![peer(number)], Millis(1_000));
        answered += usize::from(subscribers.register(vec![peer(number)], Millis(1_100)));
    }
    assert!(answered <= 24, "{answered} at a time");
}

#[test]
fn a_router_stays_a_subscriber_while_its_longest_query_waits() {
    let validity = [1_000, 2_000, 3_900, 60_000].map(Millis);
    let ages = || (0..5_000).step_by(50).map(|age| Some(Millis(age))).chain([None]);
    let left = [None, Some(Millis(0)), Some(Millis(60_000))];
    for validity in validity {
        let freshness = Freshness::new(validity);
        for (age, left) in ages().flat_map(|age| left.map(|left| (age, left))) {
            let answered_at = freshness.wait(age, left) + ANSWER_TIMEOUT;
            let mut subscribers = Subscribers::new("front".into());
            assert!(subscribers.register(vec![peer(1)], Millis::ZERO));
            subscribers.expire(answered_at + STEP);
            assert_eq!(subscribers.all(), [peer(1)], "{age:?}, {left:?}");
        }
    }
}
