//! Index of the upstreams whose caches hold shared prefixes of prompts, from the requests of all
//! routers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use clock::Millis;

/// Maximum number of indexed prefixes. Each takes about 100 bytes.
const MAX_PREFIXES: usize = 16_384;

/// Maximum number of indexed upstreams for each prefix.
const MAX_HOLDERS: usize = 4;

/// How long a prefill is assumed to be under way without a confirmation.
const PREFILL_TTL: Millis = Millis(1_000);

/// An upstream that has cached a prefix or is prefilling it.
#[derive(Clone, Debug)]
struct Holder {
    upstream: Arc<str>,
    /// When the prefill began; `None` once the prefix is cached.
    prefilling_since: Option<Millis>,
}

/// The upstreams that hold each prefix. Evictions from their caches are not tracked.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixIndex {
    /// The holders of each prefix, the latest last.
    holders: HashMap<u64, Vec<Holder>>,
    /// All prefixes in the order of insertion.
    order: VecDeque<u64>,
    /// Number of changes so far.
    changes: u64,
}

impl PrefixIndex {
    /// Records that `upstream` has cached `prefixes`. Returns those that were not known to be
    /// cached there.
    pub(crate) fn record_cached(&mut self, prefixes: &[u64], upstream: &Arc<str>) -> Vec<u64> {
        let new =
            prefixes.iter().copied().filter(|prefix| !self.holds(*prefix, upstream)).collect();
        self.insert_all(prefixes, upstream, None);
        new
    }

    /// Records that `upstream` begins to prefill `prefixes`. Returns those that were not known to
    /// be cached or prefilling there.
    pub(crate) fn record_prefilling(
        &mut self,
        prefixes: &[u64],
        upstream: &Arc<str>,
        now: Millis,
    ) -> Vec<u64> {
        let is_known = |prefix: &u64| {
            self.holds(*prefix, upstream) || self.is_prefilling(*prefix, upstream, now)
        };
        let new: Vec<u64> = prefixes.iter().copied().filter(|prefix| !is_known(prefix)).collect();
        self.insert_all(&new, upstream, Some(now));
        new
    }

    fn insert_all(
        &mut self,
        prefixes: &[u64],
        upstream: &Arc<str>,
        prefilling_since: Option<Millis>,
    ) {
        for prefix in prefixes {
            self.insert(*prefix, Holder { upstream: upstream.clone(), prefilling_since });
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    fn insert(&mut self, prefix: u64, holder: Holder) {
        let holders = self.holders.entry(prefix).or_insert_with(|| {
            self.order.push_back(prefix);
            Vec::new()
        });
        holders.retain(|known| known.upstream != holder.upstream);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(holder);
        self.changes += 1;
    }

    /// The upstreams that have cached `prefix`, the latest first.
    pub(crate) fn holders(&self, prefix: u64) -> impl Iterator<Item = &Arc<str>> {
        self.entries(prefix)
            .rev()
            .filter(|holder| holder.prefilling_since.is_none())
            .map(|holder| &holder.upstream)
    }

    /// Whether `upstream` has cached `prefix`.
    pub(crate) fn holds(&self, prefix: u64, upstream: &str) -> bool {
        self.holders(prefix).any(|holder| &**holder == upstream)
    }

    /// Whether `upstream` is prefilling `prefix`.
    pub(crate) fn is_prefilling(&self, prefix: u64, upstream: &str, now: Millis) -> bool {
        let is_recent =
            |holder: &Holder| holder.prefilling_since.is_some_and(|at| at.until(now) < PREFILL_TTL);
        self.entries(prefix).any(|holder| &*holder.upstream == upstream && is_recent(holder))
    }

    /// Number of changes so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// The prefixes that each upstream has cached: at most `limit` in all, of the latest
    /// prefixes.
    pub(crate) fn latest(&self, limit: usize) -> BTreeMap<Arc<str>, Vec<u64>> {
        let prefixes = self.order.iter().rev();
        let pairs = prefixes
            .flat_map(|prefix| self.holders(*prefix).map(move |upstream| (upstream, *prefix)));
        let mut held: BTreeMap<Arc<str>, Vec<u64>> = BTreeMap::new();
        for (upstream, prefix) in pairs.take(limit) {
            held.entry(upstream.clone()).or_default().push(prefix);
        }
        held
    }

    fn entries(&self, prefix: u64) -> impl DoubleEndedIterator<Item = &Holder> {
        self.holders.get(&prefix).into_iter().flatten()
    }
}
