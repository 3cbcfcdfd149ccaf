//! What upstreams say of themselves with their answers: that they leave, or want nothing for a
//! while.
//!
//! Nothing else tells a router in time. The platform's list has those that leave later, or never,
//! and a rest is asked of one router alone. Without it an upstream that turns requests away draws
//! more of them, since what was refused is no load there: one got eleven within two seconds of
//! asking for a rest of three.

use std::sync::Arc;

use clock::Millis;
use indexmap::IndexMap;

use crate::Effect;
use crate::beliefs::upstream::Upstream;
use crate::state::State;

/// The most upstreams whose word is remembered: about 0.5 MB.
const MOST: usize = 4_096;

/// What an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Whether it leaves, which is for good: a later start has another name.
    leaves: bool,
    /// Until when it wants nothing of this router.
    rests_until: Millis,
}

impl Notice {
    /// Whether it leaves.
    pub(crate) fn is_leaving(self) -> bool {
        self.leaves
    }

    /// For how much longer it wants nothing of this router.
    pub(crate) fn backoff(self, now: Millis) -> Millis {
        now.until(self.rests_until)
    }

    /// Whether it wants nothing of this router now.
    pub(crate) fn is_backing_off(self, now: Millis) -> bool {
        self.backoff(now) > Millis::ZERO
    }
}

/// The words of upstreams, by the names of their starts. They outlast entries of the platform's
/// list, which lapse in its outages and come back.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    known: IndexMap<Arc<str>, Notice>,
}

impl Notices {
    /// What an upstream has said.
    pub(crate) fn of(&self, upstream: &str) -> Notice {
        self.known.get(upstream).copied().unwrap_or_default()
    }

    /// Replaces what an upstream has said.
    fn put(&mut self, upstream: &Arc<str>, word: Notice, now: Millis) {
        if self.known.len() >= MOST && !self.known.contains_key(upstream) {
            self.make_room(now);
        }
        self.known.insert(upstream.clone(), word);
    }

    /// Forgets rests that are over, or else what was said first.
    fn make_room(&mut self, now: Millis) {
        self.known.retain(|_, it| it.leaves || it.is_backing_off(now));
        if self.known.len() >= MOST {
            self.known.shift_remove_index(0);
        }
    }
}

impl State {
    /// An upstream has said with an answer that it leaves.
    pub(crate) fn record_leaving(&mut self, upstream: &Arc<str>, now: Millis) {
        let word = self.upstream_notices.of(upstream);
        if !word.leaves {
            self.pending_effects.push(Effect::Leaving { upstream: upstream.clone() });
            self.take_word(upstream, Notice { leaves: true, ..word }, now);
        }
    }

    /// An upstream has asked with an answer to be sent nothing for `lasts`; a rest that it asked
    /// for before is kept to its end.
    pub(crate) fn record_backoff(&mut self, upstream: &Arc<str>, lasts: Millis, now: Millis) {
        let word = self.upstream_notices.of(upstream);
        let rests_until = now + lasts;
        if rests_until > word.rests_until {
            self.pending_effects
                .push(Effect::Backoff { upstream: upstream.clone(), duration: lasts });
            self.take_word(upstream, Notice { rests_until, ..word }, now);
        }
    }

    fn take_word(&mut self, upstream: &Arc<str>, word: Notice, now: Millis) {
        self.upstream_notices.put(upstream, word, now);
        if let Some(it) = self.upstreams.get_mut(upstream) {
            it.notice = word;
        }
    }

    /// Gives upstreams that are listed what they have said before.
    pub(crate) fn restore_notices(&mut self) {
        for (name, upstream) in &mut self.upstreams {
            upstream.notice = self.upstream_notices.of(name);
        }
    }

    /// Whether an upstream that a request was ranked for may be sent nothing any more.
    pub(crate) fn is_closed(&self, upstream: &str, now: Millis) -> bool {
        let takes_nothing =
            |it: &Upstream| it.evacuated || it.notice.is_leaving() || it.notice.is_backing_off(now);
        self.upstreams.get(upstream).is_some_and(takes_nothing)
    }
}
