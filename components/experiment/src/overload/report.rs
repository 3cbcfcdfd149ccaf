//! The report of a run.

use clock::Millis;
use serde::Serialize;

/// The results of the requests that were first sent in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests, without retries.
    pub asked: u64,
    /// Answers that began within the objective.
    pub in_time: u64,
    /// Answers that began after the objective.
    pub late: u64,
    /// Requests that were refused, also on their retry.
    pub refused: u64,
    /// Requests that timed out or failed.
    pub failed: u64,
}

/// The result of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    InTime,
    Late,
    Refused,
    Failed,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The results by the second of the first attempt.
    pub seconds: Vec<Second>,
    /// Requests that were in progress at their caller's deadline.
    pub expired: u64,
    /// The maximum load of an engine, in requests.
    pub fullest: u64,
    /// The prefix tokens that engines prefilled.
    pub read: u64,
}

impl Report {
    /// Returns the sum of all seconds.
    pub fn total(&self) -> Second {
        self.seconds.iter().fold(Second::default(), Second::merge)
    }

    /// Returns the entry for the time `at`.
    fn second_mut(&mut self, at: Millis) -> &mut Second {
        let index = usize::try_from(at.0 / 1_000).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// Counts a request that is first sent at `at`.
    pub(crate) fn record_arrival(&mut self, at: Millis) {
        self.second_mut(at).asked += 1;
    }

    /// Counts the result of a request that was first sent at `at`.
    pub(crate) fn record_end(&mut self, at: Millis, end: End) {
        let second = self.second_mut(at);
        match end {
            End::InTime => second.in_time += 1,
            End::Late => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let head = "second   asked in time    late refused  failed\n";
        let line = |name: String, second: &Second| {
            let Second { asked, in_time, late, refused, failed } = second;
            format!("{name:>6} {asked:>7} {in_time:>7} {late:>7} {refused:>7} {failed:>7}\n")
        };
        let lines = self.seconds.iter().enumerate();
        let lines: String = lines.map(|(index, second)| line(index.to_string(), second)).collect();
        let all = line("all".to_owned(), &self.total());
        let Self { expired, fullest, read, .. } = self;
        format!(
            "{head}{lines}{all}tries that expired: {expired}; most at an engine: {fullest}; \
             shared tokens read: {read}\n"
        )
    }
}

impl Second {
    /// Returns the sum of both.
    fn merge(self, other: &Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}
