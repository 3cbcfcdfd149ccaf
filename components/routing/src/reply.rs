//! What becomes of an attempt.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use placement::key;
use wire::{Broken, Chunk, End, Head, Note, Refused, Stage, Status};

use crate::request::{Phase, Request};
use crate::share::share;
use crate::state::State;
use crate::{Effect, Path, Reply};

/// The lowest HTTP status that is no success.
const NO_SUCCESS: u16 = 300;

/// The lowest HTTP status of a failure of the upstream.
const FAILURES: u16 = 500;

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
        self.hear_from(id, now);
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
        let told = self.settings.path == Path::Sidecar;
        if let Some(upstream) = name.and_then(|it| self.upstreams.get_mut(it)).filter(|_| told) {
            upstream.hear(status, now);
        }
    }

    fn refused(&mut self, id: u64, refused: &Refused, now: Millis) -> Vec<Effect> {
        self.hear(id, refused.status, now);
        if !refused.hints.is_empty() {
            self.follow(id, refused);
        }
        if refused.kind == Kind::Leaving && self.settings.path == Path::Direct {
            self.replaced(id, now);
        }
        self.try_elsewhere(id, refused.kind, refused.retry_after_ms, now)
    }

    /// Another upstream answers at the address of the one that was meant, which
    /// has ended: the list will drop it soon.
    fn replaced(&mut self, id: u64, now: Millis) {
        let until = now + Millis(self.settings.suspect_max_ms);
        let name = self.requests.get(&id).and_then(|it| it.upstream());
        if let Some(upstream) = name.and_then(|it| self.upstreams.get_mut(it)) {
            upstream.suspect_until = until;
            let (upstream, failures) = (upstream.host.name.clone(), upstream.failures);
            self.notices.push(Effect::Suspect { upstream, failures, until });
        }
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
        if head.attempt != request.attempt() {
            return self.cut(id, Kind::Crossed, now);
        }
        if request.is_answering() {
            return self.resumed(id, head.status, now);
        }
        if head.status >= FAILURES && request.repeatable && self.settings.path == Path::Direct {
            return self.failed(id, head, now);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.phase = Phase::Answering { chunks: 0, bytes: 0 };
        request.status = Some(head.status);
        let mut effects = vec![Effect::Head(head)];
        if let Some(upstream) = request.upstream().cloned() {
            let parts = self.warmth.read(&request.ask.shared, &upstream);
            effects.extend(share(&upstream, parts, Stage::Read));
            self.alive(&upstream);
        }
        effects
    }

    /// Another upstream goes on with an answer: the caller keeps the head of the
    /// one that began it, and a failure is no part of it.
    fn resumed(&mut self, id: u64, status: u16, now: Millis) -> Vec<Effect> {
        let resumed = |it: &Request| it.resumable && it.attempt() > 1;
        if !self.requests.get(&id).is_some_and(resumed) {
            return self.cut(id, Kind::Crossed, now);
        }
        if status < NO_SUCCESS {
            return Vec::new();
        }
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.try_elsewhere(id, Kind::Truncated, 0, now));
        effects
    }

    /// The upstream ran the request and failed. Another one may do better; if
    /// none may be asked, the caller gets the failure.
    fn failed(&mut self, id: u64, head: Head, now: Millis) -> Vec<Effect> {
        if self.may_try_elsewhere(id, Kind::UpstreamFailed, now) {
            self.mark(id, Kind::UpstreamFailed);
            let mut effects = vec![Effect::Cancel];
            effects.extend(self.attempt(id, now));
            return effects;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Answering { chunks: 0, bytes: 0 };
            request.status = Some(head.status);
        }
        vec![Effect::Head(head)]
    }

    /// Notes why the current attempt failed.
    pub(crate) fn mark(&mut self, id: u64, kind: Kind) {
        self.release(id);
        let last = self.requests.get_mut(&id).and_then(|it| it.tries.last_mut());
        if let Some(last) = last {
            last.error = Some(kind);
        }
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
        if request.is_answering() && !request.resumable {
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
            self.blame(&upstream, sent, now);
        }
        if answering {
            return self.try_elsewhere(id, Kind::Truncated, 0, now);
        }
        let kind = if sent { Kind::LinkLost } else { Kind::Unreachable };
        self.try_elsewhere(id, kind, 0, now)
    }

    /// One broken connection says little about an upstream that is reached
    /// directly: it is left alone only when the next one breaks too, or none can
    /// be opened.
    fn blame(&mut self, upstream: &Arc<str>, sent: bool, now: Millis) {
        let first = match self.upstreams.get_mut(upstream) {
            Some(it) if it.failures == 0 && sent && self.settings.path == Path::Direct => it,
            _ => return self.suspect(upstream, now),
        };
        first.failures = 1;
    }

    /// A sidecar that says nothing is frozen or cut off; the request may still
    /// run there.
    pub(crate) fn stalled(&mut self, id: u64, attempt: u32, now: Millis) -> Vec<Effect> {
        if self.settings.path == Path::Direct {
            return if self.is_current(id, attempt) { self.quiet(id, now) } else { Vec::new() };
        }
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
            Phase::Binding | Phase::Waiting => Kind::Cancelled,
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
            Phase::Binding | Phase::Waiting => Kind::ExpiredWaiting,
            Phase::Sent | Phase::Admitted => Kind::Expired,
            Phase::Answering { .. } => Kind::ExpiredRunning,
        };
        let mut effects = vec![Effect::Cancel];
        effects.extend(self.fail(id, kind, 0, "", now));
        effects
    }

    /// Whether the budget for going on after `kind` has something left.
    fn may_go_on(&mut self, id: u64, kind: Kind) -> bool {
        match kind {
            // Nothing has come to the upstreams yet.
            Kind::Unreachable if self.settings.path == Path::Direct => true,
            _ if self.settings.path == Path::Direct => self.budget(id).spend(),
            // Following a chat to its context is not a retry.
            Kind::Moved => true,
            Kind::OverBound | Kind::QueueFull | Kind::WouldMiss | Kind::Leaving => {
                self.hops.spend()
            }
            _ => self.budget(id).spend(),
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
        self.mark(id, kind);
        if self.may_try_elsewhere(id, kind, now) {
            return self.attempt(id, now);
        }
        self.fail(id, kind, after, "", now)
    }

    /// Whether the request may be sent to another upstream after `kind`; if so,
    /// a retry is taken from the budget.
    pub(crate) fn may_try_elsewhere(&mut self, id: u64, kind: Kind, now: Millis) -> bool {
        self.rank_again(id, now);
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let row = kind.row();
        let safe = match row.outcome {
            _ if request.is_answering() => request.resumable,
            Outcome::NotRun => row.elsewhere,
            Outcome::Unknown => request.repeatable && request.once().is_none(),
            Outcome::Ran => request.repeatable && kind == Kind::UpstreamFailed,
        };
        let left = request.attempt() < self.settings.max_attempts
            && request.reached() < request.attempts
            && request.deadline > now
            && !request.candidates.is_empty();
        safe && left && self.may_go_on(id, kind)
    }
}
