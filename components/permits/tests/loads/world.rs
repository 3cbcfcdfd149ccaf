//! A simulation of one pool owner, the routers that claim permits from it, and an upstream.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use clock::Millis;
use permits::{Issuer, Requester, Resolution, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Claim, ClaimState, Claims, Finish, Saturated, Verdict};

pub const SLOTS: usize = 6;
const QUEUE: usize = 24;
pub const WORK: f64 = 60.0;
pub const OBJECTIVE: u64 = 300;

/// When refused callers retry, relative to their retry time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Early,
    OnTime,
    Late,
    Never,
}

/// The load, and the faults of the routers and their links.
#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    /// The mean delay of a message, in milliseconds.
    pub delay: u64,
    /// The fraction of messages that are lost.
    pub lost: f64,
    /// The fraction of messages that are delivered twice.
    pub duplicated: f64,
    /// The request rate as a multiple of the capacity.
    pub demand: f64,
    /// The number of workspaces.
    pub workspaces: usize,
    /// The demand of the first workspace as a multiple of any other's.
    pub hot: f64,
    /// Whether all requests of the first workspace arrive at one router.
    pub hot_at_one: bool,
    pub retry: Retry,
    /// The simulated time, in milliseconds.
    pub duration: u64,
    /// A router that the owner's messages don't reach.
    pub cut: Option<usize>,
    /// When the owner restarts without its state.
    pub owner_lost: Option<u64>,
    /// When half of the routers use a second owner.
    pub two_owners: Option<(u64, u64)>,
    /// When the owner makes no decisions.
    pub frozen: Option<(u64, u64)>,
    pub settings: Settings,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 27,
            delay: 5,
            lost: 0.0,
            duplicated: 0.0,
            demand: 1.25,
            workspaces: 20,
            hot: 1.0,
            hot_at_one: false,
            retry: Retry::Never,
            duration: 6_000,
            cut: None,
            owner_lost: None,
            two_owners: None,
            frozen: None,
            settings: Settings::default(),
        }
    }
}

/// The results after the first second. Pairs count served and refused requests.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub requests: usize,
    pub sent: usize,
    pub refused_at_upstream: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub refused_late: usize,
    pub max_in_flight: usize,
    pub first: [usize; 2],
    pub others: [usize; 2],
    pub retries: [usize; 2],
    pub granted_and_refused: usize,
}

impl Totals {
    /// The fraction of the capacity that was answered in time.
    pub fn utilization(&self, setup: &Setup) -> f64 {
        to_f64(self.in_time) / (to_f64(SLOTS) / WORK * ms(setup.duration - 1_000))
    }

