//! What an upstream lacks of a request's prompt, and where it may copy it from.

use std::sync::Arc;

use crate::beliefs::warmth::Warmth;
use crate::choosing::choice::Upstreams;
use crate::requests::request::Request;
use crate::{Mechanisms, Upstream};

/// What an upstream is believed to need before it can answer a request.
pub(crate) struct Need {
    /// The address of an upstream from which it may copy what it lacks of the
    /// prompt; none where it has read all of it before.
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
        warmth: &Warmth,
        upstreams: &Upstreams,
        request: &Request,
        name: &Arc<str>,
        mechanisms: Mechanisms,
    ) -> Self {
        let address = |name: &Arc<str>, lacks: u64| {
            let sound = |it: &&Upstream| !mechanisms.doubts || it.may_be_copied_from(lacks);
            let source = upstreams.get(name).filter(sound).filter(|_| mechanisms.copies)?;
            Some(source.host.address.clone())
        };
        let first = request.first.as_ref().filter(|it| *it != name);
        let shared = &request.ask.shared;
        let held = shared.iter().rev().find(|it| warmth.holds(it.hash, name));
        let (all, held) = (request.ask.shared_tokens(), held.map_or(0, |it| it.tokens));
        for (depth, part) in shared.iter().rev().enumerate().take_while(|(_, it)| it.tokens > held)
        {
            let lacks = part.tokens - held;
            let known = warmth.places(part.hash).find_map(|it| address(it, lacks));
            let home = first.filter(|_| depth == 0);
            let source = known.or_else(|| home.and_then(|it| address(it, lacks)));
            if source.is_some() {
                return Self { source, copied: lacks, read: all - part.tokens };
            }
        }
        Self { source: None, copied: 0, read: all - held }
    }
}
