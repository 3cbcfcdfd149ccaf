//! An attempt that is sent straight to its upstream.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use edge::{Dispatch, Feedback};
use errors::Kind;
use events::Splitter;
use outbound::{Answer, Error};
use routing::{Attempt, Event, Reply};
use wire::{Chunk, End, Head, Refused, Status};

use crate::collection::Collection;
use crate::core::Core;
use crate::headers;
use crate::report;
use crate::template::Template;

/// The status of a response from another upstream than the intended one.
const MISDIRECTED_STATUS: u16 = 421;

/// The most bytes of a response that are buffered until it is complete, so that another upstream
/// can still be tried. Longer responses are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The attempt ended without a valid final reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptFailure {
    /// Whether any byte of the request may have reached the upstream.
    pub sent: bool,
}

type PendingAnswer = Pin<Box<dyn Future<Output = Result<Answer, Error>>>>;

enum Stage {
    /// Waiting for the head of the response.
    Head(PendingAnswer),
    /// Reading the body.
    Body(Answer),
    Done,
}

/// How much of a response has been forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub chunks: u64,
    pub bytes: u64,
    /// The number of the last event.
    pub event: Option<u64>,
}

/// An attempt in progress. Dropping it closes its connection, which cancels the request at the
/// upstream.
pub(crate) struct Call {
    core: Rc<Core>,
    request: Arc<str>,
    upstream: Arc<str>,
    attempt: u32,
    stage: Stage,
    /// Replies ready to be taken, each with the progress after it.
    ready: VecDeque<(Reply, Progress)>,
    /// The head, held until there is a part of the body to forward.
    head: Option<Head>,
    /// Bytes buffered until the response is complete.
    buffer: BytesMut,
    /// The memory for a part of an event.
    collection: Collection,
    /// Set where the response is a stream of events.
    events: Option<Splitter>,
    progress: Progress,
    /// The progress once all ready replies are taken.
    queued_progress: Progress,
}

impl Call {
    /// Sends the request of `template` as described by `attempt`.
    pub(crate) fn start(
        core: &Rc<Core>,
        request: &Arc<str>,
        attempt: &Attempt,
        template: &Template,
        workspace: Option<&str>,
        progress: Progress,
    ) -> Self {
        let dispatch = Dispatch {
            remaining: attempt.remaining,
            upstream: &attempt.upstream,
            workspace,
            priority: template.events.then_some(attempt.priority),
            copy_from: attempt.copy_from.as_deref(),
            last_event: progress.event.filter(|_| attempt.resume),
        };
        let outgoing = build_request(core, template, &dispatch);
        let (client, address) = (core.client().clone(), attempt.address.clone());
        let new_connection = attempt.new_connection;
        let answer = Box::pin(async move { client.send(address, outgoing, new_connection).await });
        Self {
            core: core.clone(),
            request: request.clone(),
            upstream: attempt.upstream.clone(),
            attempt: attempt.number,
            stage: Stage::Head(answer),
            ready: VecDeque::new(),
            head: None,
            buffer: BytesMut::new(),
            collection: core.collections.start(&attempt.upstream),
            events: template.events.then(|| Splitter::resume_after(progress.event)),
            progress,
            queued_progress: progress,
        }
    }

    /// What has been forwarded so far.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// The next reply.
    ///
    /// # Errors
    ///
    /// The attempt ended before its last reply.
    pub(crate) async fn next(&mut self) -> Result<Reply, AttemptFailure> {
        loop {
            if let Some((reply, progress)) = self.ready.pop_front() {
                self.progress = progress;
                return Ok(reply);
            }
            match &mut self.stage {
                Stage::Head(answer) => match answer.await {
                    Ok(answer) => self.read_head(answer)?,
                    Err(error) => {
                        self.stage = Stage::Done;
                        return Err(AttemptFailure { sent: error.may_have_been_sent() });
                    }
                },
                Stage::Body(answer) => {
                    let part = answer.next().await;
                    self.handle_part(part)?;
                }
                Stage::Done => return std::future::pending().await,
            }
        }
    }

    /// Reads the head of the response.
    fn read_head(&mut self, mut answer: Answer) -> Result<(), AttemptFailure> {
        self.stage = Stage::Done;
        let status = answer.status;
        let headers = std::mem::take(&mut answer.headers);
        let feedback = self.core.edges().dialect.parse_response(status, &headers);
        if feedback.id.as_ref().is_some_and(|id| *id != self.request) {
            return Err(AttemptFailure { sent: true });
        }
        // The feedback of another upstream at this address must not be attributed to this one.
        if status != MISDIRECTED_STATUS {
            self.apply_feedback(&feedback);
        }
        if feedback.not_run {
            self.queue(refusal(status));
            return Ok(());
        }
        let success = (200..300).contains(&status);
        if feedback.id.is_none() || (success && !feedback.signed) {
            return Err(AttemptFailure { sent: true });
        }
        if !success {
            self.events = None;
        }
        let headers = headers::end_to_end(headers);
        self.head = Some(Head { attempt: self.attempt, status, headers });
        self.stage = Stage::Body(answer);
        Ok(())
    }

