//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// 2^53, the number of equidistant `f64` values in the unit interval.
const STEPS: f64 = 9_007_199_254_740_992.0;

/// Hashes a name within a namespace, such as a chat of a workspace, to a routing key.
pub fn key(namespace: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(namespace.as_bytes()))
}

/// Hashes `parts` in order. The result is the same in every process.
pub fn digest(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |before, part| xxh3_64_with_seed(part, before))
}

/// Returns the score of `candidate` for `key`. The highest score is ranked first.
///
/// `weight` is the candidate's relative capacity and must be above zero.
pub fn score(key: u64, candidate: &str, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.as_bytes(), key);
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit a f64 exactly")]
    let unit = ((hash >> 11) as f64 + 0.5) / STEPS;
    -weight / unit.ln()
}

/// Sorts `candidates` by descending score, then by name. `identify` returns the name and weight of
/// a candidate.
pub fn rank<T>(key: u64, candidates: &mut [T], identify: impl Fn(&T) -> (&str, f64)) {
    candidates.sort_by_cached_key(|candidate| {
        let (id, weight) = identify(candidate);
        let bits = score(key, id, weight).to_bits();
        (std::cmp::Reverse(bits), id.to_owned())
    });
}

/// Returns the first `count` candidates in the order of [`rank`], without sorting the rest.
pub fn top<T>(
    key: u64,
    candidates: impl Iterator<Item = T>,
    count: usize,
    identify: impl Fn(&T) -> (&str, f64),
) -> Vec<T> {
    let scored = candidates.map(|candidate| {
        let (id, weight) = identify(&candidate);
        (score(key, id, weight), candidate)
    });
    let mut scored: Vec<_> = scored.collect();
    let order = |(one, first): &(f64, T), (other, second): &(f64, T)| {
        other.total_cmp(one).then_with(|| identify(first).0.cmp(identify(second).0))
    };
    if scored.len() > count && count > 0 {
        scored.select_nth_unstable_by(count - 1, order);
    }
    scored.truncate(count);
    scored.sort_unstable_by(order);
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}
