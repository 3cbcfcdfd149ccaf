//! Quarantine for work that repeatedly crashes upstreams.
//!
//! A request may crash every upstream that runs it, and callers retry it under new ids at other
//! routers. Crashes are therefore counted by the fingerprint of the work and shared among the
//! routers through the platform's store. Work that was recently answered in full is cleared at all
//! routers once a crash is attributed to it.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::Effect;
use crate::state::State;

/// How long after a request was interrupted a crash of its upstream may be attributed to it.
/// It exceeds the time for which the platform's list keeps a crashed upstream.
const INTERRUPTED_TTL: Millis = Millis(10_000);

/// Maximum number of interrupted requests that are kept for an upstream; later ones are not
/// recorded.
const MAX_INTERRUPTED: usize = 256;

/// Maximum number of fingerprints with crashes; that with the oldest crash is evicted.
const MAX_CRASHED: usize = 4_096;

/// Maximum number of fingerprints that are kept as answered in full; the oldest are evicted, and
/// may be quarantined again.
const MAX_ANSWERED: usize = 8_192;

/// Maximum number of fingerprints that are kept as cleared; the oldest are evicted, and may be
/// quarantined again.
const MAX_CLEARED: usize = 4_096;

/// A crash of an upstream while it ran a request, or the clearing of a request's work. Both are of
/// the work as a whole, or of one part of its prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the requested work, or the hash of the prompt part.
    #[serde(rename = "content")]
    pub fingerprint: u64,
    /// The name of the upstream, which is unique to each of its starts; empty in a clearing.
    pub upstream: Arc<str>,
    /// When the crash was detected, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Whether this is a clearing: the work was answered in full.
    #[serde(default)]
    pub cleared: bool,
    /// For a prompt part: time since a request with it was sent. `None` for the work as a whole.
    #[serde(default)]
    pub ran: Option<Millis>,
}

impl Crash {
    /// A clearing of a prompt part.
    pub fn cleared_part(part: u64, at: Millis) -> Self {
        Self { ran: Some(Millis::ZERO), ..Self::cleared(part, at) }
    }

    /// Whether it is of a prompt part, not of the work as a whole.
    pub fn is_of_part(&self) -> bool {
        self.ran.is_some()
    }

    /// A clearing of work that was answered in full.
    pub fn cleared(fingerprint: u64, at: Millis) -> Self {
        Self { fingerprint, upstream: "".into(), at, cleared: true, ran: None }
    }
}

/// A request that was interrupted at an upstream, which may have crashed under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// Public id of the request.
    pub request: Arc<str>,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// The fingerprint of the requested work.
    pub fingerprint: u64,
    /// Hashes of the parts of the prompt that other requests may share.
    pub parts: Vec<u64>,
    /// When the request was sent to the upstream.
    pub sent: Millis,
    /// When the first part of the answer's body was received, if it was.
    pub began: Option<Millis>,
    /// When the request was interrupted.
    pub at: Millis,
}

/// Whether an upstream still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// A connection could be opened.
    Alive,
    /// The connection was refused.
    Dead,
    /// There was no response in time; the platform's list will show whether the upstream is gone.
    Unknown,
}

/// Crashes of upstreams, and requests that may have caused them.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Interrupted requests by upstream.
    interrupted: HashMap<Arc<str>, Vec<Interruption>>,
    /// Upstreams with a liveness check under way.
    checking: BTreeSet<Arc<str>>,
    /// Crashes by fingerprint.
    crashes: HashMap<u64, Vec<Crash>>,
    /// Fingerprints that this router has answered in full.
    answered: FifoSet,
    /// Fingerprints that any router has cleared.
    cleared: FifoSet,
}

