//! Handles replies to attempts.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use placement::key;
use wire::{Broken, Chunk, DirectoryUpdate, End, Head, Refused, Stage, Status};

use crate::requests::request::{Phase, Request};
use crate::selection::prefixes::publish_prefixes;
use crate::state::State;
use crate::{Effect, Reply};

const MIN_UNSUCCESSFUL_STATUS: u16 = 300;

const MIN_FAILURE_STATUS: u16 = 500;

impl State {
    pub(crate) fn handle_reply(
        &mut self,
        id: u64,
        attempt: u32,
        reply: Reply,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.is_current(id, attempt) {
            return Vec::new();
        }
        self.record_activity(id, now);
        match reply {
            Reply::Refused(refused) => self.handle_refused(id, &refused, now),
            Reply::Admitted(admitted) => self.handle_admitted(id, admitted.status, now),
            Reply::Head(head) => self.handle_head(id, head, now),
            Reply::Chunk(chunk) => self.handle_chunk(id, chunk, now),
            Reply::End(end) => self.handle_end(id, end, now),
            Reply::Broken(broken) => self.handle_broken(id, broken, now),
            Reply::Unexpected => self.cancel_and_fail(id, Kind::Crossed, now),
        }
    }

    /// Whether `attempt` is current, so that replies to it count.
    fn is_current(&self, id: u64, attempt: u32) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            request.attempt_number() == attempt
                && !matches!(request.phase, Phase::Binding | Phase::Claiming | Phase::Locating)
        })
    }

    fn handle_refused(&mut self, id: u64, refused: &Refused, now: Millis) -> Vec<Effect> {
        self.record_status(id, refused.status, now);
        if !refused.hints.is_empty() {
            self.follow_hints(id, refused);
        }
        if self.settings.path.monitors_upstreams() {
            match refused.kind {
                Kind::Leaving => self.mark_replaced(id, now),
                Kind::QueueFull if self.report_saturation(id, now) => {}
                Kind::QueueFull => self.record_refusal(id, now),
                _ => {}
            }
        }
        self.retry(id, refused.kind, refused.retry_after_ms, now)
    }

    /// Puts the upstreams that have the chat's context next, then its home. Hints to upstreams that
    /// the configuration does not allow are ignored.
    fn follow_hints(&mut self, id: u64, refused: &Refused) {
        let allowed = |hint: &&Arc<str>| self.is_allowed(id, hint);
        let mut hints: Vec<_> = refused.hints.iter().filter(allowed).cloned().collect();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.hints.is_empty() {
            return;
        }
        request.hints.clone_from(&refused.hints);
        request.candidates.retain(|candidate| !hints.contains(candidate));
        if refused.kind == Kind::Moved {
            let home = request.tries.last().map(|attempt| attempt.upstream.clone());
            request.candidates.extend(home);
        }
        hints.reverse();
        request.candidates.append(&mut hints);
    }

    /// The update of the chat's directory entry, if another upstream served it than the entry says.
    fn directory_update(&self, id: u64) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let (home, served) = (request.home.as_ref()?, request.upstream()?);
        if home == served || request.hints.first() == Some(served) {
            return None;
        }
        let upstream = self.upstreams.get(home)?;
        let chat = key(&request.arrival.workspace, &request.arrival.chat);
        Some(Effect::UpdateDirectory {
            upstream: home.clone(),
            address: upstream.host.address.clone(),
            update: DirectoryUpdate { chat, upstream: served.clone() },
        })
    }

    fn handle_admitted(&mut self, id: u64, status: Status, now: Millis) -> Vec<Effect> {
        self.record_status(id, status, now);
        if let Some(request) = self.requests.get_mut(&id)
            && request.phase == Phase::Sent
        {
            request.phase = Phase::Admitted;
        }
        Vec::new()
    }

    fn handle_head(&mut self, id: u64, head: Head, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if head.attempt != request.attempt_number() {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        }
        if request.is_answering() {
            return self.resume_answer(id, head.status, now);
        }
        self.record_outcome(id, head.status < MIN_FAILURE_STATUS, now);
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if head.status >= MIN_FAILURE_STATUS
            && request.repeatable
            && self.settings.path.monitors_upstreams()
        {
            return self.handle_upstream_failure(id, head, now);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.start_answer(head.status, now);
        let mut effects = vec![Effect::Head(head)];
        if let Some(upstream) = request.upstream().cloned() {
            let prefixes =
                self.prefix_index.record_cached(&request.arrival.prefix_hashes(), &upstream);
            effects.extend(publish_prefixes(&upstream, prefixes, Stage::Cached));
            self.record_alive(&upstream);
        }
        self.record_answer_start(id, now);
        effects
    }

    /// Continues an answer at another upstream: the caller keeps the first head, and an
    /// unsuccessful status counts as a failure.
    fn resume_answer(&mut self, id: u64, status: u16, now: Millis) -> Vec<Effect> {
        let can_resume = |request: &Request| request.resumable && request.attempt_number() > 1;
        if !self.requests.get(&id).is_some_and(can_resume) {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        }
        if status < MIN_UNSUCCESSFUL_STATUS {
            self.record_answer_start(id, now);
            return Vec::new();
        }
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.retry(id, Kind::Truncated, 0, now));
        effects
    }

    /// Retries a request that failed at its upstream, or passes the failure on to the caller.
    fn handle_upstream_failure(&mut self, id: u64, head: Head, now: Millis) -> Vec<Effect> {
        if self.acquire_retry(id, Kind::UpstreamFailed, now) {
            self.record_failure(id, Kind::UpstreamFailed);
            let mut effects = vec![Effect::Cancel];
            effects.extend(self.send_next(id, now));
            return effects;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.start_answer(head.status, now);
        }
        vec![Effect::Head(head)]
    }

    fn handle_chunk(&mut self, id: u64, chunk: Chunk, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.record_chunk(now);
        let attempt = request.attempt_number();
        let Phase::Answering { chunks, bytes } = &mut request.phase else {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        };
        if chunk.attempt != attempt {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        }
        if chunk.sequence < *chunks {
            return Vec::new();
        }
        if chunk.sequence > *chunks {
            return self.cancel_and_fail(id, Kind::Truncated, now);
        }
        let is_first = *chunks == 0;
        *chunks += 1;
        *bytes += chunk.bytes.len() as u64;
        let beginning = is_first.then(|| self.record_beginning(id, now)).flatten();
        beginning.into_iter().chain([Effect::Relay(chunk.bytes)]).collect()
    }

    fn handle_end(&mut self, id: u64, end: End, now: Millis) -> Vec<Effect> {
        self.record_status(id, end.status, now);
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if end.attempt != request.attempt_number() {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        }
        let complete = Phase::Answering { chunks: end.chunks, bytes: end.bytes };
        if request.phase != complete {
            return self.cancel_and_fail(id, Kind::Truncated, now);
        }
        let mut effects: Vec<_> = self.directory_update(id).into_iter().collect();
        effects.push(Effect::Finish);
        effects.extend(self.close(id, None, "", now));
        effects
    }

    fn handle_broken(&mut self, id: u64, broken: Broken, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if broken.attempt != request.attempt_number() {
            return self.cancel_and_fail(id, Kind::Crossed, now);
        }
        if request.is_answering() && !request.resumable {
            let kind = if broken.kind.row().outcome == Outcome::Ran {
                broken.kind
            } else {
                Kind::Truncated
            };
            return self.fail(id, kind, 0, "", now);
        }
        self.retry(id, broken.kind, 0, now)
    }

    pub(crate) fn handle_connection_failure(
        &mut self,
        id: u64,
        attempt: u32,
        sent: bool,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.is_current(id, attempt) {
            return Vec::new();
        }
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let (answering, upstream) = (request.is_answering(), request.upstream().cloned());
        let mut effects = Vec::new();
        if sent {
            self.record_outcome(id, false, now);
            effects.extend(self.record_interrupted_and_check(id, now));
        }
        if let Some(upstream) = upstream {
            self.record_connection_failure(&upstream, sent, now);
        }
        let kind = match (answering, sent) {
            (true, _) => Kind::Truncated,
            (false, true) => Kind::LinkLost,
            (false, false) => Kind::Unreachable,
        };
        effects.extend(self.retry(id, kind, 0, now));
        effects
    }

    /// Handles an attempt whose timeout passed; the request may still be running there.
    pub(crate) fn handle_stall(&mut self, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
        if self.settings.path.monitors_upstreams() {
            let detects_silence = self.settings.mechanisms.silence;
            return if detects_silence && self.is_current(id, attempt) {
                self.handle_silence(id, now)
            } else {
                Vec::new()
            };
        }
        let waiting = self.requests.get(&id).is_some_and(|request| request.phase == Phase::Sent);
        if !waiting || !self.is_current(id, attempt) {
            return Vec::new();
        }
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.handle_connection_failure(id, attempt, true, now));
        effects
    }
}
