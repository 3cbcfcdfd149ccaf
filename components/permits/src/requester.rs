//! The asking side: what a router has asked the owner of a pool, and the permits that it holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::retries::LONGEST;
use clock::Millis;
use wire::{Claim, Claims, Finish, Held, Release, Short, Turn, Verdict};

/// How often permits are named.
const NAMES: Millis = Millis(200);

/// How soon an ask is repeated at first, and at least.
const AGAIN: Millis = Millis(25);
const LEAST_AGAIN: Millis = Millis(8);

/// The longest time to an owner and back that is learnt.
const LONGEST_ROUND: Millis = Millis(200);

/// How much of its objective, in hundredths, a request waits for the first word of an owner: the
/// least, and the most where messages take long.
const PATIENCE: u64 = 20;
const MOST_PATIENCE: u64 = 40;

/// How much of its objective, in hundredths, a request waits that an owner said waits.
const WAITS: u64 = 70;

/// How long releases are told again: datagrams are lost.
const TELLS: u32 = 2;

/// How long an owner that said nothing is not waited for.
const AVOIDS: Millis = Millis(400);

/// The most of one kind in a message, so that it fits a datagram where names are short.
const MOST: usize = 8;

/// The least rate of a pool that is reckoned with, in requests a millisecond.
const LEAST_RATE: f64 = 0.001;

/// The least time that a caller is told to stay away where this router decides alone.
const LEAST_AFTER: Millis = Millis(100);

/// The most asks that were given up and are remembered.
const MOST_GIVEN_UP: usize = 64;

/// What has come of an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// It may be sent to this upstream.
    Granted(Arc<str>),
    /// It is refused; its caller may come back in so many milliseconds.
    Refused(u64),
    /// The owner says nothing, and this router's own share of the places has room.
    Unanswered,
}

#[derive(Clone, Debug)]
struct Asked {
    claim: Claim,
    came: Millis,
    /// When it was sent first.
    first: Millis,
    sent: Option<Millis>,
    waits: bool,
}

/// What a router asks of the owner of one pool.
#[derive(Clone, Debug)]
pub struct Requester {
    pool: Arc<str>,
    router: Arc<str>,
    asked: BTreeMap<u64, Asked>,
    held: BTreeMap<u64, Arc<str>>,
    releases: Vec<(Release, u32)>,
    /// Asks that were given up, and when they were sent last.
    given_up: VecDeque<(u64, Millis)>,
    /// How long a message takes to the owner and back.
    round: Option<Millis>,
    named: Millis,
    silent_at: Option<Millis>,
    rate: f64,
    /// When this router's own share has room again.
    own_at: Millis,
}

impl Requester {
    /// A router named `router` that has asked nothing of `pool` yet.
    pub fn new(pool: Arc<str>, router: Arc<str>) -> Self {
        Self {
            pool,
            router,
            asked: BTreeMap::new(),
            held: BTreeMap::new(),
            releases: Vec::new(),
            given_up: VecDeque::new(),
            round: None,
            named: Millis::ZERO,
            silent_at: None,
            rate: 0.0,
            own_at: Millis::ZERO,
        }
    }

    /// The pool is short, as its owner says.
    pub fn receive_saturation(&mut self, short: &Short) {
        self.rate = f64::from(short.rate) / 1_000_000.0;
    }

    /// A request asks for a place.
    pub fn request(&mut self, claim: Claim, now: Millis) {
        let asked = Asked { claim, came: now, first: now, sent: None, waits: false };
        self.asked.insert(asked.claim.number, asked);
    }

    /// The owner has decided. An ask that was given up is released if it was granted.
    pub fn receive(&mut self, verdict: &Verdict, now: Millis) -> Option<Resolution> {
        self.silent_at = None;
        let Some(asked) = self.asked.get_mut(&verdict.number) else {
            self.learn_late(verdict.number, now);
            if let Turn::Granted(upstream) = &verdict.turn
                && !self.held.contains_key(&verdict.number)
            {
                self.give_back(verdict.number, upstream, Finish::Unused, Millis::ZERO);
            }
            return None;
        };
        if asked.sent.take().is_some() && !asked.waits {
            self.round = Some(learn(self.round, asked.first.until(now)));
        }
        match &verdict.turn {
            Turn::Waits => {
                asked.waits = true;
                asked.sent = Some(now);
                None
            }
            Turn::Granted(upstream) => {
                self.asked.remove(&verdict.number);
                self.held.insert(verdict.number, upstream.clone());
                Some(Resolution::Granted(upstream.clone()))
            }
            Turn::Refused(after) => {
                self.asked.remove(&verdict.number);
                Some(Resolution::Refused(u64::from(*after)))
            }
        }
    }

    /// A permit is not needed any more, or an ask.
    pub fn release(&mut self, number: u64, end: Finish, took: Millis) {
        let upstream = self.held.remove(&number);
        let asked = self.asked.remove(&number).is_some();
        if upstream.is_some() || asked {
            self.give_back(number, &upstream.unwrap_or_default(), end, took);
        }
    }

    fn give_back(&mut self, number: u64, upstream: &Arc<str>, end: Finish, took: Millis) {
        let took_ms = u32::try_from(took.0).unwrap_or(u32::MAX);
        let release = Release { number, upstream: upstream.clone(), end, took_ms };
        self.releases.push((release, TELLS));
    }