/// A bounded set of fingerprints that evicts in the order of insertion. A repeated insertion does
/// not renew an entry.
#[derive(Debug, Default)]
struct FifoSet {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl FifoSet {
    /// Inserts a fingerprint and evicts the oldest one beyond `limit`.
    fn insert(&mut self, fingerprint: u64, limit: usize) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    fn contains(&self, fingerprint: u64) -> bool {
        self.known.contains(&fingerprint)
    }
}

impl Interruption {
    fn is_recent(&self, now: Millis) -> bool {
        self.at.until(now) < INTERRUPTED_TTL
    }
}

impl Quarantine {
    /// Records that a request was interrupted.
    fn record_interrupted(&mut self, interruption: Interruption) {
        let now = interruption.at;
        let interrupted = self.interrupted.entry(interruption.upstream.clone()).or_default();
        interrupted
            .retain(|known| known.fingerprint != interruption.fingerprint && known.is_recent(now));
        if interrupted.len() < MAX_INTERRUPTED {
            interrupted.push(interruption);
        }
    }

    /// Takes the requests that were recently interrupted at `upstream`.
    fn take_interrupted(&mut self, upstream: &str, now: Millis) -> Vec<Interruption> {
        let interrupted = self.interrupted.remove(upstream).unwrap_or_default();
        interrupted.into_iter().filter(|interruption| interruption.is_recent(now)).collect()
    }

    /// Inserts a crash. Returns the number of crashes of the work if this one is new.
    fn insert(&mut self, crash: Crash) -> Option<usize> {
        if self.crashes.len() >= MAX_CRASHED && !self.crashes.contains_key(&crash.fingerprint) {
            self.evict_oldest();
        }
        let known = self.crashes.entry(crash.fingerprint).or_default();
        if known.iter().any(|other| other.upstream == crash.upstream) {
            return None;
        }
        known.push(crash);
        Some(known.len())
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, crashes)| latest(crashes))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Clears work: drops its crashes and interrupted requests.
    fn clear(&mut self, fingerprint: u64) {
        self.cleared.insert(fingerprint, MAX_CLEARED);
        self.crashes.remove(&fingerprint);
        for interrupted in self.interrupted.values_mut() {
            interrupted.retain(|interruption| interruption.fingerprint != fingerprint);
        }
    }

    /// Drops the crashes of work whose latest crash is older than `ttl`.
    fn expire(&mut self, ttl: Millis, now: Millis) {
        self.crashes.retain(|_, crashes| latest(crashes).until(now) < ttl);
    }
}

/// The time of the latest crash.
fn latest(crashes: &[Crash]) -> Millis {
    crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
}

impl State {
    /// Records that a request was interrupted after it was sent, and requests a liveness check of
    /// its upstream unless one is under way.
    pub(crate) fn record_interrupted_and_check(&mut self, id: u64, now: Millis) -> Option<Effect> {
        let upstream = self.record_interrupted(id, now)?;
        let address = self.upstreams.get(&upstream)?.host.address.clone();
        let first = self.quarantine.checking.insert(upstream.clone());
        first.then_some(Effect::Check { upstream, address })
    }

    /// Records that a request was interrupted. If the upstream has crashed, the liveness check or
    /// the platform's list will show it.
    pub(crate) fn record_interrupted(&mut self, id: u64, now: Millis) -> Option<Arc<str>> {
        if !self.settings.path.monitors_upstreams() {
            return None;
        }
        let request = self.requests.get(&id)?;
        let last = request.tries.last()?;
        let upstream = last.upstream.clone();
        let interruption = Interruption {
            request: request.arrival.request.clone(),
            upstream: upstream.clone(),
            fingerprint: request.arrival.fingerprint,
            parts: request.arrival.parts.clone(),
            sent: last.sent,
            began: last.began,
            at: now,
        };
        self.quarantine.record_interrupted(interruption);
        Some(upstream)
    }

    /// Records the result of a liveness check.
    pub(crate) fn record_liveness(
        &mut self,
        upstream: &Arc<str>,
        liveness: Liveness,
        now: Millis,
    ) -> Vec<Effect> {
        self.quarantine.checking.remove(upstream);
        match liveness {
            Liveness::Dead => self.record_crash(upstream, now),
            Liveness::Alive => {
                self.quarantine.interrupted.remove(upstream);
            }
            Liveness::Unknown => {}
        }
        Vec::new()
    }

