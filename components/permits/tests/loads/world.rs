//! A loop over one owner, routers that ask it, and an upstream of few slots.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use clock::Millis;
use permits::{Resolution, Issuer, Requester, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Claim, Claims, Finish, Short, Turn, Verdict};

pub const SLOTS: usize = 6;
const QUEUE: usize = 24;
pub const WORK: f64 = 60.0;
pub const OBJECTIVE: u64 = 300;

/// What callers do that were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comes {
    Early,
    OnTime,
    Late,
    Never,
}

/// A load, and the links between the routers.
#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    /// How old messages are.
    pub delay: u64,
    pub lost: f64,
    pub doubled: f64,
    /// How many times what one upstream serves is asked for.
    pub demand: f64,
    /// How many workspaces, and how many times its part the first asks for.
    pub workspaces: usize,
    pub hot: f64,
    /// Whether all of the first workspace's requests come to one router.
    pub hot_at_one: bool,
    pub comes: Comes,
    pub lasts: u64,
    /// A router that the owner hears, and that does not hear the owner.
    pub cut: Option<usize>,
    /// The ledger is lost with its router, and another one begins.
    pub owner_lost: Option<u64>,
    /// Half of the routers ask another owner in this time.
    pub two_owners: Option<(u64, u64)>,
    /// The owner does nothing in this time.
    pub frozen: Option<(u64, u64)>,
    pub settings: Settings,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 27,
            delay: 5,
            lost: 0.0,
            doubled: 0.0,
            demand: 1.25,
            workspaces: 20,
            hot: 1.0,
            hot_at_one: false,
            comes: Comes::Never,
            lasts: 6_000,
            cut: None,
            owner_lost: None,
            two_owners: None,
            frozen: None,
            settings: Settings::default(),
        }
    }
}

/// What came of it, after the first second.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub asked: usize,
    pub sent: usize,
    pub turned_away: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub waited_long: usize,
    pub most_out: usize,
    pub first: [usize; 2],
    pub others: [usize; 2],
    pub returned: [usize; 2],
    pub both: usize,
}

impl Sums {
    /// The share of what one upstream serves that was answered in time.
    pub fn served(&self, setup: &Setup) -> f64 {
        count(self.in_time) / (count(SLOTS) / WORK * ms(setup.lasts - 1_000))
    }

