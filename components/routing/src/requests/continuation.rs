//! Streams that go on after a break: only at upstreams of the build that began them.
//!
//! Within an answer the build is that of the upstream that sent the first event. For a caller that
//! continues a stream with a new request, it is looked up in the records of this router, asked of
//! the routers that keep the record, or concluded from the builds that have served recently. A
//! stream whose build stays unknown is refused.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use placement::key;
use serde::Serialize;
use streams::MAX_STREAM_AGE;
use strum::IntoStaticStr;
use wire::{Beginning, Build};

use crate::requests::request::{Phase, Request};
use crate::state::State;
use crate::{Arrival, Effect, Lookup, Upstream};

/// Exclusion reason: another build began the stream.
pub(crate) const OTHER_BUILD: &str = "another version began the stream";

/// How the build that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// This router has relayed the first event.
    Relayed,
    /// This router keeps the record.
    Record,
    /// No other build of the pool has served recently.
    Sole,
    /// Another router keeps the record.
    Peer,
}

/// The build that began a stream, to which its rest is bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Binding {
    /// The build.
    pub build: Arc<Build>,
    /// How it was found.
    pub source: Source,
}

impl Arrival {
    /// Public id of the request that brought or will bring the first event of the stream.
    pub(crate) fn stream(&self) -> &Arc<str> {
        let continued = self.continuation.as_ref().and_then(|known| known.stream.as_ref());
        continued.unwrap_or(&self.request)
    }

    /// Hash of the stream. Ids are chosen by callers, so workspaces don't share them.
    fn stream_key(&self) -> u64 {
        key(&self.workspace, self.stream())
    }
}

impl Binding {
    /// Whether the rest of the stream may come from an upstream.
    pub(crate) fn allows(&self, upstream: &Upstream) -> bool {
        upstream.runs(&self.build)
    }
}

impl State {
    /// Records the builds of the listed upstreams.
    pub(crate) fn record_builds(&mut self, now: Millis) {
        let listed: BTreeSet<_> = self.upstreams.values().map(Upstream::build).collect();
        self.builds.set_listed(listed, now);
    }

    /// The builds that may have begun a stream which is still continued; `None` if this router may
    /// not know all of them.
    pub fn recent_builds(&self, now: Millis) -> Option<Vec<Build>> {
        self.builds.is_complete(now).then(|| self.builds.recent(now).cloned().collect())
    }

    /// Whether the builds of some streams that are still continued can be known by records only.
    pub fn has_recorded_streams(&self, now: Millis) -> bool {
        self.builds.is_mixed(now) || self.targets.any_vary(now)
    }

    /// Whether the builds of streams of `intent` that are still continued can be known by records
    /// only: several builds of one pool, or several pools, may have begun them.
    pub fn needs_records(&self, intent: &str, now: Millis) -> bool {
        self.builds.is_mixed(now) || self.targets.vary(intent, now)
    }

