//! Work under which upstreams end, one after the other, is held back.
//!
//! A request may have every upstream end that begins to run it, and with each of them all else
//! that is answered there. Its caller sends it again under a new id, to whichever router comes
//! next. So what is remembered goes by the work that was asked for, not by the request, and
//! routers tell each other through the platform's store.
//!
//! Work that was ever answered in full is not why upstreams end: it is cleared, at all routers.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::Effect;
use crate::state::State;

/// How long after a request broke off the end of its upstream may still be learnt. Entries of
/// upstreams that have ended lapse within 4 s on the sites.
const DOUBT: Millis = Millis(10_000);

/// The most requests that are remembered for an upstream which may have ended; engines of the
/// sites run 64 at once.
const MOST_DOUBTS: usize = 256;

/// The most works of which ends are remembered: about 1 MB.
const MOST_WORKS: usize = 4_096;

/// The most works that are remembered as answered in full: about 200 KB.
const MOST_ANSWERED: usize = 8_192;

/// The most works that are remembered as cleared.
const MOST_CLEARED: usize = 4_096;

/// An upstream ended while it had a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The hash of the work that the request asked for.
    #[serde(rename = "content")]
    pub fingerprint: u64,
    /// The upstream, by the name of one start.
    pub upstream: Arc<str>,
    /// When the end was learnt, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Set where it is no end: the work was answered in full, which clears it. There is no
    /// upstream then.
    #[serde(default)]
    pub cleared: bool,
}

impl Crash {
    /// Says at `at` that work is cleared.
    pub fn cleared(fingerprint: u64, at: Millis) -> Self {
        Self { fingerprint, upstream: "".into(), at, cleared: true }
    }
}

/// Whether an upstream still takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// A connection could be opened.
    Alive,
    /// Its host says that nobody listens there.
    Dead,
    /// Nothing came back.
    Unknown,
}

/// What is remembered of requests that broke off with their upstreams.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Work that broke off, and when, by the upstream of which it is not known yet whether it
    /// has ended.
    doubts: HashMap<Arc<str>, Vec<(u64, Millis)>>,
    /// The upstreams that are being checked.
    checking: BTreeSet<Arc<str>>,
    /// The ends of upstreams under each work.
    crashes: HashMap<u64, Vec<Crash>>,
    /// Work that this router has passed on whole answers to.
    answered: Recent,
    /// Work of which some router has said so.
    cleared: Recent,
}

/// Some works: those that came first are forgotten first.
#[derive(Debug, Default)]
struct Recent {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Recent {
    /// Remembers `fingerprint`, and no more than `most` works.
    fn put(&mut self, fingerprint: u64, most: usize) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > most
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    fn has(&self, fingerprint: u64) -> bool {
        self.known.contains(&fingerprint)
    }
}

impl Quarantine {
    /// Remembers that `fingerprint` broke off at `upstream`.
    fn doubt(&mut self, fingerprint: u64, upstream: &Arc<str>, now: Millis) {
        let doubts = self.doubts.entry(upstream.clone()).or_default();
        doubts.retain(|(it, at)| *it != fingerprint && at.until(now) < DOUBT);
        if doubts.len() < MOST_DOUBTS {
            doubts.push((fingerprint, now));
        }
    }

    /// The work that broke off lately at `upstream`, which is forgotten with it.
    fn settle(&mut self, upstream: &str, now: Millis) -> Vec<u64> {
        let doubts = self.doubts.remove(upstream).unwrap_or_default();
        let recent = doubts.into_iter().filter(|(_, at)| at.until(now) < DOUBT);
        recent.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Takes an end. Returns under how many ends the work was then, if this one is new.
    fn learn(&mut self, crash: Crash) -> Option<usize> {
        if self.crashes.len() >= MOST_WORKS && !self.crashes.contains_key(&crash.fingerprint) {
            self.drop_oldest();
        }
        let known = self.crashes.entry(crash.fingerprint).or_default();
        if known.iter().any(|it| it.upstream == crash.upstream) {
            return None;
        }
        known.push(crash);
        Some(known.len())
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, it)| latest(it)).map(|(it, _)| *it);
        if let Some(fingerprint) = oldest {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Forgets that upstreams ended under `fingerprint`.
    fn clear(&mut self, fingerprint: u64) {
        self.cleared.put(fingerprint, MOST_CLEARED);
        self.crashes.remove(&fingerprint);
        for doubts in self.doubts.values_mut() {
            doubts.retain(|(it, _)| *it != fingerprint);
        }
    }

    /// Drops work whose last end is older than `lasts`.
    fn expire(&mut self, lasts: Millis, now: Millis) {
        self.crashes.retain(|_, it| latest(it).until(now) < lasts);
    }
}

/// When the last of some ends was learnt.
fn latest(crashes: &[Crash]) -> Millis {
    crashes.iter().map(|it| it.at).max().unwrap_or_default()
}

impl State {
    /// The attempt of a request broke off after it was sent. What the upstream is to be checked
    /// for, unless that is under way.
    pub(crate) fn check_interrupted(&mut self, id: u64, now: Millis) -> Option<Effect> {
        let upstream = self.record_interrupted(id, now)?;
        let address = self.upstreams.get(&upstream)?.host.address.clone();
        let first = self.quarantine.checking.insert(upstream.clone());
        first.then_some(Effect::Check { upstream, address })
    }

