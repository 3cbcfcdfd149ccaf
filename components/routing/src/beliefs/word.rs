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
pub(crate) struct Word {
    /// Whether it leaves, which is for good: a later start has another name.
    leaves: bool,
    /// Until when it wants nothing of this router.
    rests_until: Millis,
}

impl Word {
    /// Whether it leaves.
    pub(crate) fn leaves(self) -> bool {
        self.leaves
    }

    /// For how much longer it wants nothing of this router.
    pub(crate) fn rest(self, now: Millis) -> Millis {
        now.until(self.rests_until)
    }

    /// Whether it wants nothing of this router now.
    pub(crate) fn rests(self, now: Millis) -> bool {
        self.rest(now) > Millis::ZERO
    }
}

/// The words of upstreams, by the names of their starts. They outlast entries of the platform's
/// list, which lapse in its outages and come back.
#[derive(Debug, Default)]
pub(crate) struct Words {
    known: IndexMap<Arc<str>, Word>,
}

impl Words {
    /// What an upstream has said.
    pub(crate) fn of(&self, upstream: &str) -> Word {
        self.known.get(upstream).copied().unwrap_or_default()
    }

    /// Replaces what an upstream has said.
    fn put(&mut self, upstream: &Arc<str>, word: Word, now: Millis) {
        if self.known.len() >= MOST && !self.known.contains_key(upstream) {
            self.make_room(now);
        }
        self.known.insert(upstream.clone(), word);
    }

    /// Forgets rests that are over, or else what was said first.
    fn make_room(&mut self, now: Millis) {
        self.known.retain(|_, it| it.leaves || it.rests(now));
        if self.known.len() >= MOST {
            self.known.shift_remove_index(0);
        }
    }
}

impl State {
    /// An upstream has said with an answer that it leaves.
    pub(crate) fn take_leave(&mut self, upstream: &Arc<str>, now: Millis) {
        let word = self.words.of(upstream);
        if !word.leaves {
            self.pending_effects.push(Effect::Leaving { upstream: upstream.clone() });
            self.take_word(upstream, Word { leaves: true, ..word }, now);
        }
    }

    /// An upstream has asked with an answer to be sent nothing for `lasts`; a rest that it asked
    /// for before is kept to its end.
    pub(crate) fn take_rest(&mut self, upstream: &Arc<str>, lasts: Millis, now: Millis) {
        let word = self.words.of(upstream);
        let rests_until = now + lasts;
        if rests_until > word.rests_until {
            self.pending_effects
                .push(Effect::Backoff { upstream: upstream.clone(), duration: lasts });
            self.take_word(upstream, Word { rests_until, ..word }, now);
        }
    }

    fn take_word(&mut self, upstream: &Arc<str>, word: Word, now: Millis) {
        self.words.put(upstream, word, now);
        if let Some(it) = self.upstreams.get_mut(upstream) {
            it.word = word;
        }
    }

    /// Gives upstreams that are listed what they have said before.
    pub(crate) fn recall_words(&mut self) {
        for (name, upstream) in &mut self.upstreams {
            upstream.word = self.words.of(name);
        }
    }

    /// Whether an upstream that a request was ranked for may be sent nothing any more.
    pub(crate) fn takes_nothing(&self, upstream: &str, now: Millis) -> bool {
        let takes_nothing = |it: &Upstream| it.evacuated || it.word.leaves() || it.word.rests(now);
        self.upstreams.get(upstream).is_some_and(takes_nothing)
    }
}
