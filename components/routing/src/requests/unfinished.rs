//! Requests that are still in flight, for logs.

use std::sync::Arc;

use clock::Millis;

use crate::requests::request::Request;
use crate::state::State;

/// A request without a final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unfinished {
    /// The public id.
    pub request: Arc<str>,
    /// The kind of request.
    pub kind: Arc<str>,
    /// The upstream of the current attempt; empty before the first one.
    pub upstream: Arc<str>,
    /// Time since it arrived.
    pub age: Millis,
    /// Time until its deadline.
    pub remaining: Millis,
    /// Time since data was last received from its upstream.
    pub idle: Millis,
    /// Whether the head of the answer was sent to the caller.
    pub is_answering: bool,
}

impl Unfinished {
    fn new(request: &Request, now: Millis) -> Self {
        Self {
            request: request.arrival.request.clone(),
            kind: request.arrival.kind.clone(),
            upstream: request.upstream().cloned().unwrap_or_default(),
            age: request.arrived.until(now),
            remaining: now.until(request.deadline),
            idle: request.idle_time(now),
            is_answering: request.is_answering(),
        }
    }
}

impl State {
    /// The requests in flight.
    pub fn unfinished(&self, now: Millis) -> impl Iterator<Item = Unfinished> {
        self.requests.values().map(move |request| Unfinished::new(request, now))
    }
}
