//! What an upstream lacks of a request's prompt, and where it may copy it from.

use std::sync::Arc;

use crate::beliefs::warmth::PrefixIndex;
use crate::requests::request::Request;
use crate::selection::candidates::Upstreams;
use crate::{Mechanisms, Upstream};

/// From which share of its slots, one in so many, an upstream is taken to drop parts: the
/// memory of those that run is no longer there for parts. In calm, copies that were asked for
/// in vain cost 0.005 of what a day is worth; they carry 2 to 8 requests then.
const CROWDED: u64 = 4;

/// From how many tokens on a second upstream is named to copy from where the first is believed
/// to hold them: it may have dropped them, and reading 500 takes 5 to 10 ms.
const WORTH_A_SOURCE: u64 = 500;

/// What an upstream is believed to need before it can answer a request.
pub(crate) struct Need {
    /// The address of an upstream from which it may copy what it lacks of the
    /// prompt. Where it is believed to have read all, another that has too: engines drop what
    /// was used least lately, nobody tells of that, and one that lacks nothing copies nothing.
    pub source: Option<Arc<str>>,
    /// The tokens that are copied from there.
    pub copied: u64,
    /// The tokens of what the request shares with others that it must read.
    pub read: u64,
}

impl Need {
    /// What `name` needs for a request.
    ///
    /// The longest part counts that is known to be warm anywhere. A chat that is
    /// sent past its first upstream in rank finds its context there, even if other
    /// routers sent all its earlier requests.
    pub(crate) fn new(
        prefix_index: &PrefixIndex,
        upstreams: &Upstreams,
        request: &Request,
        name: &Arc<str>,
        mechanisms: Mechanisms,
    ) -> Self {
        let address = |name: &Arc<str>, lacks: u64| {
            let sound = |it: &&Upstream| !mechanisms.doubts || it.is_copy_source(lacks);
            let source = upstreams.get(name).filter(sound).filter(|_| mechanisms.copies)?;
            Some(source.host.address.clone())
        };
        let first = request.first_ranked.as_ref().filter(|it| *it != name);
        let shared = &request.arrival.prefixes;
        let held = shared.iter().rev().find(|it| prefix_index.holds(it.hash, name));
        let (all, held) = (request.arrival.prefix_tokens(), held.map_or(0, |it| it.tokens));
        for (depth, part) in shared.iter().rev().enumerate().take_while(|(_, it)| it.tokens > held)
        {
            let lacks = part.tokens - held;
            let known = prefix_index.holders(part.hash).find_map(|it| address(it, lacks));
            let home = first.filter(|_| depth == 0);
            let source = known.or_else(|| home.and_then(|it| address(it, lacks)));
            if source.is_some() {
                return Self { source, copied: lacks, read: all - part.tokens };
            }
        }
        let crowded = |it: &&Upstream| {
            it.host.slots > 0 && it.estimated_load(&request.estimate) * CROWDED >= it.host.slots
        };
        let crowded = upstreams.get(name).as_ref().is_some_and(crowded);
        let kept = shared.last().filter(|it| it.tokens == held && held >= WORTH_A_SOURCE);
        let kept = kept.filter(|_| crowded);
        let mut others = kept.into_iter().flat_map(|it| prefix_index.holders(it.hash));
        let source = others.find_map(|it| address(it, 0).filter(|_| it != name));
        Self { source, copied: 0, read: all - held }
    }
}
