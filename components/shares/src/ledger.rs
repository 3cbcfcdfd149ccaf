//! What this router itself was asked for and has sent, by workspace and priority.

use std::collections::{BTreeMap, VecDeque};

use clock::Millis;

use crate::count::Count;
use crate::summary::{Demand, MAX_DEMANDS, Remainder, tenths};

/// The most lines that are kept. Beyond it the smallest are dropped.
const MOST: usize = 8_192;

/// What is left of a line when it is forgotten, in requests.
const FADED: f64 = 0.01;

/// How many refusals are remembered by their content, and for how long: callers come back
/// within a few seconds or not at all.
const MOST_REFUSED: usize = 4_096;
const REFUSED_LASTS: Millis = Millis(6_000);

/// The own demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    lines: BTreeMap<(u64, i32), Count>,
    refused: BTreeMap<u64, Millis>,
    /// The same, the oldest first.
    order: VecDeque<(Millis, u64)>,
}

impl Ledger {
    /// Takes that a workspace asked for `content`; once for work that was refused and comes
    /// back.
    pub(crate) fn record_request(&mut self, workspace: u64, priority: i32, content: u64, now: Millis) {
        self.forget(now);
        if self.refused.remove(&content).is_some() {
            return;
        }
        self.line(workspace, priority, now).asked += 1.0;
    }

    /// Takes that a request of a workspace was sent.
    pub(crate) fn record_sent(&mut self, workspace: u64, priority: i32, now: Millis) {
        self.line(workspace, priority, now).served += 1.0;
    }

    /// Takes that `content` was refused: it may come back.
    pub(crate) fn record_refusal(&mut self, content: u64, now: Millis) {
        self.forget(now);
        self.refused.insert(content, now);
        self.order.push_back((now, content));
    }

    /// All lines as they count at `now`.
    pub(crate) fn lines(&self, now: Millis) -> impl Iterator<Item = (u64, i32, Count)> {
        let faded = move |(key, count): (&(u64, i32), &Count)| (key.0, key.1, count.at(now));
        self.lines.iter().map(faded).filter(|it| it.2.demand() > FADED)
    }

    /// The largest workspaces, and the others as a sum.
    pub(crate) fn summarize(&self, now: Millis) -> (Vec<Demand>, Remainder) {
        let mut workspaces: BTreeMap<u64, (f64, Vec<Demand>, Count)> = BTreeMap::new();
        for (workspace, priority, count) in self.lines(now) {
            let (demand, lines, all) = workspaces.entry(workspace).or_default();
            *demand += count.demand();
            all.asked += count.demand();
            all.served += count.served;
            let (asked, served) = (tenths(count.demand()), tenths(count.served));
            lines.push(Demand { workspace, priority, requested: asked, served });
        }
        let mut workspaces: Vec<_> = workspaces.into_values().collect();
        workspaces.sort_by(|one, other| other.0.total_cmp(&one.0));
        let (mut told, mut rest, mut more) = (Vec::new(), Count::default(), 0);
        for (_, lines, all) in workspaces {
            if more == 0 && told.len() + lines.len() <= MAX_DEMANDS {
                told.extend(lines);
                continue;
            }
            more += 1;
            rest.asked += all.asked;
            rest.served += all.served;
        }
        let (asked, served) = (tenths(rest.asked), tenths(rest.served));
        (told, Remainder { workspaces: more, requested: asked, served })
    }

    /// The line of a workspace, as of `now`.
    fn line(&mut self, workspace: u64, priority: i32, now: Millis) -> &mut Count {
        let key = (workspace, priority);
        if self.lines.len() >= MOST && !self.lines.contains_key(&key) {
            self.drop_small(now);
        }
        let line = self.lines.entry(key).or_default();
        *line = line.at(now);
        line
    }

    /// Drops the smaller half.
    fn drop_small(&mut self, now: Millis) {
        let mut sizes: Vec<_> =
            self.lines.iter().map(|(key, it)| (it.at(now).demand(), *key)).collect();
        sizes.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (_, key) in &sizes[..sizes.len() / 2] {
            self.lines.remove(key);
        }
    }

    /// Forgets refusals whose callers have not come back.
    fn forget(&mut self, now: Millis) {
        while let Some((at, content)) = self.order.front().copied() {
            if self.order.len() < MOST_REFUSED && at.until(now) < REFUSED_LASTS {
                return;
            }
            self.order.pop_front();
            // It may have been refused again since.
            if self.refused.get(&content) == Some(&at) {
                self.refused.remove(&content);
            }
        }
    }
}
