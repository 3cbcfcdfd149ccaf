//! Quarantine of prompt parts that crash upstreams.
//!
//! A part of prompts may crash every upstream that begins to answer a request with it, while the
//! requests differ in all else. A crash is attributed to the parts of all prompts whose answers had
//! not begun or had only just begun. An answer in full shows that the parts of its prompt are
//! harmless.
//!
//! Several parts can share the same crashes. Requests are then refused only if their prompts have
//! all of these parts, so that the others show which one it is: by a crash or by an answer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use clock::Millis;

use crate::recovery::quarantine::{Crash, Interruption};
use crate::state::State;
use crate::{Arrival, Effect};

/// How long an answer has to go on until it shows that its prompt does not crash the upstream.
const MIN_HARMLESS_RUN: Millis = Millis(1_000);

/// How long an answer in full shows that a part is harmless, as upstreams may be replaced by others
/// that it crashes.
const ANSWER_TTL: Millis = Millis(30_000);

/// Minimum time between two records of answers with the same part.
const ANSWER_INTERVAL: Millis = Millis(1_000);

/// Maximum number of parts that are kept as answered in full; the oldest are evicted.
const MAX_ANSWERED: usize = 16_384;

/// Maximum number of parts with crashes; that with the oldest crash is evicted.
const MAX_CRASHED: usize = 4_096;

/// Crashes by prompt part, and the parts that are quarantined for them.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    crashes: HashMap<u64, Vec<Crash>>,
    /// Parts of prompts that this router answered in full.
    answered: Answers,
    /// Parts that other routers reported as answered in full.
    cleared: Answers,
    /// Quarantined sets of parts, and when their quarantine ends.
    quarantined: BTreeMap<Vec<u64>, Millis>,
}

/// The latest answer in full by part.
#[derive(Debug, Default)]
struct Answers {
    latest: HashMap<u64, Millis>,
    /// The recorded answers in order; those that are not the latest of their part are obsolete.
    order: VecDeque<(u64, Millis)>,
}

impl Answers {
    /// Records an answer at `at`, unless one is known that is hardly older.
    fn record(&mut self, part: u64, at: Millis) {
        let known = self.latest.get(&part);
        if known.is_some_and(|known| at < *known + ANSWER_INTERVAL) {
            return;
        }
        self.latest.insert(part, at);
        self.order.push_back((part, at));
        while self.order.len() > MAX_ANSWERED {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((part, at)) = self.order.pop_front() else { return };
        if self.latest.get(&part) == Some(&at) {
            self.latest.remove(&part);
        }
    }

    /// Whether an answer shows that the part did not cause a crash at `at`.
    fn excludes(&self, part: u64, at: Millis) -> bool {
        self.latest.get(&part).is_some_and(|answered| *answered + ANSWER_TTL > at)
    }
}

impl Parts {
    /// Inserts a crash; returns whether it is new.
    fn insert(&mut self, crash: Crash) -> bool {
        if self.crashes.len() >= MAX_CRASHED && !self.crashes.contains_key(&crash.fingerprint) {
            self.evict_oldest();
        }
        let known = self.crashes.entry(crash.fingerprint).or_default();
        let is_new = known.iter().all(|other| other.upstream != crash.upstream);
        if is_new {
            known.push(crash);
        }
        is_new
    }

    fn evict_oldest(&mut self) {
        let latest = |crashes: &[Crash]| crashes.iter().map(|crash| crash.at).max();
        let oldest = self.crashes.iter().min_by_key(|(_, crashes)| latest(crashes));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.crashes.remove(&part);
        }
    }

