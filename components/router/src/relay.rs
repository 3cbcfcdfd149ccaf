//! Runs one request by carrying out the routing state's effects in order.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use errors::Answer;
use permits::Resolution;
use routing::{Arrival, Attempt, Decision, Effect, Event, Owner, Reply};
use telemetry::Span;
use tokio::time::{Instant, timeout_at};
use wire::{Claim, Frame, Head, Open};

use crate::core::Core;
use crate::direct::{self, Progress};
use crate::key;
use crate::report;
use crate::streams;
use crate::template::Template;

/// An attempt in progress.
enum Call {
    /// Through the sidecar.
    Link(link::Call),
    /// Straight to the upstream.
    Direct(Box<direct::Call>),
}

impl Call {
    /// The next event of attempt `attempt` of request `id`.
    async fn next(&mut self, id: u64, attempt: u32) -> Event {
        match self {
            Self::Link(call) => match call.next().await {
                Ok(Some(frame)) => Event::Reply { id, attempt, reply: frame.into() },
                Ok(None) | Err(_) => Event::ConnectionFailed { id, attempt, sent: true },
            },
            Self::Direct(call) => match call.next().await {
                Ok(reply) => Event::Reply { id, attempt, reply },
                Err(failure) => Event::ConnectionFailed { id, attempt, sent: failure.sent },
            },
        }
    }
}

/// The next thing to pass to the caller.
#[derive(Debug)]
pub(crate) enum Step {
    /// The head of the response and the upstream that sent it.
    Head(Head, Arc<str>),
    /// A part of the response body.
    Bytes(Bytes),
    /// The response is complete.
    Finished,
    /// The final response is an error.
    Failed(Answer),
    /// A response that has begun will not be completed.
    Aborted(Answer),
}

/// A request between its arrival and its final response. Dropping it earlier cancels the request.
pub(crate) struct Relay {
    core: Rc<Core>,
    id: u64,
    request: Arc<str>,
    workspace: Arc<str>,
    idempotency_key: Option<Arc<str>>,
    template: Template,
    span: Span,
    /// The trace context for the next hop.
    traceparent: Option<Arc<str>>,
    arrived_at: Millis,
    effects: VecDeque<Effect>,
    call: Option<Call>,
    /// What earlier attempts have forwarded of the response.
    progress: Progress,
    attempt: u32,
    upstream: Arc<str>,
    /// The request's deadline. Kept by the clock that includes suspensions of the host, which
    /// timers don't.
    deadline: Option<Millis>,
    /// When the current attempt stalls; `None` after its first reply, or pushed back by each reply
    /// if `silence_limit` is set.
    timeout: Option<Instant>,
    /// The longest time between two replies of an upstream that is reached directly.
    silence_limit: Option<Duration>,
    /// End of the backoff before the next attempt.
    backoff_until: Option<Instant>,
    is_done: bool,
    is_interrupted: bool,
}

impl Relay {
    /// Passes a request to the routing state.
    pub(crate) fn start(core: Rc<Core>, arrival: Arrival, template: Template) -> Self {
        let incoming = template.traceparent.as_deref();
        let span = core.tracer.span("router", incoming, &arrival.request);
        let traceparent = span.traceparent(incoming).map(Into::into);
        let mut relay = Self {
            id: arrival.id,
            request: arrival.request.clone(),
            workspace: arrival.workspace.clone(),
            idempotency_key: arrival.idempotency_key.as_ref().map(|key| key.key.clone()),
            template,
            span,
            traceparent,
            arrived_at: core.clock.now(),
            effects: VecDeque::new(),
            call: None,
            progress: Progress::default(),
            attempt: 0,
            upstream: "".into(),
            deadline: None,
            timeout: None,
            silence_limit: None,
            backoff_until: None,
            is_done: false,
            is_interrupted: false,
            core,
        };
        relay.apply(Event::Arrival(arrival));
        relay
    }

    /// The next step. Must not be called after [`Step::Finished`], [`Step::Failed`] or
    /// [`Step::Aborted`].
    pub(crate) async fn next(&mut self) -> Step {
        let shutdown = self.core.stop.clone();
        loop {
            tokio::select! {
                biased;
                () = shutdown.interrupted(), if !self.is_interrupted => self.interrupt(),
                step = self.advance() => if let Some(step) = step {
                    return step;
                }
            }
        }
    }

    /// Carries out the next effect, or waits for the next event if there is none.
    async fn advance(&mut self) -> Option<Step> {
        if let Some(effect) = self.effects.pop_front() {
            return self.carry_out(effect).await;
        }
        self.wait().await;
        None
    }

