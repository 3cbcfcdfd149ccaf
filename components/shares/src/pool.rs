//! One pool of upstreams, as one router sees it.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;

use crate::ledger::Ledger;
use crate::standing::Standing;
use crate::view::View;
use crate::summary::{MAX_DEMANDS, Summary};

/// For how long a pool is taken to be short after a sign of it.
const SHORT_LASTS: Millis = Millis(2_000);

/// For how long others are taken to lack room after one of them was refused: two tellings.
const LACKS_LASTS: Millis = Millis(800);

/// For how long a router's word counts after which nothing more came: a few tellings.
const WORD_LASTS: Millis = Millis(2_000);

/// How old the view may be that requests are judged by, in milliseconds.
const VIEW_LASTS: Millis = Millis(100);

/// The most routers whose words are kept.
const MOST_ROUTERS: usize = 1_024;

/// What is asked of a pool, and the shares that follow.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    own: Ledger,
    /// The latest word of each other router, and when it came.
    words: BTreeMap<Arc<str>, (Millis, Summary)>,
    view: Option<View>,
    /// Until when the pool is short by what this router has seen, and by what others told.
    short: Millis,
    told_short: Millis,
    /// The same for workspaces that lack room though they are not over their shares.
    lacks: Millis,
    told_lacks: Millis,
}

impl Pool {
    /// Takes that a workspace asked for the work whose hash is `content`.
    pub fn record_request(&mut self, workspace: u64, priority: i32, content: u64, now: Millis) {
        self.own.record_request(workspace, priority, content, now);
    }

    /// Takes that a request of a workspace was sent to the pool.
    pub fn record_sent(&mut self, workspace: u64, priority: i32, now: Millis) {
        self.own.record_sent(workspace, priority, now);
    }

    /// Takes that work was refused for lack of room: the pool is short, and the work may be
    /// asked for again.
    pub fn record_refusal(&mut self, content: u64, now: Millis) {
        self.own.record_refusal(content, now);
        self.mark_saturated(now);
    }

    /// Takes that work was refused for the sake of others, which is no sign that the pool is
    /// short: it would keep itself short.
    pub fn record_deferral(&mut self, content: u64, now: Millis) {
        self.own.record_refusal(content, now);
    }

    /// Takes a sign that the pool is short.
    pub fn mark_saturated(&mut self, now: Millis) {
        self.short = now + SHORT_LASTS;
    }

    /// Takes that a workspace was refused that is not over its share.
    pub fn mark_starving(&mut self, now: Millis) {
        self.lacks = now + LACKS_LASTS;
    }

    /// Whether workspaces lack room that are not over their shares, at this router or at others.
    pub fn is_starving(&self, now: Millis) -> bool {
        now < self.lacks.max(self.told_lacks)
    }

    /// Whether the pool is short, by this router's own signs or by those of others.
    pub fn is_saturated(&self, now: Millis) -> bool {
        now < self.short.max(self.told_short)
    }

    /// Takes the word of another router, unless a later one has come.
    pub fn receive(&mut self, router: &Arc<str>, mut word: Summary, now: Millis) {
        self.forget(now);
        if self.words.get(router).is_some_and(|(_, known)| known.at >= word.at) {
            return;
        }
        if self.words.len() >= MOST_ROUTERS && !self.words.contains_key(router) {
            return;
        }
        if word.saturated {
            self.told_short = now + SHORT_LASTS;
        }
        if word.starving {
            self.told_lacks = now + LACKS_LASTS;
        }
        word.demands.truncate(MAX_DEMANDS);
        self.words.insert(router.clone(), (now, word));
    }

    /// The own word for other routers; none unless the pool is short.
    ///
    /// What others told of a shortage is not handed on as an own sign: routers would keep each
    /// other short.
    pub fn summarize(&self, now: Millis) -> Option<Summary> {
        if !self.is_saturated(now) {
            return None;
        }
        let (lines, rest) = self.own.summarize(now);
        let (short, lacks) = (now < self.short, now < self.lacks);
        Some(Summary { at: now, saturated: short, starving: lacks, demands: lines, remainder: rest })
    }

    /// How a workspace stands for requests of `priority`; `weight` is what each workspace
    /// counts, all above zero.
    pub fn standing(
        &mut self,
        workspace: u64,
        priority: i32,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Standing {
        let own = weight(workspace);
        self.view(weight, now).standing(workspace, priority, own)
    }

    /// The `most` workspaces with the largest demand, the largest first, and how they stand for
    /// all that they want.
    pub fn largest(
        &self,
        most: usize,
        weight: impl Fn(u64) -> f64,
        now: Millis,
    ) -> Vec<(u64, Standing)> {
        let view = self.view_now(&weight, now);
        let standing = |it: &u64| (*it, view.standing(*it, i32::MAX, weight(*it)));
        let mut all: Vec<_> = view.held.keys().map(standing).collect();
        all.sort_by(|one, other| other.1.demand.total_cmp(&one.1.demand));
        all.truncate(most);
        all
    }

    /// The view that requests are judged by, worked out anew if it is too old.
    fn view(&mut self, weight: impl Fn(u64) -> f64, now: Millis) -> &View {
        let known = self.view.take().filter(|it| it.at.until(now) < VIEW_LASTS);
        let view = known.unwrap_or_else(|| self.view_now(weight, now));
        self.view.insert(view)
    }

    fn view_now(&self, weight: impl Fn(u64) -> f64, now: Millis) -> View {
        let counts = |it: &&(Millis, Summary)| it.0.until(now) < WORD_LASTS;
        let words = self.words.values().filter(counts).map(|it| (it.0.until(now), &it.1));
        View::new(self.own.lines(now), words, weight, now)
    }

    /// Forgets words of routers that say nothing more.
    fn forget(&mut self, now: Millis) {
        self.words.retain(|_, (at, _)| at.until(now) < WORD_LASTS);
    }
}