    /// The fraction of requests that the upstream refused.
    pub fn refused_by_upstream(&self) -> f64 {
        to_f64(self.refused_at_upstream) / to_f64(self.requests.max(1))
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a test are small")]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "a test lasts seconds")]
fn ms(time: u64) -> f64 {
    time as f64
}

#[derive(Clone, Debug)]
struct Request {
    arrived: u64,
    workspace: usize,
    fingerprint: u64,
    is_retry: bool,
}

enum Message {
    Claims(usize, Claims),
    Verdict(usize, Verdict),
}

pub struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    requesters: Vec<Requester>,
    owners: [Issuer; 2],
    messages: BTreeMap<u64, Vec<Message>>,
    arrivals: BTreeMap<u64, Vec<(usize, Request)>>,
    requests: HashMap<u64, (usize, Request)>,
    /// The upstream's queue: number, arrival and processing time.
    queued: Vec<(u64, u64, u64)>,
    /// Requests being processed: number, arrival and end.
    running: Vec<(u64, u64, u64)>,
    arriving: BTreeMap<u64, Vec<u64>>,
    refused: HashSet<u64>,
    granted: HashSet<u64>,
    next: u64,
    totals: Totals,
}

impl World {
    pub fn run(setup: Setup) -> Totals {
        let name = |index: usize| Arc::from(format!("router-{index}"));
        let requester = |index| Requester::new("plain".into(), name(index));
        let issuer = Issuer::new(setup.settings, Millis(1_000));
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            requesters: (0..setup.routers).map(requester).collect(),
            owners: [issuer.clone(), issuer],
            messages: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            requests: HashMap::new(),
            queued: Vec::new(),
            running: Vec::new(),
            arriving: BTreeMap::new(),
            refused: HashSet::new(),
            granted: HashSet::new(),
            next: 0,
            totals: Totals::default(),
            setup,
        };
        for at in 1_000..1_000 + world.setup.duration {
            world.step(at);
        }
        world.totals.granted_and_refused = world.refused.intersection(&world.granted).count();
        world.totals
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
                Message::Claims(owner, claims) => self.receive_claims(owner, &claims, now),
                Message::Verdict(router, verdict) => self.receive_verdict(router, &verdict, now),
            }
        }
        let frozen = self.setup.frozen.is_some_and(|(from, to)| (from..to).contains(&at));
        for owner in 0..2 {
            if !frozen || owner > 0 {
                self.decide(owner, now);
            }
        }
        for router in 0..self.setup.routers {
            self.run_requester(router, now);
        }
        if at.is_multiple_of(400) {
            let snapshot = self.owners[0].snapshot(now);
            let saturated = Saturated {
                pool: "plain".into(),
                owner: "o".into(),
                rate: snapshot.rate,
                ttl_ms: 1_500,
            };
            self.requesters
                .iter_mut()
                .for_each(|requester| requester.receive_saturation(&saturated));
        }
    }

    /// Adds new requests and retries.
    fn arrive(&mut self, at: u64) {
        let mut arrivals = self.arrivals.remove(&at).unwrap_or_default();
        let rate = self.setup.demand * to_f64(SLOTS) / WORK;
        let mut new = rate;
        while new > 0.0 {
            if self.rng.random::<f64>() < new {
                let workspace = self.workspace();
                let request = Request {
                    arrived: at,
                    workspace,
                    fingerprint: self.rng.random(),
                    is_retry: false,
                };
                let hot = self.setup.hot_at_one && workspace == 0;
                let router = if hot { 0 } else { self.rng.random_range(0..self.setup.routers) };
                arrivals.push((router, request));
            }
            new -= 1.0;
        }
        for (router, request) in arrivals {
            self.next += 1;
            let number = self.next;
            self.totals.requests += usize::from(at >= 2_000);
            let claim = Claim {
                number,
                workspace: format!("w-{}", request.workspace).into(),
                fingerprint: request.fingerprint,
                priority: 2,
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
        let all = to_f64(self.setup.workspaces) - 1.0 + self.setup.hot;
        let draw = self.rng.random::<f64>() * all;
        if draw < self.setup.hot {
            return 0;
        }
        self.rng.random_range(1..self.setup.workspaces.max(2))
    }

    /// Advances the upstream.
    fn serve(&mut self, at: u64) {
        for number in self.arriving.remove(&at).unwrap_or_default() {
            self.totals.sent += usize::from(at >= 2_000);
            if self.queued.len() >= QUEUE {
                self.totals.refused_at_upstream += usize::from(at >= 2_000);
                self.end(number, Finish::Full, Millis(1), at);
                continue;
            }
            let work = WORK * self.rng.random_range(0.4..1.6);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short")]
            self.queued.push((number, at, work as u64));
        }
        let done: Vec<_> = self.running.iter().filter(|run| run.2 <= at).copied().collect();
        self.running.retain(|run| run.2 > at);
        for (number, arrived, _) in done {
            self.answered(number, at);
            self.end(number, Finish::Answered, Millis(at - arrived), at);
        }
        while self.running.len() < SLOTS && !self.queued.is_empty() {
            let (number, arrived, work) = self.queued.remove(0);
            self.running.push((number, arrived, at + work));
        }
        self.totals.max_in_flight =
            self.totals.max_in_flight.max(self.running.len() + self.queued.len());
    }

    fn answered(&mut self, number: u64, at: u64) {
        let (_, request) = &self.requests[&number];
        if at < 2_000 {
            return;
        }
        let in_time = at - request.arrived <= OBJECTIVE;
        self.totals.in_time += usize::from(in_time);
        self.totals.late += usize::from(!in_time);
        let counts =
            if request.workspace == 0 { &mut self.totals.first } else { &mut self.totals.others };
        counts[0] += 1;
        self.totals.retries[0] += usize::from(request.is_retry);
    }

    fn end(&mut self, number: u64, end: Finish, took: Millis, _at: u64) {
        let router = self.requests[&number].0;
        self.requesters[router].release(number, end, took);
    }

    fn send(&mut self, at: u64, message: impl Fn() -> Message) {
        if self.rng.random::<f64>() < self.setup.lost {
            return;
        }
        let twice = self.rng.random::<f64>() < self.setup.duplicated;
        for _ in 0..=u32::from(twice) {
            let spread = self.setup.delay / 5;
            let delay = self.setup.delay - spread + self.rng.random_range(0..=2 * spread);
            self.messages.entry(at + delay.max(1)).or_default().push(message());
        }
    }

    fn receive_claims(&mut self, owner: usize, claims: &Claims, now: Millis) {
        let router: usize = claims.router[7..].parse().expect("a number");
        for verdict in self.owners[owner].receive(claims, now) {
            self.send(now.0, || Message::Verdict(router, verdict.clone()));
        }
    }

    fn decide(&mut self, owner: usize, now: Millis) {
        self.owners[owner].set_upstreams(&[("up".into(), SLOTS as u64)]);
        for decision in self.owners[owner].decide(now) {
            let router: usize = decision.router[7..].parse().expect("a number");
            let verdict = Verdict { number: decision.number, state: decision.state.clone() };
            match decision.state {
                ClaimState::Refused(_) => {
                    self.refused.insert(decision.number);
                    let late = decision.waited.0 * 10 > OBJECTIVE + 10 * self.setup.delay * 2 + 10;
                    self.totals.refused_late += usize::from(late && now.0 >= 2_000);
                }
                ClaimState::Granted(_) => {
                    self.granted.insert(decision.number);
                }
                ClaimState::Queued => {}
            }
            if self.setup.cut != Some(router) {
                self.send(now.0, || Message::Verdict(router, verdict.clone()));
            }
        }
    }

    fn run_requester(&mut self, router: usize, now: Millis) {
        let routers = self.setup.routers;
        for (number, resolution) in self.requesters[router].expire(routers, now) {
            self.resolve(router, number, &resolution, now);
        }
        let split = self.setup.two_owners.is_some_and(|(from, to)| (from..to).contains(&now.0));
        let owner = usize::from(split && router % 2 == 1);
        if self.requesters[router].is_idle() {
            return;
        }
        for claims in self.requesters[router].take_claims(now) {
            self.send(now.0, || Message::Claims(owner, claims.clone()));
        }
    }

    fn receive_verdict(&mut self, router: usize, verdict: &Verdict, now: Millis) {
        if let Some(resolution) = self.requesters[router].receive(verdict, now) {
            self.resolve(router, verdict.number, &resolution, now);
        }
    }

    fn resolve(&mut self, router: usize, number: u64, resolution: &Resolution, now: Millis) {
        match resolution {
            Resolution::Granted(_) | Resolution::Unanswered => {
                self.arriving.entry(now.0 + 1).or_default().push(number);
            }
            Resolution::Refused(after) => {
                let (_, request) = &self.requests[&number];
                let request = &request.clone();
                if now.0 >= 2_000 {
                    self.totals.refused += 1;
                    let first = request.workspace == 0;
                    let counts =
                        if first { &mut self.totals.first } else { &mut self.totals.others };
                    counts[1] += 1;
                    self.totals.retries[1] += usize::from(request.is_retry);
                }
                self.schedule_retry(router, request, *after, now);
            }
        }
    }

    fn schedule_retry(&mut self, router: usize, request: &Request, after: u64, now: Millis) {
        let after = match self.setup.retry {
            _ if request.is_retry => return,
            Retry::Never => return,
            Retry::Early => after / 4,
            Retry::OnTime => after,
            Retry::Late => after * 2,
        };
        let at = now.0 + after.max(1);
        let request = Request { arrived: at, is_retry: true, ..request.clone() };
        self.arrivals.entry(at).or_default().push((router, request));
    }
}