    /// Ends the request, as the router stops.
    fn interrupt(&mut self) {
        self.is_interrupted = true;
        self.apply(Event::Interrupt { id: self.id });
    }

    /// Ends the request, whose response is too long to be collected; the next step is
    /// [`Step::Failed`] or [`Step::Aborted`].
    pub(crate) fn refuse_long_response(&mut self, collected: usize) {
        report::log_long_response(&self.request, &self.upstream, collected);
        let (id, attempt) = (self.id, self.attempt);
        self.apply(Event::Reply { id, attempt, reply: Reply::Unexpected });
    }

    /// The request's public id.
    pub(crate) fn request(&self) -> &Arc<str> {
        &self.request
    }

    /// The request's deadline, once it was sent.
    pub(crate) fn deadline(&self) -> Option<Millis> {
        self.deadline
    }

    /// The trace context of the response.
    pub(crate) fn traceparent(&self) -> Option<&str> {
        self.traceparent.as_deref()
    }

    fn apply(&mut self, event: Event) {
        for effect in self.core.apply(event) {
            match effect {
                Effect::Record(decision) => self.record(&decision),
                effect => self.effects.push_back(effect),
            }
        }
    }

    fn record(&self, decision: &Arc<Decision>) {
        self.span.set("outcome", <&str>::from(decision.outcome));
        if let Some(kind) = decision.error {
            self.span.set("error", <&str>::from(kind));
        }
        let trace = self.traceparent().and_then(|traceparent| traceparent.split('-').nth(1));
        self.core.record(decision, trace.unwrap_or(""));
    }

    async fn carry_out(&mut self, effect: Effect) -> Option<Step> {
        match effect {
            Effect::Head(head) => {
                self.core
                    .metrics
                    .record_first_token(self.arrived_at.until(self.core.clock.now()).0);
                return Some(Step::Head(head, self.upstream.clone()));
            }
            Effect::Relay(bytes) => return Some(Step::Bytes(bytes)),
            Effect::Finish => return Some(self.end(Step::Finished)),
            Effect::Fail(answer) => return Some(self.end(Step::Failed(answer))),
            Effect::Abort(answer) => return Some(self.end(Step::Aborted(answer))),
            Effect::Cancel => self.end_call(),
            Effect::BindKey { key, owner } => self.bind(&key, &owner).await,
            Effect::Send(attempt) => self.send(attempt).await,
            Effect::Claim { pool, claim } => self.claim(&pool, claim).await,
            Effect::FindStream { stream, intent } => self.find_stream(stream, &intent).await,
            Effect::UpdateDirectory { .. } => self.core.queue_update(effect),
            Effect::CloseIdle { address } => self.core.client().close_idle(&address),
            Effect::Postpone(backoff) => {
                self.backoff_until = Some(Instant::now() + backoff.duration());
            }
            Effect::Record(_)
            | Effect::Connect { .. }
            | Effect::PublishPrefixes(_)
            | Effect::Suspect { .. }
            | Effect::Recovered { .. }
            | Effect::Leaving { .. }
            | Effect::Backoff { .. }
            | Effect::Check { .. }
            | Effect::Interrupted(_)
            | Effect::ReportCrashes(_)
            | Effect::ReportCleared(_)
            | Effect::Quarantine { .. }
            | Effect::QuarantineParts { .. }
            | Effect::ReleaseParts { .. }
            | Effect::Release { .. }
            | Effect::ReportSaturation { .. }
            | Effect::PublishBeginning { .. }
            | Effect::Drained => {}
        }
        None
    }

    fn end(&mut self, step: Step) -> Step {
        self.is_done = true;
        self.call = None;
        step
    }

    async fn bind(&mut self, key: &str, owner: &Owner) {
        let owner = match &self.core.store {
            Some(store) => {
                let (key, value) = (format!("once/{key}"), key::format_owner(owner));
                let stored = store.put_if_absent(&key, &value).await;
                stored.ok().and_then(|text| key::parse_owner(&text))
            }
            None => None,
        };
        self.apply(Event::KeyBound { id: self.id, owner });
    }

    /// Claims a permit from the owner of a pool.
    async fn claim(&mut self, pool: &Arc<str>, claim: Claim) {
        let (id, number) = (self.id, claim.number);
        let core = self.core.clone();
        let event = match core.permits.claim(&core, pool, claim).await {
            Some(Resolution::Granted(upstream)) => Event::Granted { id, number, upstream },
            Some(Resolution::Refused(after_ms)) => Event::Denied { id, number, after_ms },
            Some(Resolution::Unanswered) | None => Event::Unanswered { id, number },
        };
        self.apply(event);
    }

