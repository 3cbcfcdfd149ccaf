//! Answers that several routers get are made once.

use bytes::Bytes;
use clock::Millis;
use edge::{Era, Revision};
use fleet::AnswerCache;

const NOW: Revision = Revision { era: Era(0), number: 90 };

fn at(number: u64) -> Revision {
    Revision { number, ..NOW }
}

/// Answers questions of routers that know `after` at `now`; returns how many answers were made.
fn answer(answers: &mut AnswerCache, questions: &[Option<Revision>], now: Millis) -> usize {
    let mut made = 0;
    for after in questions {
        if answers.get(*after, NOW, now).is_none() {
            made += 1;
            answers.insert(*after, NOW, Bytes::from_static(b"facts"), now);
        }
    }
    made
}

#[test]
fn routers_that_know_different_revisions_are_answered_from_what_was_made_before() {
    let mut answers = AnswerCache::default();
    let questions =
        [None, Some(80), Some(85), None, Some(80), None, Some(85), None].map(|it| it.map(at));
    assert_eq!(answer(&mut answers, &questions, Millis(1)), 3);
    assert_eq!(answer(&mut answers, &questions, Millis(400)), 0);
}

#[test]
fn an_answer_ends_with_its_revision_and_after_a_while() {
    let mut answers = AnswerCache::default();
    assert_eq!(answer(&mut answers, &[None, None], Millis(1)), 1);
    assert_eq!(answer(&mut answers, &[None, None], Millis(600)), 1);
    let later = Revision { number: 91, ..NOW };
    assert_eq!(answers.get(None, later, Millis(601)), None);
    assert_eq!(answers.get(None, NOW, Millis(602)), None);
}

#[test]
fn few_answers_are_kept_however_many_revisions_are_asked_for() {
    let mut answers = AnswerCache::default();
    let questions: Vec<_> = (0..1_000).map(|it| Some(at(it))).collect();
    answer(&mut answers, &questions, Millis(1));
    assert!(answers.bytes() <= 4 * b"facts".len(), "{} bytes", answers.bytes());
}
