//! A router's side: its claims on a pool's owner and the permits that it holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::retries::MAX_RETRY_AFTER;
use clock::Millis;
use wire::{Claim, ClaimState, Claims, Finish, Held, Release, Saturated, Verdict};

/// The time between two renewals of held permits.
const RENEWAL_INTERVAL: Millis = Millis(200);

/// The round-trip time to an owner before any was measured, and the smallest one assumed.
const DEFAULT_ROUND_TRIP: Millis = Millis(25);
const MIN_ROUND_TRIP: Millis = Millis(8);

/// The longest round-trip time that is recorded.
const MAX_ROUND_TRIP: Millis = Millis(200);

/// Bounds on the wait for the owner's first reply, as percentages of the objective. Between them
/// the wait is two round trips.
const MIN_REPLY_WAIT_PERCENT: u64 = 20;
const MAX_REPLY_WAIT_PERCENT: u64 = 40;

/// The longest time from the arrival of a request to the end of its wait in the owner's queue, as
/// a percentage of the objective.
const QUEUED_WAIT_PERCENT: u64 = 70;

/// How many times a release is sent, as datagrams may be lost.
const RELEASE_SENDS: u32 = 2;

/// How long after an unanswered claim other claims wait for the owner at most two round trips.
const SILENCE_BACKOFF: Millis = Millis(400);

/// The largest number of releases in a message. The limits for claims and renewals derive from it,
/// so that every message fits a datagram.
const MAX_RELEASES: usize = 8;

/// The lowest rate assumed for a pool, in requests per millisecond.
const MIN_RATE_PER_MS: f64 = 0.001;

/// The shortest retry time that this router gives without the owner.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// The largest number of expired claims that are kept to measure round trips.
const MAX_EXPIRED: usize = 64;

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The request may be sent to this upstream.
    Granted(Arc<str>),
    /// The request is refused; its caller may retry after this many milliseconds.
    Refused(u64),
    /// The owner did not decide in time; the request may be sent without a permit.
    Unanswered,
}

#[derive(Clone, Debug)]
struct Pending {
    claim: Claim,
    arrived: Millis,
    first_sent: Millis,
    last_sent: Option<Millis>,
    queued: bool,
}

/// A router's claims and permits for one pool.
#[derive(Clone, Debug)]
pub struct Requester {
    pool: Arc<str>,
    router: Arc<str>,
    pending: BTreeMap<u64, Pending>,
    held: BTreeMap<u64, Arc<str>>,
    /// Releases with the number of sends left.
    releases: Vec<(Release, u32)>,
    /// Claims without a reply in time, and when each was first sent.
    expired: VecDeque<(u64, Millis)>,
    /// Mean round-trip time to the owner.
    round_trip: Option<Millis>,
    renewed: Millis,
    silent_at: Option<Millis>,
    /// The pool's estimated rate, in requests per millisecond.
    rate: f64,
    /// When this router may next send a request without a permit.
    next_send: Millis,
}

impl Requester {
    /// Creates a requester for the router named `router`.
    pub fn new(pool: Arc<str>, router: Arc<str>) -> Self {
        Self {
            pool,
            router,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            releases: Vec::new(),
            expired: VecDeque::new(),
            round_trip: None,
            renewed: Millis::ZERO,
            silent_at: None,
            rate: 0.0,
            next_send: Millis::ZERO,
        }
    }

    /// Takes the pool's rate from its owner's message.
    pub fn receive_saturation(&mut self, saturated: &Saturated) {
        self.rate = f64::from(saturated.rate) / 1_000_000.0;
    }

    /// Requests a permit.
    pub fn request(&mut self, claim: Claim, now: Millis) {
        let pending =
            Pending { claim, arrived: now, first_sent: now, last_sent: None, queued: false };
        self.pending.insert(pending.claim.number, pending);
    }

