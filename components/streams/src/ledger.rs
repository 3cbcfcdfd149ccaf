//! Records of which build began a stream.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use clock::Millis;
use wire::Build;

use crate::MAX_STREAM_AGE;

/// The most records that are kept; beyond this the oldest are dropped.
const MAX_RECORDS: usize = 16_384;

#[derive(Clone, Debug)]
struct Record {
    build: Arc<Build>,
    until: Millis,
}

/// The builds that began recent streams, by the hash of the stream.
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<u64, Record>,
    /// When each record was to expire, in the order of recording.
    order: VecDeque<(u64, Millis)>,
    /// Each build once, so that records share it.
    builds: Vec<Arc<Build>>,
}

impl Ledger {
    /// Records which build began a stream, for `ttl` or [`MAX_STREAM_AGE`] if that is shorter. The
    /// first record of a stream is kept, as only one build can have begun it.
    pub fn record(&mut self, stream: u64, build: &Build, ttl: Millis, now: Millis) {
        self.expire(now);
        let until = now + ttl.min(MAX_STREAM_AGE);
        let build = match self.find(stream, now) {
            Some(known) => known.clone(),
            None => self.shared(build),
        };
        self.records.insert(stream, Record { build, until });
        self.order.push_back((stream, until));
    }

    /// The build that began a stream, if it is known.
    pub fn find(&self, stream: u64, now: Millis) -> Option<&Arc<Build>> {
        self.records.get(&stream).filter(|record| record.until > now).map(|record| &record.build)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records from the front, and the oldest beyond [`MAX_RECORDS`].
    fn expire(&mut self, now: Millis) {
        while let Some((stream, until)) = self.order.front().copied() {
            if until > now && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self.records.get(&stream).is_some_and(|record| record.until == until) {
                self.records.remove(&stream);
            }
        }
    }

    fn shared(&mut self, build: &Build) -> Arc<Build> {
        if let Some(known) = self.builds.iter().find(|known| ***known == *build) {
            return known.clone();
        }
        self.builds.retain(|known| Arc::strong_count(known) > 1);
        let shared = Arc::new(build.clone());
        self.builds.push(shared.clone());
        shared
    }
}
