//! How old news of the store may get at a router that hears from others.

use clock::Millis;

/// How long an answer of another router may take to begin beyond its wait for news: one that says
/// nothing is left while the proof that it told last still counts.
pub const ANSWER_TIMEOUT: Millis = Millis(400);

/// How long a router waits for news that is asked as a proof is old: long enough for one that is
/// about to have some.
const ANSWER: Millis = Millis(300);

/// How long an answer may wait for news: a router that looks at the store has some with each look.
const NEWS_WAIT: Millis = Millis(1_200);

/// How old a proof may be until others are asked, however much time there is.
const OLD_PROOF: Millis = Millis(1_800);

/// The least age at which others are asked: a look where the store answers slowly and the pause
/// after it, from the look before on. All that follow know no more then.
const LOOKS: Millis = Millis(1_400);

/// How much sooner than after an outage entries are let go of that are missing after a gap in what
/// was heard: those that live write each 1,200 ms, and are back by then.
const SOONER: Millis = Millis(700);

/// When a router that hears from others has to turn to another one.
///
/// What a router knows is as old as its proof. A router that falls silent is left, and another
/// one asked, before that is too old:
///
/// ```text
/// age of the proof when it was asked + wait for news + ANSWER_TIMEOUT + ANSWER <= lasts
/// ```
///
/// and one whose own proof is old is left at `lasts - ANSWER`.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    lasts: Millis,
}

impl Freshness {
    /// News are too old once their proof is older than `lasts`.
    pub fn new(lasts: Millis) -> Self {
        Self { lasts }
    }

    /// Whether others are to be asked by who has a proof of this age, or none.
    pub fn is_stale(self, proof: Option<Millis>) -> bool {
        let oldest = (self.lasts - ANSWER).clamp(LOOKS, OLD_PROOF);
        proof.is_none_or(|it| it >= oldest)
    }

    /// How long the answer to a question may wait for news that is asked with a proof of this
    /// age, or none; `left` is the time until something is due in any case.
    pub fn wait(self, proof: Option<Millis>, left: Option<Millis>) -> Millis {
        let age = proof.filter(|it| !self.is_stale(Some(*it)));
        let wait = age.map_or(ANSWER, |it| self.lasts - ANSWER - ANSWER_TIMEOUT - it);
        let wait = wait.clamp(ANSWER, NEWS_WAIT);
        left.map_or(wait, |it| it.min(wait))
    }

    /// Since when entries have had time to come back that are missing at `now` after looks have
    /// failed. Where the proof from before is so new that it still counts, the store has not been
    /// away for long, and what is missing is rather gone: it is let go of sooner.
    pub fn grace_start(self, proof: Option<Millis>, now: Millis) -> Millis {
        let counts = proof.filter(|it| *it < self.lasts);
        counts.map_or(now, |it| now - it.min(SOONER))
    }
}
