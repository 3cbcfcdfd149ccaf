//! Hearing from another router what the store holds.

use std::cmp::Ordering;

use bytes::Bytes;
use clock::Millis;
use edge::{Batch, Fact, Peer, Revision};
use routing::Event;
use spdlog::{debug, info};

use super::Feed;
use crate::hearing::{self, Answer};
use crate::telling;

/// The least time between two questions to another router.
const QUESTION_PAUSE: Millis = Millis(100);

/// By how much times that were cut to whole milliseconds may add up.
const ROUNDING: Millis = Millis(3);

impl Feed {
    /// Asks another router what has changed.
    pub(super) async fn ask(&mut self, peer: &Peer, asked: Millis) -> Millis {
        let fleet = self.core.fleet();
        let proof_ms = self.core.proof_ms();
        // A router that follows the store asks it again soon.
        let proof = proof_ms.map(Millis).filter(|_| !fleet.follows());
        let left = self.listing.next_expiry().map(|at| asked.until(at));
        let wait = self.freshness.wait(proof, left);
        let look = wire::Query {
            routers: fleet.named(asked),
            after: self.revision.map(hearing::told),
            confirmation_age_ms: proof_ms,
            wait_ms: wait.0,
        };
        let answer = self.core.hearing.ask(peer, look).await;
        let now = self.core.clock.now();
        match answer {
            Ok(Answer::News(news, facts, packed)) => self.hear(peer, news, facts, packed, asked),
            Ok(Answer::Refer(others)) => {
                debug!("referred to others", kv: { peer = &*peer.name, others = others.len() });
                self.core.fleet().sources().record_referral(&peer.name, others, now);
            }
            Err(fault) => {
                let reason = fault.to_string();
                info!("another router tells nothing", kv: { peer = &*peer.name, reason });
                self.core.fleet().sources().record_failure(&peer.name, now);
            }
        }
        QUESTION_PAUSE
    }

    /// Takes what another router told in answer to a question of `asked`.
    fn hear(
        &mut self,
        peer: &Peer,
        news: wire::Changes,
        facts: Vec<Fact>,
        packed: Bytes,
        asked: Millis,
    ) {
        let now = self.core.clock.now();
        let revision = telling::revision(news.revision);
        if !self.may_take(revision, news.full) {
            return self.core.fleet().sources().record_stale(&peer.name, now);
        }
        let starts = self.revision.is_none();
        let bytes = packed.len();
        self.absorb(Batch { facts, revision, bytes, ..Batch::default() }, news.full);
        if starts {
            self.core.fleet().keep_packed(packed, now);
        }
        // The question came there after it was asked, and the answer began `held_ms` later.
        let proof = news
            .confirmation_age_ms
            .map(|it| asked + Millis(news.waited_ms) - Millis(it) - ROUNDING);
        if let Some(at) = proof.filter(|_| self.proves()) {
            self.core.apply(Event::ConfigurationConfirmed { at });
            // What changed meanwhile is known: there is no long history to be read.
            if self.lost.take_if(|since| *since <= at).is_some() {
                self.reads_anew = false;
            }
        }
        let age = self.core.proof_ms().map(Millis);
        let mut sources = self.core.fleet().sources();
        if self.freshness.is_stale(age) {
            sources.record_stale(&peer.name, now);
        } else {
            sources.record_success(&peer.name);
        }
        drop(sources);
        self.hears_from(Some(peer), age);
        self.core.fleet().tell_news();
    }

    /// Whether what another router told is not older than what is known.
    fn may_take(&self, revision: Revision, whole: bool) -> bool {
        let Some(known) = self.revision else { return whole && revision.era >= self.era };
        match revision.era.cmp(&known.era) {
            Ordering::Less => false,
            Ordering::Equal => revision.number >= known.number,
            Ordering::Greater => whole,
        }
    }

    /// Notes from whom this router hears; `None` is the store.
    pub(super) fn hears_from(&mut self, source: Option<&Peer>, proof: Option<Millis>) {
        let name = source.map(|it| it.name.clone());
        if self.source == name {
            return;
        }
        let from = name.as_deref().unwrap_or("the store");
        let proof_ms = proof.map_or(u64::MAX, |it| it.0);
        info!("hears of the store from another source", kv: { from, proof_ms });
        self.core.fleet().set_source(source);
        self.source = name;
    }
}
