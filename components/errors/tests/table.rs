//! The table of error kinds.

use errors::{Answer, Kind, Outcome};

#[test]
fn the_table_is_as_documented() {
    let rows: Vec<_> = Kind::ALL.iter().map(|kind| (kind, kind.row())).collect();
    insta::assert_json_snapshot!(rows);
}

#[test]
fn only_requests_that_did_not_run_are_retried_elsewhere() {
    for kind in Kind::ALL {
        let row = kind.row();
        assert!(!row.elsewhere || row.outcome == Outcome::NotRun, "{kind:?}");
    }
}

#[test]
fn an_answer_contains_a_retry_delay_only_for_kinds_with_one() {
    for kind in Kind::ALL {
        let answer = Answer::new(*kind, "r", 7, "");
        assert_eq!(answer.retry_after_ms.is_some(), kind.row().retry_after, "{kind:?}");
    }
    let answer = Answer::new(Kind::OverBound, "entry-1-0-1", 250, "all are full");
    insta::assert_snapshot!(answer.to_json());
}
