//! One request on its way: the reducer's effects, carried out one by one.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use errors::Answer;
use permits::Resolution;
use routing::{Arrival, Attempt, Decision, Effect, Event, Owner};
use telemetry::Span;
use tokio::time::{Instant, timeout_at};
use wire::{Claim, Frame, Head, Open};

use crate::core::Core;
use crate::direct::{self, Progress};
use crate::key;
use crate::template::Template;

/// An attempt under way.
enum Call {
    /// Through the sidecar.
    Link(link::Call),
    /// Straight to the upstream.
    Direct(Box<direct::Call>),
}

impl Call {
    /// What happened to attempt `attempt` of request `id` next.
    async fn next(&mut self, id: u64, attempt: u32) -> Event {
        match self {
            Self::Link(call) => match call.next().await {
                Ok(Some(frame)) => Event::Reply { id, attempt, reply: frame.into() },
                Ok(None) | Err(_) => Event::ConnectionFailed { id, attempt, sent: true },
            },
            Self::Direct(call) => match call.next().await {
                Ok(reply) => Event::Reply { id, attempt, reply },
                Err(lost) => Event::ConnectionFailed { id, attempt, sent: lost.sent },
            },
        }
    }
}

/// What the caller gets next.
#[derive(Debug)]
pub(crate) enum Step {
    /// The head of the answer, and the upstream that it is from.
    Head(Head, Arc<str>),
    /// A part of the answer's body.
    Bytes(Bytes),
    /// The answer is whole.
    Finished,
    /// The final answer is an error.
    Failed(Answer),
    /// The answer that has begun will not be whole.
    Cut(Answer),
}

/// A request between its arrival and its final answer. Dropping it earlier
/// means that the caller went away.
pub(crate) struct Relay {
    core: Rc<Core>,
    id: u64,
    request: Arc<str>,
    workspace: Arc<str>,
    once: Option<Arc<str>>,
    template: Template,
    span: Span,
    /// The trace context for the next hop.
    traceparent: Option<Arc<str>>,
    came: Millis,
    effects: VecDeque<Effect>,
    call: Option<Call>,
    /// What earlier attempts have passed on of the answer.
    progress: Progress,
    attempt: u32,
    upstream: Arc<str>,
    /// When the caller's time is over. By the clock that also counts suspension: timers do not.
    deadline: Option<Millis>,
    /// When something must have come back; `None` once it has, or later with each
    /// reply where `silence` is set.
    timeout: Option<Instant>,
    /// How long nothing may come from an upstream that is reached directly.
    silence: Option<Duration>,
    /// Until when the request waits before it is sent.
    pause: Option<Instant>,
    over: bool,
}

impl Relay {
    /// Takes a request to the reducer.
    pub(crate) fn start(core: Rc<Core>, ask: Arrival, template: Template) -> Self {
        let came = template.traceparent.as_deref();
        let span = core.tracer.span("router", came, &ask.request);
        let traceparent = span.traceparent(came).map(Into::into);
        let mut relay = Self {
            id: ask.id,
            request: ask.request.clone(),
            workspace: ask.workspace.clone(),
            once: ask.idempotency_key.as_ref().map(|it| it.key.clone()),
            template,
            span,
            traceparent,
            came: core.clock.now(),
            effects: VecDeque::new(),
            call: None,
            progress: Progress::default(),
            attempt: 0,
            upstream: "".into(),
            deadline: None,
            timeout: None,
            silence: None,
            pause: None,
            over: false,
            core,
        };
        relay.apply(Event::Arrival(ask));
        relay
    }