    /// Handles the owner's verdict. A permit for a claim that is no longer pending is released.
    pub fn receive(&mut self, verdict: &Verdict, now: Millis) -> Option<Resolution> {
        self.silent_at = None;
        let Some(pending) = self.pending.get_mut(&verdict.number) else {
            self.record_late_reply(verdict.number, now);
            if let ClaimState::Granted(upstream) = &verdict.state
                && !self.held.contains_key(&verdict.number)
            {
                self.push_release(verdict.number, upstream, Finish::Unused, Millis::ZERO);
            }
            return None;
        };
        if pending.last_sent.take().is_some() && !pending.queued {
            self.round_trip = Some(smooth(self.round_trip, pending.first_sent.until(now)));
        }
        match &verdict.state {
            ClaimState::Queued => {
                pending.queued = true;
                pending.last_sent = Some(now);
                None
            }
            ClaimState::Granted(upstream) => {
                self.pending.remove(&verdict.number);
                self.held.insert(verdict.number, upstream.clone());
                Some(Resolution::Granted(upstream.clone()))
            }
            ClaimState::Refused(after) => {
                self.pending.remove(&verdict.number);
                Some(Resolution::Refused(u64::from(*after)))
            }
        }
    }

    /// Releases a permit or withdraws a claim.
    pub fn release(&mut self, number: u64, end: Finish, elapsed: Millis) {
        let upstream = self.held.remove(&number);
        let pending = self.pending.remove(&number).is_some();
        if upstream.is_some() || pending {
            self.push_release(number, &upstream.unwrap_or_default(), end, elapsed);
        }
    }

    fn push_release(&mut self, number: u64, upstream: &Arc<str>, end: Finish, elapsed: Millis) {
        let elapsed_ms = u32::try_from(elapsed.0).unwrap_or(u32::MAX);
        let release = Release { number, upstream: upstream.clone(), end, elapsed_ms };
        self.releases.push((release, RELEASE_SENDS));
    }

