//! What a run has shown.

use clock::Millis;
use serde::Serialize;

/// What became of the requests that callers sent first in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests, without those that come back.
    pub asked: u64,
    /// Answers that began within the objective.
    pub in_time: u64,
    /// Answers that began later.
    pub late: u64,
    /// Requests that were refused and not served when they came back.
    pub refused: u64,
    /// Requests whose callers gave up, or whose answers broke off.
    pub failed: u64,
}

/// How a request has ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    InTime,
    Late,
    Refused,
    Failed,
}

/// What a run has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// By the second in which callers sent their requests first.
    pub seconds: Vec<Second>,
    /// Tries that were under way when their callers gave up.
    pub expired: u64,
    /// The most requests that an engine ever carried.
    pub fullest: u64,
    /// Tokens of shared parts that engines read.
    pub read: u64,
}

impl Report {
    /// All seconds together.
    pub fn total(&self) -> Second {
        self.seconds.iter().fold(Second::default(), Second::and)
    }

    /// The second of `at`.
    fn second(&mut self, at: Millis) -> &mut Second {
        let place = usize::try_from(at.0 / 1_000).unwrap_or(usize::MAX);
        if self.seconds.len() <= place {
            self.seconds.resize(place + 1, Second::default());
        }
        &mut self.seconds[place]
    }

    /// Counts a request that a caller sends first at `at`.
    pub(crate) fn ask(&mut self, at: Millis) {
        self.second(at).asked += 1;
    }

    /// Counts the end of a request that a caller sent first at `at`.
    pub(crate) fn end(&mut self, at: Millis, end: End) {
        let second = self.second(at);
        match end {
            End::InTime => second.in_time += 1,
            End::Late => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
        }
    }

    /// The seconds as lines of a table.
    pub fn table(&self) -> String {
        let head = "second   asked in time    late refused  failed\n";
        let line = |name: String, it: &Second| {
            let Second { asked, in_time, late, refused, failed } = it;
            format!("{name:>6} {asked:>7} {in_time:>7} {late:>7} {refused:>7} {failed:>7}\n")
        };
        let lines = self.seconds.iter().enumerate();
        let lines: String = lines.map(|(at, it)| line(at.to_string(), it)).collect();
        let all = line("all".to_owned(), &self.total());
        let Self { expired, fullest, read, .. } = self;
        format!(
            "{head}{lines}{all}tries that expired: {expired}; most at an engine: {fullest}; \
             shared tokens read: {read}\n"
        )
    }
}

impl Second {
    /// These and `other`.
    fn and(self, other: &Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}