    /// Drops crashes that are older than `ttl`.
    fn expire(&mut self, ttl: Millis, now: Millis) {
        for crashes in self.crashes.values_mut() {
            crashes.retain(|crash| crash.at.until(now) < ttl);
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
    }

    /// Drops the crashes that an answer shows not to be of the part. Clearings are read again with
    /// each change of their router's report, so that later crashes stay.
    fn drop_excluded(&mut self, part: u64) {
        let (answered, cleared) = (&self.answered, &self.cleared);
        if let Some(crashes) = self.crashes.get_mut(&part) {
            crashes.retain(|crash| {
                !answered.excludes(part, crash.at) && !cleared.excludes(part, crash.at)
            });
        }
    }

    /// Whether an answer of any router shows that the part did not cause a crash at `at`.
    fn is_harmless(&self, part: u64, at: Millis) -> bool {
        self.answered.excludes(part, at) || self.cleared.excludes(part, at)
    }

    /// The sets of parts that crash upstreams, each with the time of its latest crash.
    ///
    /// The part with most crashes is taken, or a part with nearly all of its crashes: fewer prompts
    /// have that, and the other crashes alone don't suffice. With it come all parts that share its
    /// crashes. What they explain does not count for further sets.
    fn find_crashing(&self, threshold: usize) -> BTreeMap<Vec<u64>, Millis> {
        let mut suspects: Vec<_> = self
            .crashes
            .iter()
            .filter(|(_, crashes)| crashes.len() >= threshold)
            .map(|(part, crashes)| self.suspect(*part, crashes))
            .collect();
        let mut crashing = BTreeMap::new();
        while let Some(first) = find_first(&suspects, threshold) {
            let parts = suspects.iter().filter(|suspect| suspect.has_all_of(&first));
            let mut parts: Vec<_> = parts.map(|suspect| suspect.part).collect();
            parts.sort_unstable();
            let latest = first.crashes.last().map(|crash| crash.at).unwrap_or_default();
            crashing.insert(parts, latest);
            for suspect in &mut suspects {
                suspect.crashes = suspect.without(&first);
            }
        }
        crashing
    }

    /// The crashes of a part that no answer excludes, in order of time.
    fn suspect<'a>(&self, part: u64, crashes: &'a [Crash]) -> Suspect<'a> {
        let mut crashes: Vec<_> =
            crashes.iter().filter(|crash| !self.is_harmless(part, crash.at)).collect();
        crashes.sort_by_key(|crash| crash.at);
        Suspect { part, crashes }
    }
}

/// A part that may crash upstreams.
#[derive(Clone, Debug)]
struct Suspect<'a> {
    part: u64,
    /// Its unexplained crashes, in order of time.
    crashes: Vec<&'a Crash>,
}

impl<'a> Suspect<'a> {
    fn count(&self) -> usize {
        count_separate(&self.crashes)
    }

    fn has_crash_of(&self, upstream: &str) -> bool {
        self.crashes.iter().any(|crash| &*crash.upstream == upstream)
    }

    /// Whether all crashes of the other part are crashes of this one.
    fn has_all_of(&self, other: &Suspect<'_>) -> bool {
        other.crashes.iter().all(|crash| self.has_crash_of(&crash.upstream))
    }

    /// The crashes of this part that are not crashes of the other.
    fn without(&self, other: &Suspect<'_>) -> Vec<&'a Crash> {
        let is_other = |crash: &&&Crash| !other.has_crash_of(&crash.upstream);
        self.crashes.iter().filter(is_other).copied().collect()
    }
}

/// The part to quarantine first, if one has at least `threshold` crashes.
fn find_first<'a>(suspects: &[Suspect<'a>], threshold: usize) -> Option<Suspect<'a>> {
    let rank = |suspect: &&Suspect<'a>| (suspect.count(), suspect.crashes.len(), suspect.part);
    let broadest = suspects.iter().max_by_key(rank)?;
    if broadest.count() < threshold {
        return None;
    }
    let is_narrower = |suspect: &&Suspect<'a>| {
        suspect.crashes.len() < broadest.crashes.len()
            && suspect.count() >= threshold
            && broadest.has_all_of(suspect)
            && count_separate(&broadest.without(suspect)) < threshold
    };
    let narrower = suspects.iter().filter(is_narrower).max_by_key(rank);
    Some(narrower.unwrap_or(broadest).clone())
}

/// The largest number of these crashes, in order of time, whose runs don't overlap. Upstreams that
/// fail together for another reason crash under runs that do.
fn count_separate(crashes: &[&Crash]) -> usize {
    let mut count = 0;
    let mut last = Millis::ZERO;
    for crash in crashes {
        if crash.at - crash.ran.unwrap_or_default() >= last {
            count += 1;
            last = crash.at;
        }
    }
    count
}

impl Interruption {
    /// Whether the prompt may have crashed the upstream as its answer began.
    fn is_suspect(&self) -> bool {
        self.began.is_none_or(|began| began.until(self.at) < MIN_HARMLESS_RUN)
    }