    /// Withdraws claims that the owner has not decided in time, and decides them locally at this
    /// router's part of the pool's rate, which `routers` share.
    pub fn expire(&mut self, routers: usize, now: Millis) -> Vec<(u64, Resolution)> {
        let silent = self.silent_at.is_some_and(|at| at.until(now) < SILENCE_BACKOFF);
        let is_due = |pending: &Pending| {
            let objective = u64::from(pending.claim.objective_ms);
            let max = objective * MAX_REPLY_WAIT_PERCENT / 100;
            let round_trips = self.round_trip.map_or(Millis(max), |time| time + time);
            let reply_wait = round_trips.0.clamp(objective * MIN_REPLY_WAIT_PERCENT / 100, max);
            let wait =
                if pending.queued { objective * QUEUED_WAIT_PERCENT / 100 } else { reply_wait };
            let unanswered = silent
                && !pending.queued
                && pending.last_sent.is_some_and(|at| at.until(now) > round_trips);
            u64::from(pending.claim.age_ms) + pending.arrived.until(now).0 >= wait || unanswered
        };
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_due(pending))
            .map(|(number, _)| *number)
            .collect();
        due.into_iter().map(|number| (number, self.decide_locally(number, routers, now))).collect()
    }

    /// Measures the round trip of a reply to an expired claim.
    fn record_late_reply(&mut self, number: u64, now: Millis) {
        if let Some(index) = self.expired.iter().position(|(other, _)| *other == number)
            && let Some((_, sent)) = self.expired.remove(index)
        {
            self.round_trip = Some(smooth(self.round_trip, sent.until(now)));
        }
    }

    fn decide_locally(&mut self, number: u64, routers: usize, now: Millis) -> Resolution {
        if let Some(sent) = self
            .pending
            .get(&number)
            .filter(|pending| !pending.queued)
            .map(|pending| pending.first_sent)
        {
            if self.silent_at.is_none_or(|at| at.until(now) >= SILENCE_BACKOFF) {
                self.silent_at = Some(now);
            }
            self.expired.push_back((number, sent));
            if self.expired.len() > MAX_EXPIRED {
                self.expired.pop_front();
            }
        }
        self.release(number, Finish::Unused, Millis::ZERO);
        let routers = f64::from(u32::try_from(routers.max(1)).unwrap_or(u32::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let interval = (routers / self.rate.max(MIN_RATE_PER_MS)) as u64;
        if self.next_send > now {
            let after =
                Millis(now.until(self.next_send).0.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0));
            return Resolution::Refused(after.0);
        }
        self.next_send = now + Millis(interval);
        Resolution::Unanswered
    }

    /// Takes the messages that are due to the owner: claims that are new or unanswered,
    /// releases, and renewals.
    pub fn take_claims(&mut self, now: Millis) -> Vec<Claims> {
        let round_trip = self.round_trip.unwrap_or(DEFAULT_ROUND_TRIP);
        let resend_after = round_trip + round_trip;
        let mut claims = Vec::new();
        for pending in self.pending.values_mut() {
            let resend_after =
                if pending.queued { resend_after + RENEWAL_INTERVAL } else { resend_after };
            if pending.last_sent.is_none_or(|at| at.until(now) >= resend_after) {
                if pending.last_sent.is_none() && !pending.queued {
                    pending.first_sent = now;
                }
                pending.last_sent = Some(now);
                // Adds the round trip, as it is part of the time that the request waits.
                let age =
                    u64::from(pending.claim.age_ms) + pending.arrived.until(now).0 + round_trip.0;
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                claims.push(Claim { age_ms, ..pending.claim.clone() });
            }
        }
        let releases: Vec<_> = self.releases.iter().map(|(release, _)| release.clone()).collect();
        let held =
            if self.renewed.until(now) >= RENEWAL_INTERVAL { self.renew(now) } else { Vec::new() };
        for (_, sends) in &mut self.releases {
            *sends -= 1;
        }
        self.releases.retain(|(_, sends)| *sends > 0);
        self.pack(claims, releases, held)
    }

    /// Whether there is nothing to send.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.held.is_empty() && self.releases.is_empty()
    }

    fn renew(&mut self, now: Millis) -> Vec<Held> {
        self.renewed = now;
        let mut by_upstream: BTreeMap<&Arc<str>, Vec<u64>> = BTreeMap::new();
        for (number, upstream) in &self.held {
            by_upstream.entry(upstream).or_default().push(*number);
        }
        let held = by_upstream.into_iter().flat_map(|(upstream, numbers)| {
            let held = |chunk: &[u64]| Held { upstream: upstream.clone(), numbers: chunk.to_vec() };
            numbers.chunks(MAX_RELEASES * MAX_RELEASES).map(held).collect::<Vec<_>>()
        });
        held.collect()
    }

    /// Splits entries into messages that fit a datagram.
    fn pack(&self, claims: Vec<Claim>, releases: Vec<Release>, held: Vec<Held>) -> Vec<Claims> {
        let empty =
            || Claims { pool: self.pool.clone(), router: self.router.clone(), ..Claims::default() };
        let mut packed = Vec::new();
        packed.extend(held.into_iter().map(|held| Claims { held: vec![held], ..empty() }));
        let mut claims = claims.into_iter().peekable();
        let mut releases = releases.into_iter().peekable();
        while claims.peek().is_some() || releases.peek().is_some() {
            packed.push(Claims {
                claims: claims.by_ref().take(MAX_RELEASES / 2).collect(),
                releases: releases.by_ref().take(MAX_RELEASES).collect(),
                ..empty()
            });
        }
        packed
    }
}

/// Updates the moving average of round-trip times.
fn smooth(mean: Option<Millis>, round_trip: Millis) -> Millis {
    let round_trip = round_trip.0.min(MAX_ROUND_TRIP.0);
    let mean = mean.map_or(round_trip, |mean| (mean.0 * 7 + round_trip) / 8);
    Millis(mean).max(MIN_ROUND_TRIP)
}
