//! One sending of a request straight to its upstream.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use edge::{Header, Sending};
use errors::Kind;
use events::Splitter;
use futures_util::StreamExt;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::error::PayloadError;
use routing::{Attempt, Event, Reply};
use wire::{Chunk, End, Head, Refused, Status};

use crate::core::Core;
use crate::headers;
use crate::relay::Template;

/// The status of an upstream that is not the one that was meant.
const MISDIRECTED: u16 = 421;

/// Statuses of answers that have no body.
const NO_BODY: [u16; 2] = [204, 304];

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

type Answer = Pin<Box<dyn Future<Output = Result<ClientResponse, ClientError>>>>;

enum Stage {
    /// The head of the answer is waited for.
    Head(Answer),
    /// The body comes.
    Body(ClientResponse),
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
        let sending = Sending {
            remaining: attempt.remaining,
            upstream: &attempt.upstream,
            workspace,
            priority: template.events.then_some(attempt.priority),
            warm: attempt.warm.as_deref(),
            last_event: progress.event.filter(|_| attempt.resume),
        };
        let outgoing = outgoing(core, &attempt.address, template, &sending);
        Self {
            core: core.clone(),
            request: request.clone(),
            upstream: attempt.upstream.clone(),
            attempt: attempt.number,
            stage: Stage::Head(send(outgoing, &template.body)),
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
                    Ok(response) => self.open(response)?,
                    Err(fault) => {
                        self.stage = Stage::Over;
                        return Err(lost(&fault));
                    }
                },
                Stage::Body(response) => {
                    let part = response.next().await;
                    self.take(part)?;
                }
                Stage::Over => return std::future::pending().await,
            }
        }
    }

    /// Reads the head of the answer.
    fn open(&mut self, response: ClientResponse) -> Result<(), Lost> {
        self.stage = Stage::Over;
        let status = response.status().as_u16();
        let headers = headers::collect(response.headers());
        let told = self.core.edges().dialect.told(status, &headers);
        if told.id.as_ref().is_some_and(|it| *it != self.request) {
            return Err(Lost { sent: true });
        }
        if let Some(requests) = told.load {
            self.core.apply(Event::Load { upstream: self.upstream.clone(), requests });
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
        if is_unframed(status, &headers) {
            return Err(Lost { sent: true });
        }
        let headers = headers::end_to_end(headers);
        self.head = Some(Head { attempt: self.attempt, status, headers });
        self.stage = Stage::Body(response);
        Ok(())
    }

    /// Takes a part of the body.
    fn take(&mut self, part: Option<Result<ntex::util::Bytes, PayloadError>>) -> Result<(), Lost> {
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

/// Whether an answer's body ends with its connection. The client takes such a
/// body for empty, so that the answer can't be had through it.
fn is_unframed(status: u16, headers: &[Header]) -> bool {
    !NO_BODY.contains(&status)
        && edge::find(headers, "content-length").is_none()
        && edge::find(headers, "transfer-encoding").is_none()
}

/// The request of `template` to the upstream at `address`, without its body.
fn outgoing(
    core: &Core,
    address: &str,
    template: &Template,
    sending: &Sending<'_>,
) -> ClientRequest {
    let headers = core.edges().dialect.forward(&template.headers, sending);
    let url = format!("http://{address}{}", template.path);
    let method = Method::from_bytes(template.method.as_bytes()).unwrap_or(Method::POST);
    let mut request = core.client().request(method, url).no_decompress();
    for (name, value) in &headers {
        request = request.header(&**name, &**value);
    }
    request
}

fn send(request: ClientRequest, body: &Bytes) -> Answer {
    if body.is_empty() {
        return Box::pin(request.send());
    }
    Box::pin(request.send_body(ntex::util::Bytes::copy_from_slice(body)))
}

/// The upstream says that it did not run the request.
fn refused(status: u16) -> Reply {
    let kind = if status == MISDIRECTED { Kind::Leaving } else { Kind::QueueFull };
    let (hints, status) = (Vec::new(), Status::default());
    Reply::Refused(Refused { kind, retry_after_ms: 0, hints, status })
}

/// Only a connection that never stood proves that nothing was sent. A kept
/// connection that ends without an answer is reported as disconnected, too, but
/// without a fault of the system.
fn lost(fault: &ClientError) -> Lost {
    let unsent = match fault {
        ClientError::Connect(ConnectError::Disconnected(reason)) => reason.is_some(),
        ClientError::Connect(_) | ClientError::Url(_) | ClientError::Request(_) => true,
        _ => false,
    };
    Lost { sent: !unsent }
}
