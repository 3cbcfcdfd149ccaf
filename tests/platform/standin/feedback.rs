//! The backoffs and leaving notices that an upstream's stand-in sends, by router.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Request;

/// Header by which callers identify the router; routers forward it.
pub const ROUTER_HEADER: &str = "x-router";

/// How long requests sent before the backoff may still arrive.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(500);

/// A backoff sent to a router.
#[derive(Clone, Debug)]
pub struct Backoff {
    pub router: String,
    pub asked_at: Instant,
    pub duration: Duration,
}

impl Backoff {
    /// Whether `request` came from the router during the backoff.
    pub fn is_violated_by(&self, request: &Request) -> bool {
        let after = request.received_at.saturating_duration_since(self.asked_at);
        sender(request) == self.router && after > IN_FLIGHT_TIMEOUT && after < self.duration
    }
}

/// The notices to send, and those sent.
#[derive(Debug, Default)]
pub struct Feedback {
    /// Backoff with which every request is refused.
    pub backoff: Option<Duration>,
    /// Whether every answer has the leaving notice.
    pub is_leaving: bool,
    pub backoffs: Vec<Backoff>,
    pub leaving_sent_at: BTreeMap<String, Instant>,
}

impl Feedback {
    /// Records a backoff for the router that sent `request`.
    pub fn record_backoff(&mut self, request: &Request, duration: Duration) {
        let router = sender(request);
        self.backoffs.push(Backoff { router, asked_at: Instant::now(), duration });
    }

    /// The end of an answer's status line, followed by the header `server-leaving` if announced.
    pub fn leaving_line(&mut self, request: &Request) -> String {
        if !self.is_leaving {
            return "\r\n".to_owned();
        }
        self.leaving_sent_at.entry(sender(request)).or_insert_with(Instant::now);
        "\r\nserver-leaving: 1\r\n".to_owned()
    }
}

/// The router that sent a request; empty if callers do not identify it.
pub fn sender(request: &Request) -> String {
    request.header(ROUTER_HEADER).unwrap_or("").to_owned()
}