    /// Attributes the crash of an upstream to the requests that were interrupted there, and reports
    /// that.
    pub(crate) fn record_crash(&mut self, upstream: &Arc<str>, now: Millis) {
        let interrupted = self.quarantine.take_interrupted(upstream, now);
        let crash = |interruption: &Interruption| Crash {
            fingerprint: interruption.fingerprint,
            upstream: upstream.clone(),
            at: now,
            cleared: false,
            ran: None,
        };
        let mut crashes: Vec<_> = interrupted.iter().map(crash).collect();
        crashes.retain(|crash| !self.clear_if_answered(crash.fingerprint, now));
        crashes.extend(self.attribute_to_parts(&interrupted));
        self.pending_effects.extend(interrupted.into_iter().map(Effect::Interrupted));
        if crashes.is_empty() {
            return;
        }
        self.pending_effects.push(Effect::ReportCrashes(crashes.clone()));
        self.record_crashes(crashes, now);
    }

    /// Records crashes and clearings of this or another router. Times in the future, from a host
    /// whose clock is ahead, count as now.
    pub(crate) fn record_crashes(&mut self, crashes: Vec<Crash>, now: Millis) {
        let duration = Millis(self.settings.quarantine_ms);
        self.quarantine.expire(duration, now);
        let has_parts = crashes.iter().any(Crash::is_of_part);
        for mut crash in crashes {
            crash.at = crash.at.min(now);
            if crash.is_of_part() {
                self.record_part_crash(crash, now);
                continue;
            }
            let fingerprint = crash.fingerprint;
            if crash.cleared {
                self.quarantine.clear(fingerprint);
            }
            if crash.cleared || self.clear_if_answered(fingerprint, now) {
                continue;
            }
            let expired = crash.at.until(now) >= duration;
            let count = if expired { None } else { self.quarantine.insert(crash) };
            if count == Some(self.settings.quarantine_ends) {
                self.pending_effects.push(Effect::Quarantine { fingerprint, duration });
            }
        }
        if has_parts {
            self.update_quarantined_parts(now);
        }
    }

    /// Clears work that this router has answered in full, and reports that to the other routers.
    /// Returns whether the work is cleared.
    fn clear_if_answered(&mut self, fingerprint: u64, now: Millis) -> bool {
        if !self.quarantine.cleared.contains(fingerprint)
            && self.quarantine.answered.contains(fingerprint)
        {
            self.clear(fingerprint, now);
        }
        self.quarantine.cleared.contains(fingerprint)
    }

    /// Records that work was answered in full and so is not the cause of crashes.
    pub(crate) fn mark_answered(&mut self, fingerprint: u64, now: Millis) {
        if !self.settings.path.monitors_upstreams() {
            return;
        }
        self.quarantine.answered.insert(fingerprint, MAX_ANSWERED);
        if self.quarantine.crashes.contains_key(&fingerprint) {
            self.clear(fingerprint, now);
        }
        for interrupted in self.quarantine.interrupted.values_mut() {
            interrupted.retain(|interruption| interruption.fingerprint != fingerprint);
        }
    }

    /// Clears work and reports it to the other routers.
    fn clear(&mut self, fingerprint: u64, now: Millis) {
        self.quarantine.clear(fingerprint);
        self.pending_effects.push(Effect::ReportCleared(Crash::cleared(fingerprint, now)));
    }

    /// The remaining time for which work is quarantined; `None` if it is not.
    pub(crate) fn quarantine_left(&self, fingerprint: u64, now: Millis) -> Option<Millis> {
        let crashes = self.quarantine.crashes.get(&fingerprint)?;
        let duration = Millis(self.settings.quarantine_ms);
        let remaining = now.until(latest(crashes) + duration);
        let quarantined =
            crashes.len() >= self.settings.quarantine_ends && remaining > Millis::ZERO;
        quarantined.then_some(remaining)
    }
}
