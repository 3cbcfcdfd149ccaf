//! One sending of a request straight to its upstream.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use edge::{Dispatch, Feedback};
use errors::Kind;
use events::Splitter;
use outbound::{Answer, Fault};
use routing::{Attempt, Event, Reply};
use wire::{Chunk, End, Head, Refused, Status};

use crate::core::Core;
use crate::headers;
use crate::template::Template;

/// The status of an upstream that is not the one that was meant.
const MISDIRECTED: u16 = 421;

/// How many bytes of an answer are kept back until it is whole, so that
/// another upstream may still be asked. Longer answers are passed on as they
/// come.
const MAX_KEPT: usize = 64 * 1024;

/// The end of an attempt without a last reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lost {
    /// Whether any byte of the request may have reached the upstream.
    pub sent: bool,
}

type Waiting = Pin<Box<dyn Future<Output = Result<Answer, Fault>>>>;

enum Stage {
    /// The head of the answer is waited for.
    Head(Waiting),
    /// The body comes.
    Body(Answer),
    /// Nothing more will come.
    Over,
}

/// What has been passed on of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub chunks: u64,
    pub bytes: u64,
    /// The number of the last event.
    pub event: Option<u64>,
}

/// An attempt under way; dropping it closes its connection, which cancels the
/// request at the upstream.
pub(crate) struct Call {
    core: Rc<Core>,
    request: Arc<str>,
    upstream: Arc<str>,
    attempt: u32,
    stage: Stage,
    /// Replies that are ready, and what has been passed on once they are taken.
    ready: VecDeque<(Reply, Progress)>,
    /// The head, until there is something to pass on with it.
    head: Option<Head>,
    /// Bytes that are kept back until the answer is whole.
    kept: BytesMut,
    /// Set where the answer is a stream of events.
    events: Option<Splitter>,
    /// What has been passed on.
    progress: Progress,
    /// The same, once all that is ready is taken.
    queued: Progress,
}

impl Call {
    /// Sends the request of `template` as `attempt` says.
    pub(crate) fn start(
        core: &Rc<Core>,
        request: &Arc<str>,
        attempt: &Attempt,
        template: &Template,
        workspace: Option<&str>,
        progress: Progress,
    ) -> Self {
        let sending = Dispatch {
            remaining: attempt.remaining,
            upstream: &attempt.upstream,
            workspace,
            priority: template.events.then_some(attempt.priority),
            copy_from: attempt.copy_from.as_deref(),
            last_event: progress.event.filter(|_| attempt.resume),
        };
        let outgoing = outgoing(core, template, &sending);
        let (client, address) = (core.client().clone(), attempt.address.clone());
        let fresh = attempt.new_connection;
        let answer = Box::pin(async move { client.send(address, outgoing, fresh).await });
        Self {
            core: core.clone(),
            request: request.clone(),
            upstream: attempt.upstream.clone(),
            attempt: attempt.number,
            stage: Stage::Head(answer),
            ready: VecDeque::new(),
            head: None,
            kept: BytesMut::new(),
            events: template.events.then(|| Splitter::after(progress.event)),
            progress,
            queued: progress,
        }
    }

    /// What has been passed on so far.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// The next reply.
    ///
    /// # Errors
    ///
    /// The attempt ended before its last reply.
    pub(crate) async fn next(&mut self) -> Result<Reply, Lost> {
        loop {
            if let Some((reply, progress)) = self.ready.pop_front() {
                self.progress = progress;
                return Ok(reply);
            }
            match &mut self.stage {
                Stage::Head(answer) => match answer.await {
                    Ok(answer) => self.open(answer)?,
                    Err(fault) => {
                        self.stage = Stage::Over;
                        return Err(Lost { sent: fault.may_have_been_sent() });
                    }
                },
                Stage::Body(answer) => {
                    let part = answer.next().await;
                    self.take(part)?;
                }
                Stage::Over => return std::future::pending().await,
            }
        }
    }

    /// Reads the head of the answer.
    fn open(&mut self, mut answer: Answer) -> Result<(), Lost> {
        self.stage = Stage::Over;
        let status = answer.status;
        let headers = std::mem::take(&mut answer.headers);
        let told = self.core.edges().dialect.parse_response(status, &headers);
        if told.id.as_ref().is_some_and(|it| *it != self.request) {
            return Err(Lost { sent: true });
        }
        // That of another upstream which has the address now says nothing of this one.
        if status != MISDIRECTED {
            self.hear(&told);
        }
        if told.not_run {
            self.queue(refused(status));
            return Ok(());
        }
        let success = (200..300).contains(&status);
        if told.id.is_none() || (success && !told.signed) {
            return Err(Lost { sent: true });
        }
        if !success {
            self.events = None;
        }
        let headers = headers::end_to_end(headers);
        self.head = Some(Head { attempt: self.attempt, status, headers });
        self.stage = Stage::Body(answer);
        Ok(())
    }