    /// Gives up asks that no owner answers; `routers` share the pool.
    pub fn expire(&mut self, routers: usize, now: Millis) -> Vec<(u64, Resolution)> {
        let avoids = self.silent_at.is_some_and(|it| it.until(now) < AVOIDS);
        let over = |it: &Asked| {
            let objective = u64::from(it.claim.objective_ms);
            let most = objective * MOST_PATIENCE / 100;
            let round = self.round.map_or(Millis(most), |it| it + it);
            let first = round.0.clamp(objective * PATIENCE / 100, most);
            let patience = if it.waits { objective * WAITS / 100 } else { first };
            let quiet = avoids && !it.waits && it.sent.is_some_and(|it| it.until(now) > round);
            u64::from(it.claim.age_ms) + it.came.until(now).0 >= patience || quiet
        };
        let late: Vec<u64> =
            self.asked.iter().filter(|(_, it)| over(it)).map(|(number, _)| *number).collect();
        late.into_iter().map(|it| (it, self.decide_alone(it, routers, now))).collect()
    }

    /// A decision that came too late still says how long messages take.
    fn learn_late(&mut self, number: u64, now: Millis) {
        if let Some(place) = self.given_up.iter().position(|(it, _)| *it == number)
            && let Some((_, sent)) = self.given_up.remove(place)
        {
            self.round = Some(learn(self.round, sent.until(now)));
        }
    }

    fn decide_alone(&mut self, number: u64, routers: usize, now: Millis) -> Resolution {
        if let Some(sent) = self.asked.get(&number).filter(|it| !it.waits).map(|it| it.first) {
            if self.silent_at.is_none_or(|it| it.until(now) >= AVOIDS) {
                self.silent_at = Some(now);
            }
            self.given_up.push_back((number, sent));
            if self.given_up.len() > MOST_GIVEN_UP {
                self.given_up.pop_front();
            }
        }
        self.release(number, Finish::Unused, Millis::ZERO);
        let parts = f64::from(u32::try_from(routers.max(1)).unwrap_or(u32::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let gap = (parts / self.rate.max(LEAST_RATE)) as u64;
        if self.own_at > now {
            let after = Millis(now.until(self.own_at).0.clamp(LEAST_AFTER.0, LONGEST.0));
            return Resolution::Refused(after.0);
        }
        self.own_at = now + Millis(gap);
        Resolution::Unanswered
    }

    /// What the owner is to be told now.
    pub fn take_claims(&mut self, now: Millis) -> Vec<Claims> {
        let round = self.round.unwrap_or(AGAIN);
        let again = round + round;
        let mut asks = Vec::new();
        for asked in self.asked.values_mut() {
            let again = if asked.waits { again + NAMES } else { again };
            if asked.sent.is_none_or(|it| it.until(now) >= again) {
                if asked.sent.is_none() && !asked.waits {
                    asked.first = now;
                }
                asked.sent = Some(now);
                // What the way there and back takes is gone of its time.
                let age = u64::from(asked.claim.age_ms) + asked.came.until(now).0 + round.0;
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                asks.push(Claim { age_ms, ..asked.claim.clone() });
            }
        }
        let releases: Vec<_> = self.releases.iter().map(|(it, _)| it.clone()).collect();
        let held = if self.named.until(now) >= NAMES { self.name(now) } else { Vec::new() };
        for (_, left) in &mut self.releases {
            *left -= 1;
        }
        self.releases.retain(|(_, left)| *left > 0);
        self.pack(asks, releases, held)
    }

    /// Whether nothing is to be told soon.
    pub fn is_idle(&self) -> bool {
        self.asked.is_empty() && self.held.is_empty() && self.releases.is_empty()
    }

    fn name(&mut self, now: Millis) -> Vec<Held> {
        self.named = now;
        let mut by_upstream: BTreeMap<&Arc<str>, Vec<u64>> = BTreeMap::new();
        for (number, upstream) in &self.held {
            by_upstream.entry(upstream).or_default().push(*number);
        }
        let parts = by_upstream.into_iter().flat_map(|(upstream, numbers)| {
            let part = |it: &[u64]| Held { upstream: upstream.clone(), numbers: it.to_vec() };
            numbers.chunks(MOST * MOST).map(part).collect::<Vec<_>>()
        });
        parts.collect()
    }

    /// The messages, each of which fits a datagram.
    fn pack(&self, asks: Vec<Claim>, releases: Vec<Release>, held: Vec<Held>) -> Vec<Claims> {
        let empty =
            || Claims { pool: self.pool.clone(), router: self.router.clone(), ..Claims::default() };
        let mut packed = Vec::new();
        packed.extend(held.into_iter().map(|it| Claims { held: vec![it], ..empty() }));
        let mut asks = asks.into_iter().peekable();
        let mut releases = releases.into_iter().peekable();
        while asks.peek().is_some() || releases.peek().is_some() {
            packed.push(Claims {
                asks: asks.by_ref().take(MOST / 2).collect(),
                releases: releases.by_ref().take(MOST).collect(),
                ..empty()
            });
        }
        packed
    }
}

fn learn(round: Option<Millis>, took: Millis) -> Millis {
    let took = took.0.min(LONGEST_ROUND.0);
    let round = round.map_or(took, |it| (it.0 * 7 + took) / 8);
    Millis(round).max(LEAST_AGAIN)
}
