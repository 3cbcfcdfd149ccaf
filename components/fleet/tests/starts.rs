//! Routers that all start at once: how long until each has heard what the store holds.

use clock::Millis;
use edge::{Announcement, Peer};
use fleet::{Roster, Source, Sources, Subscribers};

/// How long a step of the tests takes.
const STEP: Millis = Millis(100);

/// How many steps a question waits for news.
const WAIT: usize = 3;

/// How many steps pass until a router that says nothing counts as failed.
const SILENCE: usize = 7;

/// The oldest proof that is new enough.
const OLD: Millis = Millis(1_800);

fn peer(number: usize, domain: usize) -> Peer {
    let [low, high] = [domain, number].map(|it| u8::try_from(it).expect("a small fleet"));
    Peer {
        name: format!("front-{domain}-{number}").into(),
        hints: Some(([10, 0, low, high], 9).into()),
        domain: format!("zone-{domain}").into(),
        strength: 5,
    }
}

/// A question that is under way.
struct Question {
    asked: usize,
    began: usize,
}

struct Router {
    own: Peer,
    sources: Sources,
    roster: Roster,
    /// What it knows of the store.
    known: Vec<Announcement>,
    hearers: Subscribers,
    starts: usize,
    /// Until when it is too busy to answer.
    busy_until: usize,
    met: bool,
    proof: Option<Millis>,
    heard: Option<usize>,
    question: Option<Question>,
    /// How many routers it told everything.
    told: usize,
}

struct Fleet {
    routers: Vec<Router>,
    /// What stands in the store.
    announced: Vec<Announcement>,
    store_from: usize,
    step: usize,
    /// Looks at the store, and readings of who follows.
    calls: usize,
}

impl Fleet {
    /// `before` routers of each domain followed in an earlier life.
    fn new(domains: usize, size: usize, before: usize) -> Self {
        let router = |own: Peer| Router {
            sources: Sources::new(own.clone(), Millis::ZERO),
            hearers: Subscribers::new(own.name.clone()),
            roster: Roster::default(),
            known: Vec::new(),
            starts: 0,
            busy_until: 0,
            met: false,
            proof: None,
            heard: None,
            question: None,
            told: 0,
            own,
        };
        let all = (0..domains).flat_map(|domain| (0..size).map(move |it| peer(it, domain)));
        let followed = (0..domains).flat_map(|domain| (0..before).map(move |it| (it, domain)));
        let announce = |(it, domain)| {
            let hearers = (before..size).map(|it| peer(it, domain)).collect();
            Announcement { router: peer(it, domain), hearers, most: 0 }
        };
        Self {
            routers: all.map(router).collect(),
            announced: followed.map(announce).collect(),
            store_from: 0,
            step: 0,
            calls: 0,
        }
    }

    fn now(&self) -> Millis {
        Millis(STEP.0 * self.step as u64)
    }

    fn place(&self, name: &str) -> Option<usize> {
        self.routers.iter().position(|it| *it.own.name == *name)
    }

    fn pass(&mut self) {
        self.step += 1;
        for place in 0..self.routers.len() {
            if self.step < self.routers[place].starts {
                continue;
            }
            if self.routers[place].question.is_some() {
                self.wait(place);
            } else if self.routers[place].met {
                self.look(place);
            } else {
                self.meet(place);
            }
        }
        let follows = |it: &&Router| it.met && it.sources.is_poller() && it.proof.is_some();
        for router in self.routers.iter().filter(follows) {
            let announcement =
                Announcement { router: router.own.clone(), hearers: router.hearers.all(), most: 0 };
            self.announced.retain(|it| it.router.name != router.own.name);
            self.announced.push(announcement);
        }
    }

    /// Reads at its start who follows.
    fn meet(&mut self, place: usize) {
        self.calls += 1;
        let router = &mut self.routers[place];
        if self.step < self.store_from {
            router.starts = self.step + 3;
            return;
        }
        router.met = true;
        for announcement in &self.announced {
            router.roster.insert(announcement.clone());
        }
        if self.announced.is_empty() || router.roster.is_announced(&router.own.name) {
            router.sources.become_poller();
        }
    }

    fn look(&mut self, place: usize) {
        let now = self.now();
        let up = self.step >= self.store_from;
        let announced = self.announced.clone();
        let router = &mut self.routers[place];
        router.sources.update_role(&mut router.roster, now);
        match router.sources.next(&mut router.roster, now) {
            Source::Store if up => {
                self.calls += 1;
                router.sources.record_store_success(now);
                learn(router, &announced, now, self.step);
                // The next look is due in a second.
                router.starts = self.step + 10;
            }
            Source::Store => {
                self.calls += 1;
                router.sources.record_store_failure(Millis(300), &mut router.roster, now);
            }
            Source::Router(peer) => self.ask(place, &peer),
            Source::Pause(pause) => {
                router.starts =
                    self.step + usize::try_from(pause.0 / STEP.0).expect("a short pause");
            }
        }
    }

