//! One call: sends the request to the upstream and its answer to the router as frames.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admission::{CallId, Effect, Event};
use errors::{Kind, Outcome};
use link::Sink;
use spdlog::info;
use telemetry::Span;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout_at};
use wire::{Frame, Open, Report};

use crate::core::Core;
use crate::upstream::{Answer, Part};

/// How long after the request's deadline a write to a router that does not read may
/// still take.
const WRITE_GRACE: Duration = Duration::from_millis(500);

/// How long a planned stop waits for the last frames to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a call's task.
struct Task {
    core: Rc<Core>,
    id: CallId,
    request: Arc<str>,
    /// `None` after the router disconnected.
    sink: Option<Sink>,
    answer: Answer,
    arrived_at: Instant,
    write_deadline: Instant,
    span: Span,
    /// The trace context sent to the upstream.
    traceparent: Option<Arc<str>>,
    ended: bool,
}

/// What a call's task reacts to.
enum Input {
    Effect(Option<Effect>),
    Part(Part),
    RouterClosed,
}

/// Serves a request until its last frame is written or its router disconnects.
pub(crate) async fn serve(core: Rc<Core>, open: Open, sink: Sink) {
    let arrived_at = Instant::now();
    let traceparent = open.traceparent.as_deref();
    let span = core.tracer.span("sidecar", traceparent, &open.request);
    let (id, mailbox) = core.register();
    let task = Task {
        core: core.clone(),
        id,
        request: open.request.clone(),
        sink: Some(sink),
        answer: Answer::Idle,
        arrived_at,
        write_deadline: arrived_at + Duration::from_millis(open.remaining_ms) + WRITE_GRACE,
        traceparent: span.traceparent(traceparent).map(Into::into),
        span,
        ended: false,
    };
    core.apply(Event::Open { call: id, open });
    task.run(mailbox).await;
    core.unregister(id);
}

/// Refuses a request for which there is no memory.
pub(crate) async fn refuse(core: &Core, mut sink: Sink) {
    info!("no memory for a request", kv: { calls = core.open_calls() });
    let kind = Kind::QueueFull;
    core.metrics.record_request(kind.row().outcome.into(), Some(kind.into()));
    let _ = sink.finish(&Frame::Refused(core.refusal(kind))).await;
}

/// Applies the load report of a member of the pool and answers with the pool's load.
pub(crate) async fn aggregate(core: Rc<Core>, report: Report, mut sink: Sink) {
    let (id, mut mailbox) = core.register();
    core.apply(Event::Report { call: id, report });
    core.unregister(id);
    if let Some(Effect::Finish { frame, .. }) = mailbox.recv().await {
        let _ = sink.finish(&frame).await;
    }
}

/// Waits until all calls' tasks have ended, at most [`FINAL_WRITE_TIMEOUT`].
pub(crate) async fn wait_for_calls(core: &Core) {
    let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
    while core.open_calls() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Task {
    async fn run(mut self, mut mailbox: UnboundedReceiver<Effect>) {
        while !self.ended {
            match self.next(&mut mailbox).await {
                Input::Effect(Some(effect)) => self.execute(effect).await,
                Input::Effect(None) => return,
                Input::Part(part) => self.forward(part),
                Input::RouterClosed => self.disconnect_router(),
            }
        }
    }

    /// Returns the next input. Effects come first, so that the upstream is read only
    /// after all earlier frames were written.
    async fn next(&mut self, mailbox: &mut UnboundedReceiver<Effect>) -> Input {
        let sink = &mut self.sink;
        tokio::select! {
            biased;
            effect = mailbox.recv() => Input::Effect(effect),
            () = router_closed(sink) => Input::RouterClosed,
            part = self.answer.next() => Input::Part(part),
        }
    }

    async fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Run { mut open, .. } => {
                let waited_ms = self.arrived_at.elapsed().as_millis();
                self.core.metrics.record_queue_time(u64::try_from(waited_ms).unwrap_or(u64::MAX));
                open.traceparent.clone_from(&self.traceparent);
                self.answer = Answer::start(&self.core, &open);
            }
            Effect::Abort { .. } => {
                self.answer = Answer::Idle;
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

    /// Records the call's outcome in metrics, trace and log.
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
        let trace =
            self.traceparent.as_deref().and_then(|traceparent| traceparent.split('-').nth(1));
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
            timeout_at(self.write_deadline, sink.finish(frame)).await
        } else {
            timeout_at(self.write_deadline, sink.send(frame)).await
        };
        if !matches!(written, Ok(Ok(()))) {
            self.disconnect_router();
        }
    }

    fn disconnect_router(&mut self) {
        let Some(mut sink) = self.sink.take() else {
            return;
        };
        sink.reset();
        self.core.apply(Event::Cancel { call: self.id });
        // Without a request at the upstream, the reducer sends no further effects.
        self.ended = matches!(self.answer, Answer::Idle);
    }

    fn forward(&mut self, part: Part) {
        let call = self.id;
        let event = match part {
            Part::Head { status, headers } => Event::Head { call, status, headers },
            Part::Chunk(bytes) => Event::Chunk { call, bytes },
            Part::Ended => Event::Ended { call },
            Part::Failed(kind) => Event::Failed { call, kind },
        };
        let is_final = matches!(event, Event::Ended { .. } | Event::Failed { .. });
        self.core.apply(event);
        if is_final {
            self.answer = Answer::Idle;
            self.ended = self.sink.is_none();
        }
    }
}

/// Waits until the router resets the stream or its connection ends; pends forever
/// without a sink.
async fn router_closed(sink: &mut Option<Sink>) {
    match sink {
        Some(sink) => sink.closed().await,
        None => std::future::pending().await,
    }
}
