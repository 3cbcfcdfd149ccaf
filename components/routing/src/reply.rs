//! What becomes of an attempt.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use placement::key;
use wire::{Broken, Chunk, End, Head, Note, Refused, Status};

use crate::request::Phase;
use crate::state::State;
use crate::{Effect, Reply};

impl State {
    pub(crate) fn reply(
        &mut self,
        id: u64,
        attempt: u32,
        reply: Reply,
        now: Millis,
    ) -> Vec<Effect> {
        if !self.is_current(id, attempt) {
            return Vec::new();
        }
        match reply {
            Reply::Refused(refused) => self.refused(id, &refused, now),
            Reply::Admitted(admitted) => self.admitted(id, admitted.status, now),
            Reply::Head(head) => self.head(id, head, now),
            Reply::Chunk(chunk) => self.chunk(id, chunk, now),
            Reply::End(end) => self.end(id, end, now),
            Reply::Broken(broken) => self.broken(id, broken, now),
            Reply::Strange => self.cut(id, Kind::Crossed, now),
        }
    }

    /// Whether replies to `attempt` still count.
    fn is_current(&self, id: u64, attempt: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|it| it.attempt() == attempt && it.phase != Phase::Binding)
    }

    fn hear(&mut self, id: u64, status: Status, now: Millis) {
        let name = self.requests.get(&id).and_then(|it| it.upstream());
        if let Some(upstream) = name.and_then(|it| self.upstreams.get_mut(it)) {
            upstream.hear(status, now);
        }
    }

    fn refused(&mut self, id: u64, refused: &Refused, now: Millis) -> Vec<Effect> {
        self.hear(id, refused.status, now);
        if !refused.hints.is_empty() {
            self.follow(id, refused);
        }
        self.try_elsewhere(id, refused.kind, refused.retry_after_ms, now)
    }

    /// The chat's context is elsewhere: those places are next, then the home
    /// itself if it has room. A hint never leads past the intents.
    fn follow(&mut self, id: u64, refused: &Refused) {
        let allowed = |hint: &&Arc<str>| self.may_go(id, hint);
        let mut hints: Vec<_> = refused.hints.iter().filter(allowed).cloned().collect();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.hints.is_empty() {
            return;
        }
        request.hints.clone_from(&refused.hints);
        request.candidates.retain(|it| !hints.contains(it));
        if refused.kind == Kind::Moved {
            let home = request.tries.last().map(|it| it.upstream.clone());
            request.candidates.extend(home);
        }
        hints.reverse();
        request.candidates.append(&mut hints);
    }

    /// What the chat's first upstream in rank is to be told, if it was answered
    /// by another than it believes.
    fn note(&self, id: u64) -> Option<Effect> {
        let request = self.requests.get(&id)?;
        let (home, served) = (request.home.as_ref()?, request.upstream()?);
        if home == served || request.hints.first() == Some(served) {
            return None;
        }
        let upstream = self.upstreams.get(home)?;
        let chat = key(&request.ask.workspace, &request.ask.chat);
        Some(Effect::Note {
            upstream: home.clone(),
            address: upstream.host.address.clone(),
            note: Note { chat, upstream: served.clone() },
        })
    }

    fn admitted(&mut self, id: u64, status: Status, now: Millis) -> Vec<Effect> {
        self.hear(id, status, now);
        if let Some(request) = self.requests.get_mut(&id)
            && request.phase == Phase::Sent
        {
            request.phase = Phase::Admitted;
        }
        Vec::new()
    }

    fn head(&mut self, id: u64, head: Head, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if head.attempt != request.attempt() || request.is_answering() {
            return self.cut(id, Kind::Crossed, now);
        }
        request.phase = Phase::Answering { chunks: 0, bytes: 0 };
        vec![Effect::Head(head)]
    }

    fn chunk(&mut self, id: u64, chunk: Chunk, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let attempt = request.attempt();
        let Phase::Answering { chunks, bytes } = &mut request.phase else {
            return self.cut(id, Kind::Crossed, now);
        };
        if chunk.attempt != attempt {
            return self.cut(id, Kind::Crossed, now);
        }
        if chunk.sequence < *chunks {
            return Vec::new();
        }
        if chunk.sequence > *chunks {
            return self.cut(id, Kind::Truncated, now);
        }
        *chunks += 1;
        *bytes += chunk.bytes.len() as u64;
        vec![Effect::Relay(chunk.bytes)]
    }

    fn end(&mut self, id: u64, end: End, now: Millis) -> Vec<Effect> {
        self.hear(id, end.status, now);
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if end.attempt != request.attempt() {
            return self.cut(id, Kind::Crossed, now);
        }
        let whole = Phase::Answering { chunks: end.chunks, bytes: end.bytes };
        if request.phase != whole {
            return self.cut(id, Kind::Truncated, now);
        }
        let mut effects: Vec<_> = self.note(id).into_iter().collect();
        effects.push(Effect::Finish);
        effects.extend(self.close(id, None, "", now));
        effects
    }

    fn broken(&mut self, id: u64, broken: Broken, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if broken.attempt != request.attempt() {
            return self.cut(id, Kind::Crossed, now);
        }
        if request.is_answering() {
            let kind = if broken.kind.row().outcome == Outcome::Ran {
                broken.kind
            } else {
                Kind::Truncated
            };
            return self.fail(id, kind, 0, "", now);
        }
        self.try_elsewhere(id, broken.kind, 0, now)
    }

    pub(crate) fn lost(&mut self, id: u64, attempt: u32, sent: bool, now: Millis) -> Vec<Effect> {
        if !self.is_current(id, attempt) {
            return Vec::new();
        }
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let (answering, upstream) = (request.is_answering(), request.upstream().cloned());
        if let Some(upstream) = upstream {
            self.suspect(&upstream, now);
        }
        if answering {
            return self.fail(id, Kind::Truncated, 0, "", now);
        }
        let kind = if sent { Kind::LinkLost } else { Kind::Unreachable };
        self.try_elsewhere(id, kind, 0, now)
    }

    /// A sidecar that says nothing is frozen or cut off; the request may still
    /// run there.
    pub(crate) fn stalled(&mut self, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
        let waiting = self.requests.get(&id).is_some_and(|it| it.phase == Phase::Sent);
        if !waiting || !self.is_current(id, attempt) {
            return Vec::new();
        }
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.lost(id, attempt, true, now));
        effects
    }

    pub(crate) fn quit(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding => Kind::Cancelled,
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.close(id, Some(kind), "the caller went away", now));
        effects
    }

    pub(crate) fn expire(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let kind = match request.phase {
            Phase::Binding => Kind::ExpiredWaiting,
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Whether the budget for going on after `kind` has something left.
    fn may_go_on(&mut self, kind: Kind) -> bool {
        match kind {
            // Following a chat to its context is not a retry.
            Kind::Moved => true,
            Kind::OverBound | Kind::QueueFull | Kind::WouldMiss | Kind::Leaving => {
                self.hops.spend()
            }
            _ => self.budget.spend(),
        }
    }

    fn cut(&mut self, id: u64, kind: Kind, now: Millis) -> Vec<Effect> {
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// After an attempt that gave nothing to the caller: the next candidate if
    /// that is safe and allowed, else the final answer.
    fn try_elsewhere(&mut self, id: u64, kind: Kind, after: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(last) = request.tries.last_mut() {
            last.error = Some(kind);
        }
        let row = kind.row();
        let safe = match row.outcome {
            Outcome::NotRun => row.elsewhere,
            Outcome::Unknown => request.repeatable && request.once().is_none(),
            Outcome::Ran => false,
        };
        let allowed = request.attempt() < self.settings.max_attempts
            && request.deadline > now
            && !request.candidates.is_empty();
        if safe && allowed && self.may_go_on(kind) {
            return self.attempt(id, now);
        }
        self.fail(id, kind, after, "", now)
    }
}