    /// Nothing comes of an attempt any more: its upstream may have ended without a word, which
    /// the platform's list will tell.
    pub(crate) fn record_interrupted(&mut self, id: u64, now: Millis) -> Option<Arc<str>> {
        if !self.settings.path.monitors_upstreams() {
            return None;
        }
        let request = self.requests.get(&id)?;
        let (fingerprint, upstream) = (request.arrival.fingerprint, request.upstream()?.clone());
        self.quarantine.doubt(fingerprint, &upstream, now);
        Some(upstream)
    }

    /// An upstream was checked.
    pub(crate) fn record_liveness(
        &mut self,
        upstream: &Arc<str>,
        check: Liveness,
        now: Millis,
    ) -> Vec<Effect> {
        self.quarantine.checking.remove(upstream);
        match check {
            Liveness::Dead => self.record_crash(upstream, now),
            Liveness::Alive => {
                self.quarantine.doubts.remove(upstream);
            }
            Liveness::Unknown => {}
        }
        Vec::new()
    }

    /// An upstream has ended: what broke off there may be why.
    pub(crate) fn record_crash(&mut self, upstream: &Arc<str>, now: Millis) {
        let crash = |fingerprint| Crash {
            fingerprint,
            upstream: upstream.clone(),
            at: now,
            cleared: false,
        };
        let mut crashes: Vec<_> =
            self.quarantine.settle(upstream, now).into_iter().map(crash).collect();
        crashes.retain(|it| !self.is_innocent(it.fingerprint, now));
        if crashes.is_empty() {
            return;
        }
        self.pending_effects.push(Effect::ReportCrashes(crashes.clone()));
        self.record_crashes(crashes, now);
    }

    /// Takes ends of upstreams, this router's own or another's. A time that has not come yet
    /// is another host's clock.
    pub(crate) fn record_crashes(&mut self, crashes: Vec<Crash>, now: Millis) {
        let lasts = Millis(self.settings.quarantine_ms);
        self.quarantine.expire(lasts, now);
        for mut crash in crashes {
            let fingerprint = crash.fingerprint;
            if crash.cleared {
                self.quarantine.clear(fingerprint);
            }
            if crash.cleared || self.is_innocent(fingerprint, now) {
                continue;
            }
            crash.at = crash.at.min(now);
            let old = crash.at.until(now) >= lasts;
            let ends = if old { None } else { self.quarantine.learn(crash) };
            if ends == Some(self.settings.quarantine_ends) {
                self.pending_effects.push(Effect::Quarantine { fingerprint, duration: lasts });
            }
        }
    }

    /// Whether work was answered in full; if this router has done so, it tells the others.
    fn is_innocent(&mut self, fingerprint: u64, now: Millis) -> bool {
        if !self.quarantine.cleared.has(fingerprint) && self.quarantine.answered.has(fingerprint) {
            self.tell_cleared(fingerprint, now);
        }
        self.quarantine.cleared.has(fingerprint)
    }

    /// A whole answer to `fingerprint` was passed on: it is not why upstreams end.
    pub(crate) fn mark_answered(&mut self, fingerprint: u64, now: Millis) {
        if !self.settings.path.monitors_upstreams() {
            return;
        }
        self.quarantine.answered.put(fingerprint, MOST_ANSWERED);
        if self.quarantine.crashes.contains_key(&fingerprint) {
            self.tell_cleared(fingerprint, now);
        }
        for doubts in self.quarantine.doubts.values_mut() {
            doubts.retain(|(it, _)| *it != fingerprint);
        }
    }

    fn tell_cleared(&mut self, fingerprint: u64, now: Millis) {
        self.quarantine.clear(fingerprint);
        self.pending_effects.push(Effect::ReportCleared(Crash::cleared(fingerprint, now)));
    }

    /// For how much longer work is held back; `None` if it is not.
    pub(crate) fn quarantine_left(&self, fingerprint: u64, now: Millis) -> Option<Millis> {
        let crashes = self.quarantine.crashes.get(&fingerprint)?;
        let lasts = Millis(self.settings.quarantine_ms);
        let left = now.until(latest(crashes) + lasts);
        let held = crashes.len() >= self.settings.quarantine_ends && left > Millis::ZERO;
        held.then_some(left)
    }
}