    /// Takes what the head of an answer says of its upstream.
    fn hear(&self, told: &Feedback) {
        if let Some(edge::Load { running, waiting, pace }) = told.load {
            let (upstream, requests) = (self.upstream.clone(), running.saturating_add(waiting));
            if let Some(percent) = pace {
                self.core.apply(Event::Pace { upstream: upstream.clone(), percent });
            }
            self.core.apply(Event::Load { upstream, requests, waiting });
        }
        if let Some(left) = told.cold {
            self.core.apply(Event::Cold { upstream: self.upstream.clone(), remaining: left });
        }
        if let Some(lasts) = told.backoff {
            self.core.apply(Event::Backoff { upstream: self.upstream.clone(), duration: lasts });
        }
        if told.leaving {
            self.core.apply(Event::Leaving { upstream: self.upstream.clone() });
        }
    }

    /// Takes a part of the body.
    fn take(&mut self, part: Option<Result<Bytes, Fault>>) -> Result<(), Lost> {
        match part {
            Some(Ok(bytes)) => self.bytes(&bytes),
            Some(Err(_)) => {
                self.stage = Stage::Over;
                Err(Lost { sent: true })
            }
            None => self.end(),
        }
    }

    /// Takes bytes of the body: of a stream, whole events are passed on at once;
    /// anything else is kept back up to [`MAX_KEPT`].
    fn bytes(&mut self, bytes: &[u8]) -> Result<(), Lost> {
        if let Some(events) = &mut self.events {
            let whole = events.push(bytes).map_err(|_| Lost { sent: true });
            let whole = whole.inspect_err(|_| self.stage = Stage::Over)?;
            let last = self.events.as_ref().and_then(Splitter::last);
            self.pass(whole, last);
            return Ok(());
        }
        self.kept.extend_from_slice(bytes);
        if self.head.is_none() || self.kept.len() > MAX_KEPT {
            let kept = self.kept.split().freeze();
            self.pass(kept, None);
        }
        Ok(())
    }

    /// Makes a reply ready.
    fn queue(&mut self, reply: Reply) {
        self.ready.push_back((reply, self.queued));
    }

    /// Passes bytes on, after the head; `event` is the number of the last event
    /// in them.
    fn pass(&mut self, bytes: Bytes, event: Option<u64>) {
        if bytes.is_empty() {
            return;
        }
        self.pass_head();
        let chunk = Chunk { attempt: self.attempt, sequence: self.queued.chunks, bytes };
        self.queued.chunks += 1;
        self.queued.bytes += chunk.bytes.len() as u64;
        self.queued.event = event.or(self.queued.event);
        self.queue(Reply::Chunk(chunk));
    }

    fn pass_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.queue(Reply::Head(head));
        }
    }

    /// Takes the regular end of the body.
    fn end(&mut self) -> Result<(), Lost> {
        self.stage = Stage::Over;
        if self.events.as_ref().is_some_and(Splitter::is_partial) {
            return Err(Lost { sent: true });
        }
        let kept = self.kept.split().freeze();
        self.pass(kept, None);
        self.pass_head();
        self.queue(Reply::End(End {
            attempt: self.attempt,
            chunks: self.queued.chunks,
            bytes: self.queued.bytes,
            status: Status::default(),
        }));
        Ok(())
    }
}

/// The request of `template` as it goes to the upstream.
fn outgoing(core: &Core, template: &Template, sending: &Dispatch<'_>) -> outbound::Request {
    outbound::Request {
        method: template.method.clone(),
        path: template.path.clone(),
        headers: core.edges().dialect.forward(&template.headers, sending),
        body: template.body.clone(),
    }
}

/// The upstream says that it did not run the request.
fn refused(status: u16) -> Reply {
    let kind = if status == MISDIRECTED { Kind::Leaving } else { Kind::QueueFull };
    let (hints, status) = (Vec::new(), Status::default());
    Reply::Refused(Refused { kind, retry_after_ms: 0, hints, status })
}
