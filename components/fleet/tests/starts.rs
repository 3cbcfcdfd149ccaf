//! Routers that start at the same time soon have the store's content.

use clock::Millis;
use edge::{Announcement, Peer};
use fleet::{Roster, Source, Sources, Subscribers};

const STEP: Millis = Millis(100);

/// How many steps a first query waits for changes.
const MIN_WAIT: usize = 3;

/// After how many steps without an answer a query fails.
const TIMEOUT: usize = 7;

/// The age at which a confirmation is stale.
const STALE_AGE: Millis = Millis(1_800);

fn peer(number: usize, domain: usize) -> Peer {
    let [low, high] = [domain, number].map(|number| u8::try_from(number).expect("a small fleet"));
    Peer {
        name: format!("front-{domain}-{number}").into(),
        hints: Some(([10, 0, low, high], 9).into()),
        domain: format!("zone-{domain}").into(),
        strength: 5,
    }
}

/// A query that waits for its answer.
struct Query {
    source: usize,
    began: usize,
}

struct Router {
    own: Peer,
    sources: Sources,
    roster: Roster,
    /// The announcements that it has read.
    known: Vec<Announcement>,
    subscribers: Subscribers,
    /// The step of its next action.
    next_step: usize,
    /// Until which step it does not answer.
    busy_until: usize,
    has_read_announcements: bool,
    confirmed_at: Option<Millis>,
    /// The step in which it first had the store's content.
    served_at: Option<usize>,
    query: Option<Query>,
    /// How many full answers it has sent.
    full_answers: usize,
}

struct Fleet {
    routers: Vec<Router>,
    /// The announcements in the store.
    announced: Vec<Announcement>,
    /// The step from which the store answers.
    store_from: usize,
    step: usize,
    /// Polls of the store, and reads of the announcements.
    calls: usize,
}

impl Fleet {
    /// `pollers` routers of each domain polled the store before they restarted.
    fn new(domains: usize, size: usize, pollers: usize) -> Self {
        let router = |own: Peer| Router {
            sources: Sources::new(own.clone(), Millis::ZERO),
            subscribers: Subscribers::new(own.name.clone()),
            roster: Roster::default(),
            known: Vec::new(),
            next_step: 0,
            busy_until: 0,
            has_read_announcements: false,
            confirmed_at: None,
            served_at: None,
            query: None,
            full_answers: 0,
            own,
        };
        let all = (0..domains).flat_map(|domain| (0..size).map(move |number| peer(number, domain)));
        let announced =
            (0..domains).flat_map(|domain| (0..pollers).map(move |number| (number, domain)));
        let announce = |(number, domain)| {
            let hearers = (pollers..size).map(|number| peer(number, domain)).collect();
            Announcement { router: peer(number, domain), hearers, most: 0 }
        };
        Self {
            routers: all.map(router).collect(),
            announced: announced.map(announce).collect(),
            store_from: 0,
            step: 0,
            calls: 0,
        }
    }

    fn now(&self) -> Millis {
        Millis(STEP.0 * self.step as u64)
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.routers.iter().position(|router| *router.own.name == *name)
    }

    fn step(&mut self) {
        self.step += 1;
        for index in 0..self.routers.len() {
            if self.step < self.routers[index].next_step {
                continue;
            }
            if self.routers[index].query.is_some() {
                self.receive(index);
            } else if self.routers[index].has_read_announcements {
                self.read(index);
            } else {
                self.read_announcements(index);
            }
        }
        let is_announced = |router: &&Router| {
            router.has_read_announcements
                && router.sources.is_poller()
                && router.confirmed_at.is_some()
        };
        for router in self.routers.iter().filter(is_announced) {
            let announcement = Announcement {
                router: router.own.clone(),
                hearers: router.subscribers.all(),
                most: 0,
            };
            self.announced.retain(|other| other.router.name != router.own.name);
            self.announced.push(announcement);
        }
    }

    /// Reads the announcements at a router's start.
    fn read_announcements(&mut self, index: usize) {
        self.calls += 1;
        let router = &mut self.routers[index];
        if self.step < self.store_from {
            router.next_step = self.step + 3;
            return;
        }
        router.has_read_announcements = true;
        for announcement in &self.announced {
            router.roster.insert(announcement.clone());
        }
        if self.announced.is_empty() || router.roster.is_announced(&router.own.name) {
            router.sources.become_poller();
        }
    }

    /// Reads from the source that a router chooses.
    fn read(&mut self, index: usize) {
        let now = self.now();
        let is_up = self.step >= self.store_from;
        let announced = self.announced.clone();
        let router = &mut self.routers[index];
        router.sources.update_role(&mut router.roster, now);
        match router.sources.next(&mut router.roster, now) {
            Source::Store if is_up => {
                self.calls += 1;
                router.sources.record_store_success(now);
                apply(router, &announced, now, self.step);
                // Polls are a second apart.
                router.next_step = self.step + 10;
            }
            Source::Store => {
                self.calls += 1;
                router.sources.record_store_failure(Millis(300), &mut router.roster, now);
            }
            Source::Router(peer) => self.query(index, &peer),
            Source::Pause(pause) => {
                router.next_step =
                    self.step + usize::try_from(pause.0 / STEP.0).expect("a short pause");
            }
        }
    }

