//! Queries another router for the store's content.

use std::cmp::Ordering;

use bytes::Bytes;
use clock::Millis;
use edge::{Batch, Fact, Peer, Revision};
use routing::Event;
use spdlog::{debug, info};

use super::Feed;
use crate::query_client::{self, Answer};
use crate::query_server;

const QUERY_INTERVAL: Millis = Millis(100);

/// Bound on the sum of rounding errors of times in whole milliseconds.
const ROUNDING_MARGIN: Millis = Millis(3);

impl Feed {
    /// Queries another router for changes; returns the pause until the next step.
    pub(super) async fn query(&mut self, peer: &Peer, sent_at: Millis) -> Millis {
        let fleet = self.core.fleet();
        let confirmation_age_ms = self.core.confirmation_age_ms();
        // A poller polls the store again soon, so its query must not wait long: without an age, the
        // wait is the shortest.
        let confirmation_age = confirmation_age_ms.map(Millis).filter(|_| !fleet.is_poller());
        let left = self.listing.next_expiry().map(|at| sent_at.until(at));
        let wait = self.freshness.wait(confirmation_age, left);
        let query = wire::Query {
            routers: fleet.self_and_subscribers(sent_at),
            after: self.revision.map(query_client::to_wire),
            confirmation_age_ms,
            wait_ms: wait.0,
        };
        let answer = self.core.query_client.query(peer, query).await;
        let now = self.core.clock.now();
        match answer {
            Ok(Answer::Changes(head, facts, raw)) => self.apply(peer, head, facts, raw, sent_at),
            Ok(Answer::Referral(others)) => {
                debug!("query referred to other routers", kv: {
                    peer = &*peer.name, others = others.len(),
                });
                self.core.fleet().sources().record_referral(&peer.name, others, now);
            }
            Err(error) => {
                let reason = error.to_string();
                info!("query to another router failed", kv: { peer = &*peer.name, reason });
                self.core.fleet().sources().record_failure(&peer.name, now);
            }
        }
        QUERY_INTERVAL
    }

    /// Applies the answer of another router to a query sent at `sent_at`.
    fn apply(
        &mut self,
        peer: &Peer,
        head: wire::Changes,
        facts: Vec<Fact>,
        raw: Bytes,
        sent_at: Millis,
    ) {
        let now = self.core.clock.now();
        let revision = query_server::from_wire(head.revision);
        if !self.is_acceptable(revision, head.full) {
            return self.core.fleet().sources().record_stale(&peer.name, now);
        }
        let is_first = self.revision.is_none();
        let bytes = raw.len();
        self.apply_answer(Batch { facts, revision, bytes, ..Batch::default() }, head.full);
        if is_first {
            self.core.fleet().cache_packed(raw, now);
        }
        // The query arrived after `sent_at`, and the answer began `waited_ms` later.
        let confirmed_at = head
            .confirmation_age_ms
            .map(|age_ms| sent_at + Millis(head.waited_ms) - Millis(age_ms) - ROUNDING_MARGIN);
        if let Some(at) = confirmed_at.filter(|_| self.confirms()) {
            self.core.apply(Event::ConfigurationConfirmed { at });
            // The answer covers the outage, so no full read is needed.
            if self.failing_since.take_if(|since| *since <= at).is_some() {
                self.full_read_due = false;
            }
        }
        let age = self.core.confirmation_age_ms().map(Millis);
        let mut sources = self.core.fleet().sources();
        if self.freshness.is_stale(age) {
            sources.record_stale(&peer.name, now);
        } else {
            sources.record_success(&peer.name);
        }
        drop(sources);
        self.set_source(Some(peer), age);
        self.core.fleet().notify();
    }

    /// Whether an answer of another router is not older than what is known.
    fn is_acceptable(&self, revision: Revision, full: bool) -> bool {
        let Some(known) = self.revision else { return full && revision.era >= self.era };
        match revision.era.cmp(&known.era) {
            Ordering::Less => false,
            Ordering::Equal => revision.number >= known.number,
            Ordering::Greater => full,
        }
    }

    /// Records the current source; `None` is the store.
    pub(super) fn set_source(&mut self, source: Option<&Peer>, confirmation_age: Option<Millis>) {
        let name = source.map(|peer| peer.name.clone());
        if self.source == name {
            return;
        }
        let from = name.as_deref().unwrap_or("the store");
        let age_ms = confirmation_age.map_or(u64::MAX, |age| age.0);
        info!("store source changed", kv: { from, proof_ms = age_ms });
        self.core.fleet().set_source(source);
        self.source = name;
    }
}
