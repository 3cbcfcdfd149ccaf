//! Equal answers are made only once.

use bytes::Bytes;
use clock::Millis;
use edge::{Era, Revision};
use fleet::AnswerCache;

const NOW: Revision = Revision { era: Era(0), number: 90 };

fn at(number: u64) -> Revision {
    Revision { number, ..NOW }
}

/// Answers queries for the changes after each of `queries`; returns how many answers were made.
fn answer(answers: &mut AnswerCache, queries: &[Option<Revision>], now: Millis) -> usize {
    let mut made = 0;
    for after in queries {
        if answers.get(*after, NOW, now).is_none() {
            made += 1;
            answers.insert(*after, NOW, Bytes::from_static(b"facts"), now);
        }
    }
    made
}

#[test]
fn reuses_answers_for_several_revisions() {
    let mut answers = AnswerCache::default();
    let queries = [None, Some(80), Some(85), None, Some(80), None, Some(85), None]
        .map(|number| number.map(at));
    assert_eq!(answer(&mut answers, &queries, Millis(1)), 3);
    assert_eq!(answer(&mut answers, &queries, Millis(400)), 0);
}

#[test]
fn drops_answers_after_a_while_and_with_a_new_revision() {
    let mut answers = AnswerCache::default();
    assert_eq!(answer(&mut answers, &[None, None], Millis(1)), 1);
    assert_eq!(answer(&mut answers, &[None, None], Millis(600)), 1);
    let later = Revision { number: 91, ..NOW };
    assert_eq!(answers.get(None, later, Millis(601)), None);
    assert_eq!(answers.get(None, NOW, Millis(602)), None);
}

#[test]
fn keeps_few_answers_for_any_number_of_revisions() {
    let mut answers = AnswerCache::default();
    let queries: Vec<_> = (0..1_000).map(|number| Some(at(number))).collect();
    answer(&mut answers, &queries, Millis(1));
    assert!(answers.bytes() <= 4 * b"facts".len(), "{} bytes", answers.bytes());
}