    /// Applies the upstream's feedback from the head of a response.
    fn apply_feedback(&self, feedback: &Feedback) {
        if let Some(edge::Load { running, waiting, pace }) = feedback.load {
            let (upstream, requests) = (self.upstream.clone(), running.saturating_add(waiting));
            if let Some(percent) = pace {
                self.core.apply(Event::Pace { upstream: upstream.clone(), percent });
            }
            self.core.apply(Event::Load { upstream, requests, waiting });
        }
        if let Some(remaining) = feedback.cold {
            self.core.apply(Event::Cold { upstream: self.upstream.clone(), remaining });
        }
        if let Some(duration) = feedback.backoff {
            self.core.apply(Event::Backoff { upstream: self.upstream.clone(), duration });
        }
        if feedback.leaving {
            self.core.apply(Event::Leaving { upstream: self.upstream.clone() });
        }
    }

    fn handle_part(&mut self, part: Option<Result<Bytes, Error>>) -> Result<(), AttemptFailure> {
        match part {
            Some(Ok(bytes)) => self.handle_bytes(&bytes),
            Some(Err(_)) => {
                self.stage = Stage::Done;
                Err(AttemptFailure { sent: true })
            }
            None => self.finish(),
        }
    }

    /// Handles bytes of the body: complete events of a stream are forwarded at once, anything else
    /// is buffered up to [`MAX_BUFFERED_BYTES`].
    fn handle_bytes(&mut self, bytes: &[u8]) -> Result<(), AttemptFailure> {
        if let Some(events) = &mut self.events {
            let complete = events.push(bytes).map_err(|_| AttemptFailure { sent: true });
            let complete = complete.inspect_err(|_| self.stage = Stage::Done)?;
            let (last, held) = (events.last_id(), events.buffered());
            if !self.collection.resize(held) {
                report::log_long_response(&self.request, &self.upstream, held);
                self.stage = Stage::Done;
                return Err(AttemptFailure { sent: true });
            }
            self.forward(complete, last);
            return Ok(());
        }
        self.buffer.extend_from_slice(bytes);
        if self.head.is_none() || self.buffer.len() > MAX_BUFFERED_BYTES {
            let buffer = self.buffer.split().freeze();
            self.forward(buffer, None);
        }
        Ok(())
    }

    fn queue(&mut self, reply: Reply) {
        self.ready.push_back((reply, self.queued_progress));
    }

    /// Forwards bytes, preceded by the head; `event` is the number of the last event in them.
    fn forward(&mut self, bytes: Bytes, event: Option<u64>) {
        if bytes.is_empty() {
            return;
        }
        self.forward_head();
        let chunk = Chunk { attempt: self.attempt, sequence: self.queued_progress.chunks, bytes };
        self.queued_progress.chunks += 1;
        self.queued_progress.bytes += chunk.bytes.len() as u64;
        self.queued_progress.event = event.or(self.queued_progress.event);
        self.queue(Reply::Chunk(chunk));
    }

    fn forward_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.queue(Reply::Head(head));
        }
    }

    /// Handles the regular end of the body.
    fn finish(&mut self) -> Result<(), AttemptFailure> {
        self.stage = Stage::Done;
        if self.events.as_ref().is_some_and(Splitter::is_partial) {
            return Err(AttemptFailure { sent: true });
        }
        let buffer = self.buffer.split().freeze();
        self.forward(buffer, None);
        self.forward_head();
        self.queue(Reply::End(End {
            attempt: self.attempt,
            chunks: self.queued_progress.chunks,
            bytes: self.queued_progress.bytes,
            status: Status::default(),
        }));
        Ok(())
    }
}

/// The request of `template` in the form that the upstream expects.
fn build_request(core: &Core, template: &Template, dispatch: &Dispatch<'_>) -> outbound::Request {
    outbound::Request {
        method: template.method.clone(),
        path: template.path.clone(),
        headers: core.edges().dialect.forward(&template.headers, dispatch),
        body: template.body.clone(),
    }
}

/// The refusal of an upstream that did not run the request.
fn refusal(status: u16) -> Reply {
    let kind = if status == MISDIRECTED_STATUS { Kind::Leaving } else { Kind::QueueFull };
    let (hints, status) = (Vec::new(), Status::default());
    Reply::Refused(Refused { kind, retry_after_ms: 0, hints, status })
}
