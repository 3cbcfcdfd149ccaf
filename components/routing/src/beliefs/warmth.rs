//! Where the shared parts of prompts are warm, as far as the requests of all
//! routers tell.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use clock::Millis;

/// The most parts that are remembered; about 100 bytes each.
const MAX_PARTS: usize = 16_384;

/// The most upstreams that are remembered for a part.
const MAX_PLACES: usize = 4;

/// How long a part is taken to be in reading that nobody says was read. Engines
/// of the sites read the longest parts, 30,000 tokens, in 620 ms.
const READING: Millis = Millis(1_000);

/// What is known of a part at an upstream.
#[derive(Clone, Debug)]
struct Place {
    upstream: Arc<str>,
    /// Since when it is being read; `None` once it was.
    reading: Option<Millis>,
}

/// Which upstreams have read which parts. What an upstream has dropped since is
/// not known; a copy that is asked for in vain costs next to nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixIndex {
    /// For each part, what is known of upstreams, the latest last.
    places: HashMap<u64, Vec<Place>>,
    /// The parts, the one that came first first.
    order: VecDeque<u64>,
    /// How often anything has changed.
    changes: u64,
}

impl PrefixIndex {
    /// Notes that `upstream` has read `parts`; returns those that it was not
    /// known to have read.
    pub(crate) fn record_cached(&mut self, parts: &[u64], upstream: &Arc<str>) -> Vec<u64> {
        let fresh = parts.iter().copied().filter(|it| !self.holds(*it, upstream)).collect();
        self.note(parts, upstream, None);
        fresh
    }

    /// Notes that `upstream` begins to read `parts`; returns those that it was
    /// neither known to have read nor to be reading.
    pub(crate) fn record_prefilling(
        &mut self,
        parts: &[u64],
        upstream: &Arc<str>,
        now: Millis,
    ) -> Vec<u64> {
        let known = |it: &u64| self.holds(*it, upstream) || self.is_prefilling(*it, upstream, now);
        let fresh: Vec<u64> = parts.iter().copied().filter(|it| !known(it)).collect();
        self.note(&fresh, upstream, Some(now));
        fresh
    }

    fn note(&mut self, parts: &[u64], upstream: &Arc<str>, reading: Option<Millis>) {
        for part in parts {
            self.note_part(*part, Place { upstream: upstream.clone(), reading });
        }
        while self.order.len() > MAX_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
    }

    fn note_part(&mut self, part: u64, place: Place) {
        let places = self.places.entry(part).or_insert_with(|| {
            self.order.push_back(part);
            Vec::new()
        });
        places.retain(|it| it.upstream != place.upstream);
        if places.len() >= MAX_PLACES {
            places.remove(0);
        }
        places.push(place);
        self.changes += 1;
    }

    /// The upstreams that have read `part`, the latest first.
    pub(crate) fn holders(&self, part: u64) -> impl Iterator<Item = &Arc<str>> {
        self.known(part).rev().filter(|it| it.reading.is_none()).map(|it| &it.upstream)
    }

    /// Whether `upstream` has read `part`.
    pub(crate) fn holds(&self, part: u64, upstream: &str) -> bool {
        self.holders(part).any(|it| &**it == upstream)
    }

    /// Whether `upstream` is reading `part`.
    pub(crate) fn is_prefilling(&self, part: u64, upstream: &str, now: Millis) -> bool {
        let since = |it: &Place| it.reading.is_some_and(|at| at.until(now) < READING);
        self.known(part).any(|it| &*it.upstream == upstream && since(it))
    }

    /// How often anything has changed.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Which parts each upstream has read: `most` in all, those of the latest parts.
    pub(crate) fn latest(&self, most: usize) -> BTreeMap<Arc<str>, Vec<u64>> {
        let parts = self.order.iter().rev();
        let holdings = parts.flat_map(|part| self.holders(*part).map(move |it| (it, *part)));
        let mut held: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        for (upstream, part) in holdings.take(most) {
            held.entry(upstream.clone()).or_default().push(part);
        }
        held
    }

    fn known(&self, part: u64) -> impl DoubleEndedIterator<Item = &Place> {
        self.places.get(&part).into_iter().flatten()
    }
}