    /// Finds the build of a stream that the caller continues, or fails the request. Other routers
    /// are asked before the build is concluded from the list, which may be outdated.
    pub(crate) fn start_continuation(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let (stream, intent) = (request.arrival.stream_key(), request.intent.clone());
        if let Some(build) = self.ledger.find(stream, now).cloned() {
            return self.continue_at(id, build, Source::Record, now);
        }
        if !self.may_ask_others(id) {
            return self.continue_at_sole_build(id, now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Locating;
        }
        vec![Effect::FindStream { stream, intent }]
    }

    /// Handles the answers of the routers that may keep the record of a stream.
    pub(crate) fn handle_found(&mut self, id: u64, lookup: Lookup, now: Millis) -> Vec<Effect> {
        let is_locating = |request: &Request| request.phase == Phase::Locating;
        if !self.requests.get(&id).is_some_and(is_locating) {
            return Vec::new();
        }
        if self.is_expired(id, now) {
            return self.fail(id, Kind::ExpiredWaiting, 0, "", now);
        }
        match lookup {
            Lookup::Found(build) => self.continue_at(id, Arc::new(build), Source::Peer, now),
            Lookup::Nowhere => self.continue_at_sole_build(id, now),
            Lookup::Unanswered => self.fail(id, Kind::StreamLost, 0, "", now),
        }
    }

    /// Records which build began a stream that another router relays.
    pub(crate) fn receive_beginning(&mut self, beginning: &Beginning, now: Millis) {
        let Beginning { stream, build, ttl_ms } = beginning;
        self.ledger.record(*stream, build, Millis(*ttl_ms), now);
    }

    /// Whether no listed upstream runs the build that began the request's stream.
    pub(crate) fn is_build_gone(&self, id: u64) -> bool {
        let binding = self.requests.get(&id).and_then(|request| request.binding.as_ref());
        binding.is_some_and(|binding| {
            !self.upstreams.values().any(|upstream| binding.allows(upstream))
        })
    }

    /// The build that began a stream, if this router keeps its record.
    pub fn find_stream(&self, stream: u64, now: Millis) -> Option<Build> {
        self.ledger.find(stream, now).map(|build| (**build).clone())
    }

    /// Binds a stream to its build when its first event is passed on, and returns the record for
    /// other routers.
    pub(crate) fn record_beginning(&mut self, id: u64, now: Millis) -> Option<Effect> {
        let request = self.requests.get_mut(&id)?;
        if !request.resumable {
            return None;
        }
        if request.binding.is_none() {
            let last = request.tries.last()?;
            let listed = self.upstreams.get(&last.upstream);
            let pool = listed.map_or_else(|| request.pool.clone(), Upstream::pool);
            let build = Arc::new(Build { pool, version: last.version.clone() });
            request.binding = Some(Binding { build, source: Source::Relayed });
        }
        let build = (*request.binding.as_ref()?.build).clone();
        let (stream, intent) = (request.arrival.stream_key(), request.intent.clone());
        let ttl = request.arrival.deadline.map_or(MAX_STREAM_AGE, |deadline| {
            (request.arrived + deadline).min(now + MAX_STREAM_AGE) - now
        });
        self.ledger.record(stream, &build, ttl, now);
        let beginning = Beginning { stream, build, ttl_ms: ttl.0 };
        Some(Effect::PublishBeginning { beginning, intent })
    }

    fn continue_at(
        &mut self,
        id: u64,
        build: Arc<Build>,
        source: Source,
        now: Millis,
    ) -> Vec<Effect> {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Sent;
            request.binding = Some(Binding { build, source });
        }
        self.rank(id, now);
        self.send_next(id, now)
    }

    fn continue_at_sole_build(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        match self.sole_build(id, now) {
            Some(build) => self.continue_at(id, build, Source::Sole, now),
            // No router has the record, so that only time can leave one build.
            None => self.fail(id, Kind::StreamLost, MAX_STREAM_AGE.0, "", now),
        }
    }

    /// The build of the request's pool, if it must have begun the stream. Requires a recent list of
    /// upstreams, and that the pool of the stream can't have been another one, as far as this router
    /// knows.
    fn sole_build(&self, id: u64, now: Millis) -> Option<Arc<Build>> {
        let request = self.requests.get(&id)?;
        let is_certain = !self.targets.vary(&request.intent, now)
            && self.is_confirmed_within(self.settings.ready_ms, now);
        let sole = self.builds.sole(&request.pool, now).filter(|_| is_certain)?;
        Some(Arc::new(sole.clone()))
    }

    /// Whether other routers may have a record: the caller names the stream.
    fn may_ask_others(&self, id: u64) -> bool {
        let continuation =
            self.requests.get(&id).and_then(|request| request.arrival.continuation.as_ref());
        self.settings.mechanisms.streams && continuation.is_some_and(|known| known.stream.is_some())
    }
}
