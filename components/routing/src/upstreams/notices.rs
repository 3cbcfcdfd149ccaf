//! Notices that upstreams send with their answers: that they are leaving, or ask for a backoff.
//!
//! The platform's list shows leaving upstreams only later, and a backoff not at all. Requests
//! that an upstream refuses add no load, so that without its notice it would attract more of them.

use std::sync::Arc;

use clock::Millis;
use indexmap::IndexMap;

use crate::Effect;
use crate::state::State;
use crate::upstreams::upstream::Upstream;

/// Maximum number of upstreams whose notices are kept.
const MAX_NOTICES: usize = 4_096;

/// The notice of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Whether the upstream is leaving. It is never reset: a restart has a new name.
    leaving: bool,
    /// When the requested backoff ends.
    backoff_until: Millis,
}

impl Notice {
    pub(crate) fn is_leaving(self) -> bool {
        self.leaving
    }

    /// The remaining backoff.
    pub(crate) fn backoff(self, now: Millis) -> Millis {
        now.until(self.backoff_until)
    }

    /// Whether a backoff is in force.
    pub(crate) fn is_backing_off(self, now: Millis) -> bool {
        self.backoff(now) > Millis::ZERO
    }
}

/// The notices by upstream name. They are kept while an upstream is missing from the list.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    by_upstream: IndexMap<Arc<str>, Notice>,
}

impl Notices {
    /// The notice of an upstream; the default if there is none.
    pub(crate) fn get(&self, upstream: &str) -> Notice {
        self.by_upstream.get(upstream).copied().unwrap_or_default()
    }

    /// Replaces the notice of an upstream.
    fn insert(&mut self, upstream: &Arc<str>, notice: Notice, now: Millis) {
        if self.by_upstream.len() >= MAX_NOTICES && !self.by_upstream.contains_key(upstream) {
            self.evict(now);
        }
        self.by_upstream.insert(upstream.clone(), notice);
    }

    /// Drops expired backoffs, or the oldest notice if there are none.
    fn evict(&mut self, now: Millis) {
        self.by_upstream.retain(|_, notice| notice.leaving || notice.is_backing_off(now));
        if self.by_upstream.len() >= MAX_NOTICES {
            self.by_upstream.shift_remove_index(0);
        }
    }
}

impl State {
    /// Records that an upstream is leaving.
    pub(crate) fn record_leaving(&mut self, upstream: &Arc<str>, now: Millis) {
        let notice = self.upstream_notices.get(upstream);
        if !notice.leaving {
            self.pending_effects.push(Effect::Leaving { upstream: upstream.clone() });
            self.set_notice(upstream, Notice { leaving: true, ..notice }, now);
        }
    }

    /// Records that an upstream has asked for a backoff. A backoff that ends later stays in
    /// force.
    pub(crate) fn record_backoff(&mut self, upstream: &Arc<str>, duration: Millis, now: Millis) {
        let notice = self.upstream_notices.get(upstream);
        let backoff_until = now + duration;
        if backoff_until > notice.backoff_until {
            self.pending_effects.push(Effect::Backoff { upstream: upstream.clone(), duration });
            self.set_notice(upstream, Notice { backoff_until, ..notice }, now);
        }
    }

    fn set_notice(&mut self, upstream: &Arc<str>, notice: Notice, now: Millis) {
        self.upstream_notices.insert(upstream, notice, now);
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.notice = notice;
        }
    }

    /// Applies the kept notices to the listed upstreams.
    pub(crate) fn restore_notices(&mut self) {
        for (name, upstream) in &mut self.upstreams {
            upstream.notice = self.upstream_notices.get(name);
        }
    }

    /// Whether an upstream is gone, has been evacuated, is leaving or backs off, so that requests that
    /// were ranked before may not be sent there.
    pub(crate) fn is_closed(&self, upstream: &str, now: Millis) -> bool {
        let is_closed = |upstream: &Upstream| {
            upstream.evacuated
                || upstream.notice.is_leaving()
                || upstream.notice.is_backing_off(now)
        };
        self.upstreams.get(upstream).is_none_or(is_closed)
    }
}