    fn query(&mut self, index: usize, peer: &Peer) {
        let now = self.now();
        let source = self.index_of(&peer.name).expect("a known router");
        if !self.routers[source].has_read_announcements
            && self.step < self.routers[source].next_step
        {
            return self.routers[index].sources.record_failure(&peer.name, now);
        }
        let mut listed = self.routers[index].subscribers.all();
        listed.insert(0, self.routers[index].own.clone());
        if self.routers[source].subscribers.register(listed, now) {
            self.routers[index].query = Some(Query { source, began: self.step });
            return self.receive(index);
        }
        let others = self.routers[source].subscribers.relays().cloned().collect();
        self.routers[index].sources.record_referral(&peer.name, others, now);
    }

    /// Receives the answer to a router's query if its source has answered.
    fn receive(&mut self, index: usize) {
        let now = self.now();
        let Some(query) = self.routers[index].query.take() else { return };
        let source = &mut self.routers[query.source];
        let name = source.own.name.clone();
        if self.step < source.busy_until {
            if self.step >= query.began + TIMEOUT {
                self.routers[index].sources.record_failure(&name, now);
            } else {
                self.routers[index].query = Some(query);
            }
            return;
        }
        let (confirmed_at, announced) = (source.confirmed_at, source.known.clone());
        let known = self.routers[index].confirmed_at;
        let is_newer =
            confirmed_at.is_some_and(|at| known.is_none_or(|known| at > known + Millis(200)));
        let Some(confirmed_at) = confirmed_at.filter(|_| is_newer) else {
            if self.step >= query.began + if known.is_some() { 12 } else { MIN_WAIT } {
                self.routers[index].sources.record_referral(&name, Vec::new(), now);
            } else {
                self.routers[index].query = Some(query);
            }
            return;
        };
        if known.is_none() {
            self.routers[query.source].full_answers += 1;
        }
        let step = self.step;
        let router = &mut self.routers[index];
        apply(router, &announced, confirmed_at, step);
        if confirmed_at.until(now) < STALE_AGE {
            router.sources.record_success(&name);
        } else {
            router.sources.record_stale(&name, now);
        }
    }

    /// Runs `steps` steps; returns after how many all, and 95 % of all, routers had the content.
    fn run(&mut self, steps: usize) -> (Option<usize>, Option<usize>) {
        for _ in 0..steps {
            self.step();
        }
        let mut served: Vec<_> = self.routers.iter().map(|router| router.served_at).collect();
        served.sort_by_key(|step| step.unwrap_or(usize::MAX));
        (served[served.len() - 1], served[served.len() * 95 / 100 - 1])
    }

    fn max_full_answers(&self) -> usize {
        self.routers.iter().map(|router| router.full_answers).max().unwrap_or_default()
    }
}

fn apply(router: &mut Router, announced: &[Announcement], confirmed_at: Millis, step: usize) {
    for announcement in announced {
        router.roster.insert(announcement.clone());
    }
    router.known = announced.to_vec();
    router.confirmed_at = router.confirmed_at.max(Some(confirmed_at));
    router.served_at.get_or_insert(step);
}

#[test]
fn a_restarted_fleet_reads_from_its_previous_pollers() {
    for (domains, size, max_steps) in [(3, 10, 10), (3, 40, 15), (3, 100, 20), (1, 100, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        let (served, _) = fleet.run(80);
        assert!(served.is_some_and(|step| step <= max_steps), "{domains} x {size}: {served:?}");
        // Each router reads the announcements, and pollers poll once a second.
        assert!(fleet.calls <= domains * (size + 16), "{} calls of {size}", fleet.calls);
        assert!(fleet.max_full_answers() <= 24, "{} full answers", fleet.max_full_answers());
    }
}

#[test]
fn routers_started_during_an_outage_have_the_content_soon_after_it() {
    for (domains, size, max_steps) in [(3, 10, 10), (3, 40, 15), (3, 100, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        fleet.store_from = 30;
        for (index, router) in fleet.routers.iter_mut().enumerate() {
            router.next_step = index % 7;
        }
        let (served, _) = fleet.run(120);
        assert!(
            served.is_some_and(|step| step <= 30 + max_steps),
            "{domains} x {size}: {served:?}"
        );
        assert!(fleet.max_full_answers() <= 24, "{} full answers", fleet.max_full_answers());
    }
}

#[test]
fn routers_query_their_poller_again_if_its_relays_do_not_answer() {
    for (domains, size, max_steps) in [(1, 40, 20), (1, 100, 20), (3, 40, 20)] {
        let mut fleet = Fleet::new(domains, size, 1);
        // The routers that start first are answered, and become relays that don't answer.
        for index in 0..domains * size {
            let within = index % size;
            fleet.routers[index].next_step = usize::from(within > 24);
            if (1..=24).contains(&within) {
                fleet.routers[index].busy_until = 60;
            }
        }
        let (_, served) = fleet.run(80);
        assert!(served.is_some_and(|step| step <= max_steps), "{domains} x {size}: {served:?}");
        assert!(fleet.calls <= domains * (size + 24), "{} calls of {size}", fleet.calls);
    }
}