    /// The share of arrivals that the upstream turned away.
    pub fn away(&self) -> f64 {
        count(self.turned_away) / count(self.asked.max(1))
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a test are small")]
pub fn count(it: usize) -> f64 {
    it as f64
}

#[expect(clippy::cast_precision_loss, reason = "a test lasts seconds")]
fn ms(it: u64) -> f64 {
    it as f64
}

#[derive(Clone, Debug)]
struct Request {
    came: u64,
    workspace: usize,
    content: u64,
    back: bool,
}

enum Message {
    Claims(usize, Claims),
    Verdict(usize, Verdict),
}

pub struct World {
    setup: Setup,
    random: ChaCha8Rng,
    requesters: Vec<Requester>,
    owners: [Issuer; 2],
    messages: BTreeMap<u64, Vec<Message>>,
    arrivals: BTreeMap<u64, Vec<(usize, Request)>>,
    requests: HashMap<u64, (usize, Request)>,
    /// Requests at the upstream, in order, with when they came there and their work.
    queued: Vec<(u64, u64, u64)>,
    running: Vec<(u64, u64, u64)>,
    arriving: BTreeMap<u64, Vec<u64>>,
    refused: HashSet<u64>,
    granted: HashSet<u64>,
    next: u64,
    sums: Sums,
}

impl World {
    pub fn play(setup: Setup) -> Sums {
        let name = |it: usize| Arc::from(format!("router-{it}"));
        let requester = |it| Requester::new("plain".into(), name(it));
        let ledger = Issuer::new(setup.settings, Millis(1_000));
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(7),
            requesters: (0..setup.routers).map(requester).collect(),
            owners: [ledger.clone(), ledger],
            messages: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            requests: HashMap::new(),
            queued: Vec::new(),
            running: Vec::new(),
            arriving: BTreeMap::new(),
            refused: HashSet::new(),
            granted: HashSet::new(),
            next: 0,
            sums: Sums::default(),
            setup,
        };
        for at in 1_000..1_000 + world.setup.lasts {
            world.step(at);
        }
        world.sums.both = world.refused.intersection(&world.granted).count();
        world.sums
    }

    fn step(&mut self, at: u64) {
        let now = Millis(at);
        if self.setup.owner_lost == Some(at) {
            self.owners[0] = Issuer::new(self.setup.settings, now);
        }
        self.arrive(at);
        self.serve(at);
        for message in self.messages.remove(&at).unwrap_or_default() {
            match message {
                Message::Claims(owner, claims) => self.hear(owner, &claims, now),
                Message::Verdict(router, verdict) => self.take(router, &verdict, now),
            }
        }
        let frozen = self.setup.frozen.is_some_and(|(from, to)| (from..to).contains(&at));
        for owner in 0..2 {
            if !frozen || owner > 0 {
                self.decide(owner, now);
            }
        }
        for router in 0..self.setup.routers {
            self.requester(router, now);
        }
        if at.is_multiple_of(400) {
            let look = self.owners[0].snapshot(now);
            let short =
                Short { pool: "plain".into(), owner: "o".into(), rate: look.rate, lasts_ms: 1_500 };
            self.requesters.iter_mut().for_each(|it| it.receive_saturation(&short));
        }
    }

    /// New requests, and callers that come back.
    fn arrive(&mut self, at: u64) {
        let mut come = self.arrivals.remove(&at).unwrap_or_default();
        let rate = self.setup.demand * count(SLOTS) / WORK;
        let mut new = rate;
        while new > 0.0 {
            if self.random.random::<f64>() < new {
                let workspace = self.workspace();
                let request =
                    Request { came: at, workspace, content: self.random.random(), back: false };
                let hot = self.setup.hot_at_one && workspace == 0;
                let router = if hot { 0 } else { self.random.random_range(0..self.setup.routers) };
                come.push((router, request));
            }
            new -= 1.0;
        }
        for (router, request) in come {
            self.next += 1;
            let number = self.next;
            self.sums.asked += usize::from(at >= 2_000);
            let claim = Claim {
                number,
                workspace: format!("w-{}", request.workspace).into(),
                content: request.content,
                urgency: 2,
                repeatable: number.is_multiple_of(2),
                objective_ms: 300,
                age_ms: 0,
                avoid: Vec::new(),
            };
            self.requests.insert(number, (router, request));
            self.requesters[router].request(claim, Millis(at));
        }
    }

    fn workspace(&mut self) -> usize {
        let all = count(self.setup.workspaces) - 1.0 + self.setup.hot;
        let draw = self.random.random::<f64>() * all;
        if draw < self.setup.hot {
            return 0;
        }
        self.random.random_range(1..self.setup.workspaces.max(2))
    }

    /// The upstream.
    fn serve(&mut self, at: u64) {
        for number in self.arriving.remove(&at).unwrap_or_default() {
            self.sums.sent += usize::from(at >= 2_000);
            if self.queued.len() >= QUEUE {
                self.sums.turned_away += usize::from(at >= 2_000);
                self.end(number, Finish::Full, Millis(1), at);
                continue;
            }
            let work = WORK * self.random.random_range(0.4..1.6);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short")]
            self.queued.push((number, at, work as u64));
        }
        let done: Vec<_> = self.running.iter().filter(|it| it.2 <= at).copied().collect();
        self.running.retain(|it| it.2 > at);
        for (number, came, _) in done {
            self.answered(number, at);
            self.end(number, Finish::Answered, Millis(at - came), at);
        }
        while self.running.len() < SLOTS && !self.queued.is_empty() {
            let (number, came, work) = self.queued.remove(0);
            self.running.push((number, came, at + work));
        }
        self.sums.most_out = self.sums.most_out.max(self.running.len() + self.queued.len());
    }

    fn answered(&mut self, number: u64, at: u64) {
        let (_, request) = &self.requests[&number];
        if at < 2_000 {
            return;
        }
        let in_time = at - request.came <= OBJECTIVE;
        self.sums.in_time += usize::from(in_time);
        self.sums.late += usize::from(!in_time);
        let place =
            if request.workspace == 0 { &mut self.sums.first } else { &mut self.sums.others };
        place[0] += 1;
        self.sums.returned[0] += usize::from(request.back);
    }

    fn end(&mut self, number: u64, end: Finish, took: Millis, _at: u64) {
        let router = self.requests[&number].0;
        self.requesters[router].release(number, end, took);
    }

    fn send(&mut self, at: u64, message: impl Fn() -> Message) {
        if self.random.random::<f64>() < self.setup.lost {
            return;
        }
        let twice = self.random.random::<f64>() < self.setup.doubled;
        for _ in 0..=u32::from(twice) {
            let spread = self.setup.delay / 5;
            let delay = self.setup.delay - spread + self.random.random_range(0..=2 * spread);
            self.messages.entry(at + delay.max(1)).or_default().push(message());
        }
    }

    fn hear(&mut self, owner: usize, claims: &Claims, now: Millis) {
        let router: usize = claims.router[7..].parse().expect("a number");
        for verdict in self.owners[owner].receive(claims, now) {
            self.send(now.0, || Message::Verdict(router, verdict.clone()));
        }
    }

    fn decide(&mut self, owner: usize, now: Millis) {
        self.owners[owner].set_upstreams(&[("up".into(), SLOTS as u64)]);
        for line in self.owners[owner].decide(now) {
            let router: usize = line.router[7..].parse().expect("a number");
            let verdict = Verdict { number: line.number, turn: line.turn.clone() };
            match line.turn {
                Turn::Refused(_) => {
                    self.refused.insert(line.number);
                    let long = line.waited.0 * 10 > OBJECTIVE + 10 * self.setup.delay * 2 + 10;
                    self.sums.waited_long += usize::from(long && now.0 >= 2_000);
                }
                Turn::Granted(_) => {
                    self.granted.insert(line.number);
                }
                Turn::Waits => {}
            }
            if self.setup.cut != Some(router) {
                self.send(now.0, || Message::Verdict(router, verdict.clone()));
            }
        }
    }

    fn requester(&mut self, router: usize, now: Millis) {
        let routers = self.setup.routers;
        for (number, answer) in self.requesters[router].expire(routers, now) {
            self.act(router, number, &answer, now);
        }
        let apart = self.setup.two_owners.is_some_and(|(from, to)| (from..to).contains(&now.0));
        let owner = usize::from(apart && router % 2 == 1);
        if self.requesters[router].is_idle() {
            return;
        }
        for claims in self.requesters[router].take_claims(now) {
            self.send(now.0, || Message::Claims(owner, claims.clone()));
        }
    }

    fn take(&mut self, router: usize, verdict: &Verdict, now: Millis) {
        if let Some(answer) = self.requesters[router].receive(verdict, now) {
            self.act(router, verdict.number, &answer, now);
        }
    }

    fn act(&mut self, router: usize, number: u64, answer: &Resolution, now: Millis) {
        match answer {
            Resolution::Granted(_) | Resolution::Unanswered => {
                self.arriving.entry(now.0 + 1).or_default().push(number);
            }
            Resolution::Refused(after) => {
                let (_, request) = &self.requests[&number];
                let request = &request.clone();
                if now.0 >= 2_000 {
                    self.sums.refused += 1;
                    let first = request.workspace == 0;
                    let place = if first { &mut self.sums.first } else { &mut self.sums.others };
                    place[1] += 1;
                    self.sums.returned[1] += usize::from(request.back);
                }
                self.come_back(router, request, *after, now);
            }
        }
    }

    fn come_back(&mut self, router: usize, request: &Request, after: u64, now: Millis) {
        let after = match self.setup.comes {
            _ if request.back => return,
            Comes::Never => return,
            Comes::Early => after / 4,
            Comes::OnTime => after,
            Comes::Late => after * 2,
        };
        let at = now.0 + after.max(1);
        let request = Request { came: at, back: true, ..request.clone() };
        self.arrivals.entry(at).or_default().push((router, request));
    }
}
