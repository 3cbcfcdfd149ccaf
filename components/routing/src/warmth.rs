//! Where the shared parts of prompts are warm, as far as a router's own
//! requests tell.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The most parts that are remembered; about 100 bytes each.
const MAX_PARTS: usize = 16_384;

/// The most upstreams that are remembered for a part.
const MAX_PLACES: usize = 4;

/// Which upstreams have read which parts. What an upstream has dropped since is
/// not known; a copy that is asked for in vain costs next to nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Warmth {
    /// For each part, the upstreams that have read it, the latest last.
    places: HashMap<u64, Vec<Arc<str>>>,
    /// The parts, the one that came first first.
    order: VecDeque<u64>,
}

impl Warmth {
    /// Notes that `upstream` has read `parts`.
    pub(crate) fn note(&mut self, parts: &[u64], upstream: &Arc<str>) {
        for part in parts {
            self.note_part(*part, upstream);
        }
        while self.order.len() > MAX_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
    }

    fn note_part(&mut self, part: u64, upstream: &Arc<str>) {
        let places = self.places.entry(part).or_insert_with(|| {
            self.order.push_back(part);
            Vec::new()
        });
        places.retain(|it| it != upstream);
        if places.len() >= MAX_PLACES {
            places.remove(0);
        }
        places.push(upstream.clone());
    }

    /// The upstreams that have read `part`, the latest first.
    pub(crate) fn places(&self, part: u64) -> impl Iterator<Item = &Arc<str>> {
        self.places.get(&part).into_iter().flatten().rev()
    }
}
