//! The builds that have served recently.

use std::collections::{BTreeMap, BTreeSet};

use clock::Millis;
use wire::Build;

use crate::MAX_STREAM_AGE;

/// The builds of the listed upstreams, and those that have gone in the last [`MAX_STREAM_AGE`].
#[derive(Debug, Default)]
pub struct Builds {
    listed: BTreeSet<Build>,
    /// Builds without a listed upstream, and when the last one went.
    gone: BTreeMap<Build, Millis>,
    /// When all builds that may have begun a stream before this router's start are known; `None`
    /// if that is unknown.
    complete_from: Option<Millis>,
}

impl Builds {
    /// Replaces the builds of the listed upstreams.
    pub fn set_listed(&mut self, listed: BTreeSet<Build>, now: Millis) {
        self.complete_from.get_or_insert(now + MAX_STREAM_AGE);
        let gone = self.listed.difference(&listed).cloned();
        self.gone.extend(gone.map(|build| (build, now)));
        self.gone.retain(|build, at| !listed.contains(build) && at.until(now) < MAX_STREAM_AGE);
        self.listed = listed;
    }

    /// Adds builds that another router has saved as all of the recent ones. One that is known to
    /// have gone is not renewed.
    pub fn restore(&mut self, builds: impl IntoIterator<Item = Build>, now: Millis) {
        self.complete_from = Some(self.complete_from.map_or(now, |at| at.min(now)));
        for build in builds.into_iter().filter(|build| !self.listed.contains(build)) {
            self.gone.entry(build).or_insert(now);
        }
    }

    /// Whether all recent builds are known.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.complete_from.is_some_and(|at| at <= now)
    }

    /// All builds that may have begun a stream which is still continued.
    pub fn recent(&self, now: Millis) -> impl Iterator<Item = &Build> {
        let is_recent = move |(_, at): &(&Build, &Millis)| at.until(now) < MAX_STREAM_AGE;
        let gone = self.gone.iter().filter(is_recent).map(|(build, _)| build);
        self.listed.iter().chain(gone)
    }

    /// Whether several builds of one pool may have begun streams that are still continued.
    pub fn is_mixed(&self, now: Millis) -> bool {
        let mut pools = BTreeSet::new();
        self.recent(now).any(|build| !pools.insert(&build.pool))
    }

    /// The build of a pool, if no other one can have begun a stream there.
    pub fn sole(&self, pool: &str, now: Millis) -> Option<&Build> {
        let mut recent = self.recent(now).filter(|build| &*build.pool == pool);
        let first = recent.next()?;
        (self.is_complete(now) && recent.next().is_none()).then_some(first)
    }
}
