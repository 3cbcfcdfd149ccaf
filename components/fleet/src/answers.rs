//! A cache of the answers to queries of other routers.

use bytes::Bytes;
use clock::Millis;
use edge::Revision;

/// How long an answer is reused: the remaining durations in it are outdated by that much.
const ANSWER_TTL: Millis = Millis(500);

/// Maximum number of cached answers: routers that query at the same time may be at different
/// revisions.
const MAX_ANSWERS: usize = 4;

/// What has changed after `after`, or all facts if it is `None`, up to `revision`.
#[derive(Debug)]
struct Answer {
    after: Option<Revision>,
    revision: Revision,
    at: Millis,
    facts: Bytes,
}

/// The packed facts of recent answers.
#[derive(Debug, Default)]
pub struct AnswerCache {
    answers: Vec<Answer>,
}

impl AnswerCache {
    /// The packed changes from `after` to `revision`, or all facts if `after` is `None`.
    pub fn get(
        &mut self,
        after: Option<Revision>,
        revision: Revision,
        now: Millis,
    ) -> Option<Bytes> {
        self.answers
            .retain(|answer| answer.revision == revision && answer.at.until(now) < ANSWER_TTL);
        let answer = self.answers.iter().find(|answer| answer.after == after)?;
        Some(answer.facts.clone())
    }

    /// Stores an answer for [`AnswerCache::get`].
    pub fn insert(
        &mut self,
        after: Option<Revision>,
        revision: Revision,
        facts: Bytes,
        now: Millis,
    ) {
        self.answers
            .retain(|answer| answer.revision == revision && answer.at.until(now) < ANSWER_TTL);
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push(Answer { after, revision, at: now, facts });
    }

    /// Drops all answers, as needed when the facts change without a new revision.
    pub fn clear(&mut self) {
        self.answers.clear();
    }

    /// The size of all answers in bytes.
    pub fn bytes(&self) -> usize {
        self.answers.iter().map(|answer| answer.facts.len()).sum()
    }
}