    fn ask(&mut self, place: usize, peer: &Peer) {
        let now = self.now();
        let asked = self.place(&peer.name).expect("a known router");
        if !self.routers[asked].met && self.step < self.routers[asked].starts {
            return self.routers[place].sources.record_failure(&peer.name, now);
        }
        let mut named = self.routers[place].hearers.all();
        named.insert(0, self.routers[place].own.clone());
        if self.routers[asked].hearers.register(named, now) {
            self.routers[place].question = Some(Question { asked, began: self.step });
            return self.wait(place);
        }
        let others = self.routers[asked].hearers.relays().cloned().collect();
        self.routers[place].sources.record_referral(&peer.name, others, now);
    }

    /// Takes the answer to a question, if there is one by now.
    fn wait(&mut self, place: usize) {
        let now = self.now();
        let Some(question) = self.routers[place].question.take() else { return };
        let asked = &mut self.routers[question.asked];
        let name = asked.own.name.clone();
        if self.step < asked.busy_until {
            if self.step >= question.began + SILENCE {
                self.routers[place].sources.record_failure(&name, now);
            } else {
                self.routers[place].question = Some(question);
            }
            return;
        }
        let (proof, announced) = (asked.proof, asked.known.clone());
        let known = self.routers[place].proof;
        let is_news = proof.is_some_and(|it| known.is_none_or(|known| it > known + Millis(200)));
        let Some(proof) = proof.filter(|_| is_news) else {
            if self.step >= question.began + if known.is_some() { 12 } else { WAIT } {
                self.routers[place].sources.record_referral(&name, Vec::new(), now);
            } else {
                self.routers[place].question = Some(question);
            }
            return;
        };
        if known.is_none() {
            self.routers[question.asked].told += 1;
        }
        let step = self.step;
        let router = &mut self.routers[place];
        learn(router, &announced, proof, step);
        if proof.until(now) < OLD {
            router.sources.record_success(&name);
        } else {
            router.sources.record_stale(&name, now);
        }
    }

    /// The steps by which all, and 95 in 100, have heard, within `most` steps.
    fn heard(&mut self, most: usize) -> (Option<usize>, Option<usize>) {
        for _ in 0..most {
            self.pass();
        }
        let mut heard: Vec<_> = self.routers.iter().map(|it| it.heard).collect();
        heard.sort_by_key(|it| it.unwrap_or(usize::MAX));
        (heard[heard.len() - 1], heard[heard.len() * 95 / 100 - 1])
    }

    fn most_told(&self) -> usize {
        self.routers.iter().map(|it| it.told).max().unwrap_or_default()
    }
}

fn learn(router: &mut Router, announced: &[Announcement], proof: Millis, step: usize) {
    for announcement in announced {
        router.roster.insert(announcement.clone());
    }
    router.known = announced.to_vec();
    router.proof = router.proof.max(Some(proof));
    router.heard.get_or_insert(step);
}

#[test]
fn routers_that_all_start_at_once_hear_within_a_second_from_those_that_followed() {
    for (domains, size, most) in [(3, 10, 10), (3, 40, 15), (3, 100, 20), (1, 100, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        let (heard, _) = fleet.heard(80);
        assert!(heard.is_some_and(|it| it <= most), "{domains} x {size}: {heard:?}");
        // Each reads who follows, and those that follow look once a second.
        assert!(fleet.calls <= domains * (size + 16), "{} calls of {size}", fleet.calls);
        assert!(fleet.most_told() <= 24, "{} whole answers", fleet.most_told());
    }
}

#[test]
fn routers_that_start_while_the_store_is_away_hear_soon_after_it_answers() {
    for (domains, size, most) in [(3, 10, 10), (3, 40, 15), (3, 100, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        fleet.store_from = 30;
        for (place, router) in fleet.routers.iter_mut().enumerate() {
            router.starts = place % 7;
        }
        let (heard, _) = fleet.heard(120);
        assert!(heard.is_some_and(|it| it <= 30 + most), "{domains} x {size}: {heard:?}");
        assert!(fleet.most_told() <= 24, "{} whole answers", fleet.most_told());
    }
}

#[test]
fn routers_whose_references_say_nothing_ask_those_anew_that_referred_them() {
    for (domains, size, most) in [(1, 40, 20), (1, 100, 20), (3, 40, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        // Those that come first are answered, and are busy with what they were told.
        for place in 0..domains * size {
            let within = place % size;
            fleet.routers[place].starts = usize::from(within > 24);
            if (1..=24).contains(&within) {
                fleet.routers[place].busy_until = 60;
            }
        }
        let (_, heard) = fleet.heard(80);
        assert!(heard.is_some_and(|it| it <= most), "{domains} x {size}: {heard:?}");
        assert!(fleet.calls <= domains * (size + 24), "{} calls of {size}", fleet.calls);
    }
}
