//! The part of a prompt that an upstream must prefill or copy before it answers.

use std::sync::Arc;

use crate::requests::request::Request;
use crate::selection::candidates::Upstreams;
use crate::upstreams::prefix_index::PrefixIndex;
use crate::{Mechanisms, Upstream};

/// An upstream whose load is at least its slots divided by this may have evicted cached prefixes.
/// The memory of running requests is no longer available for prefixes.
const EVICTION_LOAD_DIVISOR: u64 = 4;

/// Minimum length of a cached prefix for which a second source is named, in case it was evicted.
/// Prefilling fewer takes only some milliseconds.
const MIN_BACKUP_SOURCE_TOKENS: u64 = 500;

/// Estimated work of an upstream before it can answer a request.
pub(crate) struct Prefill {
    /// Address of an upstream to copy the prefix from. Also set for a fully cached prefix that may
    /// have been evicted: the upstream copies only what it is missing.
    pub source: Option<Arc<str>>,
    /// Tokens to copy from there.
    pub copied: u64,
    /// Tokens of the shared prefix to prefill.
    pub read: u64,
}

impl Prefill {
    /// Determines the prefill of a request at upstream `name`.
    ///
    /// Uses the longest prefix with a known source. For a chat sent past its first upstream in
    /// rank, that upstream is a possible source even if other routers sent its earlier requests.
    pub(crate) fn new(
        prefix_index: &PrefixIndex,
        upstreams: &Upstreams,
        request: &Request,
        name: &Arc<str>,
        mechanisms: Mechanisms,
    ) -> Self {
        let source_address = |name: &Arc<str>, missing: u64| {
            let is_usable =
                |upstream: &&Upstream| !mechanisms.doubts || upstream.is_copy_source(missing);
            let source = upstreams.get(name).filter(is_usable).filter(|_| mechanisms.copies)?;
            Some(source.host.address.clone())
        };
        let first_ranked = request.first_ranked.as_ref().filter(|upstream| *upstream != name);
        let prefixes = &request.arrival.prefixes;
        let cached = prefixes.iter().rev().find(|prefix| prefix_index.holds(prefix.hash, name));
        let (total, cached) =
            (request.arrival.prefix_tokens(), cached.map_or(0, |prefix| prefix.tokens));
        for (depth, prefix) in
            prefixes.iter().rev().enumerate().take_while(|(_, prefix)| prefix.tokens > cached)
        {
            let missing = prefix.tokens - cached;
            let holder = prefix_index
                .holders(prefix.hash)
                .find_map(|holder| source_address(holder, missing));
            let home = first_ranked.filter(|_| depth == 0);
            let source =
                holder.or_else(|| home.and_then(|upstream| source_address(upstream, missing)));
            if source.is_some() {
                return Self { source, copied: missing, read: total - prefix.tokens };
            }
        }
        let may_evict = |upstream: &&Upstream| {
            upstream.host.slots > 0
                && upstream.estimated_load(&request.estimate) * EVICTION_LOAD_DIVISOR
                    >= upstream.host.slots
        };
        let may_evict = upstreams.get(name).as_ref().is_some_and(may_evict);
        let cached_prefix = prefixes
            .last()
            .filter(|prefix| prefix.tokens == cached && cached >= MIN_BACKUP_SOURCE_TOKENS);
        let cached_prefix = cached_prefix.filter(|_| may_evict);
        let mut others =
            cached_prefix.into_iter().flat_map(|prefix| prefix_index.holders(prefix.hash));
        let source = others.find_map(|holder| source_address(holder, 0).filter(|_| holder != name));
        Self { source, copied: 0, read: total - cached }
    }
}
