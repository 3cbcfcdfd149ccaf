//! Who hears from a router, also by way of others.

use clock::Millis;
use edge::Peer;
use fleet::Subscribers;

/// How long a router waits until it asks again.
const STEP: Millis = Millis(100);

fn peer(number: u8) -> Peer {
    Peer {
        name: format!("front-{number}").into(),
        hints: Some(([10, 0, 0, number], 9).into()),
        domain: "zone-a".into(),
        strength: 5,
    }
}

/// Routers that ask each other.
struct Fleet {
    routers: Vec<(Peer, Subscribers)>,
    now: Millis,
    /// The most names of one question.
    most: usize,
}

impl Fleet {
    fn new(size: u8) -> Self {
        let router = |it: Peer| (it.clone(), Subscribers::new(it.name));
        Self { routers: (0..size).map(peer).map(router).collect(), now: Millis::ZERO, most: 0 }
    }

    /// Each pair is one that asks and one that is asked.
    fn ask(&mut self, pairs: &[(usize, usize)]) {
        self.now = self.now + STEP;
        for (asks, asked) in pairs {
            let (own, hearers) = &mut self.routers[*asks];
            hearers.expire(self.now);
            let mut named = hearers.all();
            named.insert(0, own.clone());
            self.most = self.most.max(named.len());
            self.routers[*asked].1.register(named, self.now);
        }
    }

    fn hears(&self, router: usize, from: usize) -> bool {
        let name = &self.routers[router].0.name;
        self.routers[from].1.all().iter().any(|it| it.name == *name)
    }
}

#[test]
fn routers_that_hear_from_each_other_in_circles_are_named_once_each() {
    let mut fleet = Fleet::new(5);
    for step in 0..16 {
        // Whom one asks changes, as where nobody knows anything new.
        let pairs: Vec<_> = (0..5).map(|it| (it, (it + 1 + step % 4) % 5)).collect();
        fleet.ask(&pairs);
        assert!(fleet.most <= 5, "{} names of 5 routers after {step} steps", fleet.most);
    }
}

#[test]
fn a_router_that_has_ended_is_forgotten_also_in_a_circle() {
    let mut fleet = Fleet::new(4);
    for _ in 0..10 {
        fleet.ask(&[(3, 1), (0, 1), (1, 2), (2, 0)]);
    }
    assert!(fleet.hears(3, 1));
    for _ in 0..80 {
        fleet.ask(&[(0, 1), (1, 2), (2, 0)]);
    }
    for router in 0..3 {
        assert!(!fleet.hears(3, router), "{router} still names it");
    }
}

#[test]
fn those_that_hear_by_way_of_others_are_named_at_the_top() {
    let mut fleet = Fleet::new(6);
    for _ in 0..5 {
        fleet.ask(&[(5, 4), (4, 2), (3, 1), (2, 0), (1, 0)]);
    }
    for router in 1..6 {
        assert!(fleet.hears(router, 0), "{router} is missing");
    }
    assert!(!fleet.hears(0, 0));
}

#[test]
fn a_question_that_names_very_many_routers_takes_little_room() {
    let mut hearers = Subscribers::new("front".into());
    assert!(hearers.register(vec![peer(1); 100_000], Millis(1)));
    let distinct = |it: usize| Peer { name: format!("other-{it}").into(), ..peer(2) };
    assert!(hearers.register((0..100_000).map(distinct).collect(), Millis(1)));
    assert!(hearers.all().len() <= 2_000, "{} routers", hearers.all().len());
}

#[test]
fn a_router_that_comes_back_from_a_referral_is_answered_once_and_others_are_referred_to_it() {
    let mut hearers = Subscribers::new("front".into());
    for number in 0..24 {
        assert!(hearers.register(vec![peer(number)], Millis(1)));
    }
    assert!(!hearers.register(vec![peer(30)], Millis(1)));
    assert!(hearers.register(vec![peer(30)], Millis(900)));
    assert!(hearers.relays().any(|it| *it == peer(30)));
    assert!(!hearers.register(vec![peer(30)], Millis(1_000)));
    let mut answered = 0;
    for number in 40..140 {
        hearers.register(vec![peer(number)], Millis(1_000));
        answered += usize::from(hearers.register(vec![peer(number)], Millis(1_100)));
    }
    assert!(answered <= 24, "{answered} at a time");
}