    /// Looks up which build began the stream that the caller continues.
    async fn find_stream(&mut self, stream: u64, intent: &str) {
        let core = self.core.clone();
        let lookup = streams::find(&core, stream, intent).await;
        self.apply(Event::Found { id: self.id, lookup });
    }

    /// Ends the current attempt.
    fn end_call(&mut self) {
        if let Some(Call::Direct(call)) = self.call.take() {
            self.progress = call.progress();
        }
    }

    /// Sends straight to the upstream; errors arrive with the replies.
    fn send_direct(&mut self, attempt: &Attempt) {
        let workspace = (!self.template.anonymous).then(|| self.workspace.clone());
        self.call = Some(Call::Direct(Box::new(direct::Call::start(
            &self.core,
            &self.request,
            attempt,
            &self.template,
            workspace.as_deref(),
            self.progress,
        ))));
    }

    async fn send(&mut self, attempt: Attempt) {
        self.end_call();
        self.attempt = attempt.number;
        self.upstream = attempt.upstream.clone();
        let deadline = self.core.clock.now() + attempt.remaining;
        let timeout = Instant::now() + attempt.timeout.duration();
        self.deadline = Some(deadline);
        self.timeout = Some(timeout);
        if self.core.is_direct() {
            self.silence_limit = Some(attempt.timeout.duration());
            return self.send_direct(&attempt);
        }
        let frame = Frame::Open(self.open_frame(&attempt));
        let call = self.core.links.call(&attempt.upstream, &attempt.address, &frame);
        let (id, attempt) = (self.id, attempt.number);
        match timeout_at(timeout, call).await {
            Ok(Ok((call, welcome))) => {
                self.call = Some(Call::Link(call));
                if let Some(welcome) = welcome {
                    self.core.apply(Event::Connected(welcome));
                }
            }
            Ok(Err(error)) => {
                self.apply(Event::ConnectionFailed { id, attempt, sent: !error.is_unsent() });
            }
            Err(_) => self.handle_timeout(),
        }
    }

    /// Handles a passed timeout or deadline.
    fn handle_timeout(&mut self) {
        let (id, attempt) = (self.id, self.attempt);
        let event = if self.deadline.is_some_and(|deadline| deadline <= self.core.clock.now()) {
            Event::Expire { id }
        } else {
            self.reset_timeout();
            Event::Stalled { id, attempt }
        };
        self.apply(event);
    }

    fn reset_timeout(&mut self) {
        self.timeout = self.silence_limit.map(|limit| Instant::now() + limit);
    }

    fn open_frame(&self, attempt: &Attempt) -> Open {
        Open {
            request: self.request.clone(),
            attempt: attempt.number,
            workspace: self.workspace.clone(),
            chat: attempt.chat,
            is_home: attempt.is_home,
            priority: attempt.priority,
            remaining_ms: attempt.remaining.0,
            weight: attempt.weight,
            incarnation: attempt.incarnation,
            idempotency_key: self.idempotency_key.clone(),
            generation: attempt.generation,
            traceparent: self.traceparent.clone(),
            method: self.template.method.clone(),
            path: self.template.path.clone(),
            headers: self.template.headers.clone(),
            body: self.template.body.to_bytes(),
        }
    }

    /// Waits for the end of the backoff, or for the next reply, the loss of the connection, the
    /// timeout or the deadline.
    async fn wait(&mut self) {
        let (id, attempt) = (self.id, self.attempt);
        if let Some(until) = self.backoff_until.take() {
            tokio::time::sleep_until(until).await;
            return self.apply(Event::Due { id });
        }
        let Some(call) = &mut self.call else {
            return std::future::pending().await;
        };
        let now = self.core.clock.now();
        // A reply that is ready completes `timeout_at` before its timer is polled.
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            return self.handle_timeout();
        }
        // The clock counts whole milliseconds, so a timer without the extra one may fire before the
        // deadline.
        let to_instant =
            |deadline: Millis| Instant::now() + (now.until(deadline) + Millis(1)).duration();
        let wake_at = self.timeout.into_iter().chain(self.deadline.map(to_instant)).min();
        let wake_at = wake_at.unwrap_or_else(Instant::now);
        let Ok(event) = timeout_at(wake_at, call.next(id, attempt)).await else {
            return self.handle_timeout();
        };
        self.reset_timeout();
        self.apply(event);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_done {
            self.apply(Event::Cancel { id: self.id });
        }
    }
}
