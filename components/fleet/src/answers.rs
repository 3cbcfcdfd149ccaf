//! Answers that several routers get.

use bytes::Bytes;
use clock::Millis;
use edge::Revision;

/// How long an answer may be given again: what it says is left of times is older by that.
const LASTS: Millis = Millis(500);

/// The most answers that are kept: routers that ask at the same time know different revisions.
const MOST: usize = 4;

/// An answer to those that know `after`, or nothing, from a router that has come to `revision`.
#[derive(Debug)]
struct Answer {
    after: Option<Revision>,
    revision: Revision,
    at: Millis,
    facts: Bytes,
}

/// The answers that were given lately.
#[derive(Debug, Default)]
pub struct AnswerCache {
    kept: Vec<Answer>,
}

impl AnswerCache {
    /// What those get that know `after`, or nothing, from a router that has come to `revision`.
    pub fn get(
        &mut self,
        after: Option<Revision>,
        revision: Revision,
        now: Millis,
    ) -> Option<Bytes> {
        self.kept.retain(|it| it.revision == revision && it.at.until(now) < LASTS);
        let answer = self.kept.iter().find(|it| it.after == after)?;
        Some(answer.facts.clone())
    }

    /// Keeps an answer; see [`AnswerCache::get`].
    pub fn insert(
        &mut self,
        after: Option<Revision>,
        revision: Revision,
        facts: Bytes,
        now: Millis,
    ) {
        self.kept.retain(|it| it.revision == revision && it.at.until(now) < LASTS);
        if self.kept.len() >= MOST {
            self.kept.remove(0);
        }
        self.kept.push(Answer { after, revision, at: now, facts });
    }

    /// Forgets all: what they say has changed.
    pub fn clear(&mut self) {
        self.kept.clear();
    }

    /// How many bytes are kept.
    pub fn bytes(&self) -> usize {
        self.kept.iter().map(|it| it.facts.len()).sum()
    }
}