    /// What the caller gets next; nothing comes after an end.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            while let Some(effect) = self.effects.pop_front() {
                if let Some(step) = self.act(effect).await {
                    return step;
                }
            }
            self.wait().await;
        }
    }

    /// The trace context for whoever sees the answer.
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
        let trace = self.traceparent().and_then(|it| it.split('-').nth(1));
        self.core.record(decision, trace.unwrap_or(""));
    }

    async fn act(&mut self, effect: Effect) -> Option<Step> {
        match effect {
            Effect::Head(head) => {
                self.core.metrics.first_token(self.came.until(self.core.clock.now()).0);
                return Some(Step::Head(head, self.upstream.clone()));
            }
            Effect::Relay(bytes) => return Some(Step::Bytes(bytes)),
            Effect::Finish => return Some(self.end(Step::Finished)),
            Effect::Fail(answer) => return Some(self.end(Step::Failed(answer))),
            Effect::Abort(answer) => return Some(self.end(Step::Cut(answer))),
            Effect::Cancel => self.hang_up(),
            Effect::BindKey { key, owner } => self.bind(&key, &owner).await,
            Effect::Send(attempt) => self.send(attempt).await,
            Effect::Claim { pool, claim } => self.claim(&pool, claim).await,
            Effect::UpdateDirectory { .. } => self.core.tell(effect),
            Effect::CloseIdle { address } => self.core.client().forget(&address),
            Effect::Wait(pause) => self.pause = Some(Instant::now() + pause.duration()),
            Effect::Record(_)
            | Effect::Connect { .. }
            | Effect::PublishPrefixes(_)
            | Effect::Suspect { .. }
            | Effect::Recovered { .. }
            | Effect::Leaving { .. }
            | Effect::Backoff { .. }
            | Effect::Check { .. }
            | Effect::ReportCrashes(_)
            | Effect::ReportCleared(_)
            | Effect::Quarantine { .. }
            | Effect::Release { .. }
            | Effect::ReportSaturation { .. }
            | Effect::Drained => {}
        }
        None
    }

    fn end(&mut self, step: Step) -> Step {
        self.over = true;
        self.call = None;
        step
    }

    async fn bind(&mut self, key: &str, owner: &Owner) {
        let owner = match &self.core.store {
            Some(store) => {
                let (key, value) = (format!("once/{key}"), key::write_owner(owner));
                let stored = store.put_if_absent(&key, &value).await;
                stored.ok().and_then(|text| key::read_owner(&text))
            }
            None => None,
        };
        self.apply(Event::KeyBound { id: self.id, owner });
    }

    /// Asks the owner of a pool for a place.
    async fn claim(&mut self, pool: &Arc<str>, claim: Claim) {
        let (id, number) = (self.id, claim.number);
        let core = self.core.clone();
        let event = match core.places.ask(&core, pool, claim).await {
            Some(Resolution::Granted(upstream)) => Event::Granted { id, number, upstream },
            Some(Resolution::Refused(after_ms)) => Event::Denied { id, number, after_ms },
            Some(Resolution::Unanswered) | None => Event::Unanswered { id, number },
        };
        self.apply(event);
    }

    /// Gives up the current attempt.
    fn hang_up(&mut self) {
        if let Some(Call::Direct(call)) = self.call.take() {
            self.progress = call.progress();
        }
    }

    /// Sends straight to the upstream; faults come with the replies.
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
        self.hang_up();
        self.attempt = attempt.number;
        self.upstream = attempt.upstream.clone();
        let deadline = self.core.clock.now() + attempt.remaining;
        let timeout = Instant::now() + attempt.timeout.duration();
        self.deadline = Some(deadline);
        self.timeout = Some(timeout);
        if self.core.is_direct() {
            self.silence = Some(attempt.timeout.duration());
            return self.send_direct(&attempt);
        }
        let frame = Frame::Open(self.open(&attempt));
        let call = self.core.links.call(&attempt.upstream, &attempt.address, &frame);
        let (id, attempt) = (self.id, attempt.number);
        match timeout_at(timeout, call).await {
            Ok(Ok((call, welcome))) => {
                self.call = Some(Call::Link(call));
                if let Some(welcome) = welcome {
                    self.core.apply(Event::Connected(welcome));
                }
            }
            Ok(Err(fault)) => {
                self.apply(Event::ConnectionFailed { id, attempt, sent: !fault.nothing_sent() });
            }
            Err(_) => self.late(),
        }
    }

    /// The timeout or the deadline has passed.
    fn late(&mut self) {
        let (id, attempt) = (self.id, self.attempt);
        let event = if self.deadline.is_some_and(|it| it <= self.core.clock.now()) {
            Event::Expire { id }
        } else {
            self.rearm();
            Event::Stalled { id, attempt }
        };
        self.apply(event);
    }

    fn rearm(&mut self) {
        self.timeout = self.silence.map(|it| Instant::now() + it);
    }

    fn open(&self, attempt: &Attempt) -> Open {
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
            idempotency_key: self.once.clone(),
            generation: attempt.generation,
            traceparent: self.traceparent.clone(),
            method: self.template.method.clone(),
            path: self.template.path.clone(),
            headers: self.template.headers.clone(),
            body: self.template.body.clone(),
        }
    }

    /// Waits for the next frame, the loss of the link, the timeout or the
    /// deadline.
    async fn wait(&mut self) {
        let (id, attempt) = (self.id, self.attempt);
        if let Some(pause) = self.pause.take() {
            tokio::time::sleep_until(pause).await;
            return self.apply(Event::WaitElapsed { id });
        }
        let Some(call) = &mut self.call else {
            return std::future::pending().await;
        };
        let now = self.core.clock.now();
        // The clock's milliseconds are whole: a timer for the rest alone goes off before it.
        let left = |it: Millis| Instant::now() + (now.until(it) + Millis(1)).duration();
        let latest = self.timeout.into_iter().chain(self.deadline.map(left)).min();
        let latest = latest.unwrap_or_else(Instant::now);
        let Ok(event) = timeout_at(latest, call.next(id, attempt)).await else {
            return self.late();
        };
        self.rearm();
        self.apply(event);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.over {
            self.apply(Event::Cancel { id: self.id });
        }
    }
}