    /// The crash by part of the prompt.
    fn part_crashes(&self) -> impl Iterator<Item = Crash> {
        let ran = Some(self.sent.until(self.at));
        self.parts.iter().map(move |part| Crash {
            fingerprint: *part,
            upstream: self.upstream.clone(),
            at: self.at,
            cleared: false,
            ran,
        })
    }
}

impl State {
    /// The crash of an upstream by prompt part: the longest run with each part that this router has
    /// not answered lately.
    pub(crate) fn attribute_to_parts(&self, interrupted: &[Interruption]) -> Vec<Crash> {
        if self.settings.quarantine_part_crashes == 0 {
            return Vec::new();
        }
        let mut longest: BTreeMap<u64, Crash> = BTreeMap::new();
        let suspects = interrupted.iter().filter(|interruption| interruption.is_suspect());
        for crash in suspects.flat_map(Interruption::part_crashes) {
            if self.parts.is_harmless(crash.fingerprint, crash.at) {
                continue;
            }
            let known = longest.entry(crash.fingerprint).or_insert_with(|| crash.clone());
            if known.ran < crash.ran {
                *known = crash;
            }
        }
        longest.into_values().collect()
    }

    /// Records a crash or clearing of a prompt part by this or another router.
    pub(crate) fn record_part_crash(&mut self, crash: Crash, now: Millis) {
        if self.settings.quarantine_part_crashes == 0 {
            return;
        }
        let part = crash.fingerprint;
        if crash.cleared {
            self.parts.cleared.record(part, crash.at);
            self.parts.drop_excluded(part);
        } else if self.parts.insert(crash) {
            self.clear_part_if_answered(part, now);
        }
    }

    /// Records that a request was answered in full, so that none of its parts crashes upstreams.
    pub(crate) fn mark_parts_answered(&mut self, parts: &[u64], now: Millis) {
        for part in parts {
            self.parts.answered.record(*part, now);
            self.clear_part_if_answered(*part, now);
        }
    }

    /// Reports a part with several crashes as harmless if this router has answered it lately. One
    /// crash quarantines nothing and is not worth a report of every router.
    fn clear_part_if_answered(&mut self, part: u64, now: Millis) {
        let Some(crashes) = self.parts.crashes.get(&part) else { return };
        let is_several = crashes.len() + 1 >= self.settings.quarantine_part_crashes;
        if !is_several || !self.parts.answered.excludes(part, now) {
            return;
        }
        self.parts.drop_excluded(part);
        let clearing = Crash::cleared_part(part, now);
        self.pending_effects.push(Effect::ReportCleared(clearing));
        self.update_quarantined_parts(now);
    }

    /// Finds which sets of parts are quarantined, and reports those that were not or no longer are.
    pub(crate) fn update_quarantined_parts(&mut self, now: Millis) {
        let threshold = self.settings.quarantine_part_crashes;
        if threshold == 0 {
            return;
        }
        let duration = Millis(self.settings.quarantine_ms);
        self.parts.expire(duration, now);
        let crashing = self.parts.find_crashing(threshold);
        let quarantined: BTreeMap<Vec<u64>, Millis> =
            crashing.into_iter().map(|(parts, latest)| (parts, latest + duration)).collect();
        let before = std::mem::replace(&mut self.parts.quarantined, quarantined);
        let after = &self.parts.quarantined;
        let added = after.iter().filter(|(parts, _)| !before.contains_key(*parts));
        let added = added.map(|(parts, until)| Effect::QuarantineParts {
            parts: parts.clone(),
            duration: now.until(*until),
        });
        let released = before.keys().filter(|parts| !after.contains_key(*parts));
        let released = released.map(|parts| Effect::ReleaseParts { parts: parts.clone() });
        self.pending_effects.extend(added.chain(released));
    }

    /// The remaining time for which a request is refused, as its work or all parts of a set in its
    /// prompt are quarantined; `None` if neither is.
    pub(crate) fn held_back_for(&self, arrival: &Arrival, now: Millis) -> Option<Millis> {
        let work = self.quarantine_left(arrival.fingerprint, now);
        let has_all = |parts: &[u64]| parts.iter().all(|part| arrival.parts.contains(part));
        let quarantined = self.parts.quarantined.iter();
        let until = quarantined.filter(|(parts, _)| has_all(parts)).map(|(_, until)| *until).max();
        let parts = until.filter(|until| *until > now).map(|until| now.until(until));
        work.max(parts)
    }
}
