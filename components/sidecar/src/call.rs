//! One call: frames out to the router, the request in to the upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admission::{CallId, Effect, Event};
use errors::Outcome;
use link::Sink;
use spdlog::info;
use telemetry::Span;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout_at};
use wire::{Frame, Open, Report};

use crate::core::Core;
use crate::upstream::{Answer, Part};

/// How long after the deadline a caller that does not read is waited for.
const GRACE: Duration = Duration::from_millis(500);

/// How long a stop waits for the last frames to be written.
const LAST_FRAMES: Duration = Duration::from_secs(2);

/// One call's task.
struct Task {
    core: Rc<Core>,
    id: CallId,
    request: Arc<str>,
    /// Gone once the router is.
    sink: Option<Sink>,
    answer: Answer,
    came: Instant,
    latest: Instant,
    span: Span,
    /// The trace context for the upstream.
    traceparent: Option<Arc<str>>,
    ended: bool,
}

/// What a call's task waits for.
enum Next {
    Effect(Option<Effect>),
    Part(Part),
    RouterGone,
}

/// Serves a request until its last frame is written.
pub(crate) async fn serve(core: Rc<Core>, open: Open, sink: Sink) {
    let came = Instant::now();
    let traceparent = open.traceparent.as_deref();
    let span = core.tracer.span("sidecar", traceparent, &open.request);
    let (id, mailbox) = core.register();
    let task = Task {
        core: core.clone(),
        id,
        request: open.request.clone(),
        sink: Some(sink),
        answer: Answer::None,
        came,
        latest: came + Duration::from_millis(open.remaining_ms) + GRACE,
        traceparent: span.traceparent(traceparent).map(Into::into),
        span,
        ended: false,
    };
    core.apply(Event::Open { call: id, open });
    task.run(mailbox).await;
    core.forget(id);
}

/// Takes a member's report and answers with the pool.
pub(crate) async fn aggregate(core: Rc<Core>, report: Report, mut sink: Sink) {
    let (id, mut mailbox) = core.register();
    core.apply(Event::Report { call: id, report });
    core.forget(id);
    if let Some(Effect::Finish { frame, .. }) = mailbox.recv().await {
        let _ = sink.finish(&frame).await;
    }
}

/// Waits until the tasks of all calls have ended, for a while.
pub(crate) async fn settle(core: &Core) {
    let latest = Instant::now() + LAST_FRAMES;
    while core.open_calls() > 0 && Instant::now() < latest {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Task {
    async fn run(mut self, mut mailbox: UnboundedReceiver<Effect>) {
        while !self.ended {
            match self.next(&mut mailbox).await {
                Next::Effect(Some(effect)) => self.act(effect).await,
                Next::Effect(None) => return,
                Next::Part(part) => self.pass(part),
                Next::RouterGone => self.lose_router(),
            }
        }
    }

    /// Effects go first, so that the upstream is read only when everything
    /// before has been written.
    async fn next(&mut self, mailbox: &mut UnboundedReceiver<Effect>) -> Next {
        let sink = &mut self.sink;
        tokio::select! {
            biased;
            effect = mailbox.recv() => Next::Effect(effect),
            () = gone(sink) => Next::RouterGone,
            part = self.answer.next() => Next::Part(part),
        }
    }

    async fn act(&mut self, effect: Effect) {
        match effect {
            Effect::Run { mut open, .. } => {
                let waited = self.came.elapsed().as_millis();
                self.core.metrics.record_queue_time(u64::try_from(waited).unwrap_or(u64::MAX));
                open.traceparent.clone_from(&self.traceparent);
                self.answer = Answer::start(&self.core, &open);
            }
            Effect::Abort { .. } => {
                self.answer = Answer::None;
                self.ended = self.sink.is_none();
            }
            Effect::Send { frame, .. } => self.write(&frame, false).await,
            Effect::Finish { frame, .. } => {
                self.record(&frame);
                self.write(&frame, true).await;
                self.ended = true;
            }
            Effect::Report { .. } | Effect::Drained => {}
        }
    }

    /// Counts and logs how the call ended.
    fn record(&self, frame: &Frame) {
        let error = match frame {
            Frame::Refused(refused) => Some(refused.kind),
            Frame::Broken(broken) => Some(broken.kind),
            _ => None,
        };
        let outcome = error.map_or(Outcome::Ran, |kind| kind.row().outcome);
        let error: Option<&'static str> = error.map(Into::into);
        let outcome: &'static str = outcome.into();
        self.core.metrics.record_request(outcome, error);
        self.span.set("outcome", outcome);
        let trace = self.traceparent.as_deref().and_then(|it| it.split('-').nth(1));
        info!("call ended", kv: {
            request = &*self.request,
            trace = trace.unwrap_or(""),
            outcome,
            error = error.unwrap_or(""),
        });
    }

    async fn write(&mut self, frame: &Frame, last: bool) {
        let Some(sink) = &mut self.sink else { return };
        let written = if last {
            timeout_at(self.latest, sink.finish(frame)).await
        } else {
            timeout_at(self.latest, sink.send(frame)).await
        };
        if !matches!(written, Ok(Ok(()))) {
            self.lose_router();
        }
    }

    fn lose_router(&mut self) {
        let Some(mut sink) = self.sink.take() else {
            return;
        };
        sink.reset();
        self.core.apply(Event::Cancel { call: self.id });
        // A call that was never handed over, or is aborted, has no more effects.
        self.ended = matches!(self.answer, Answer::None);
    }

    fn pass(&mut self, part: Part) {
        let call = self.id;
        let event = match part {
            Part::Head { status, headers } => Event::Head { call, status, headers },
            Part::Chunk(bytes) => Event::Chunk { call, bytes },
            Part::Ended => Event::Ended { call },
            Part::Failed(kind) => Event::Failed { call, kind },
        };
        let over = matches!(event, Event::Ended { .. } | Event::Failed { .. });
        self.core.apply(event);
        if over {
            self.answer = Answer::None;
            self.ended = self.sink.is_none();
        }
    }
}

/// Waits until the router resets the stream or is gone; for ever without one.
async fn gone(sink: &mut Option<Sink>) {
    match sink {
        Some(sink) => sink.closed().await,
        None => std::future::pending().await,
    }
}
