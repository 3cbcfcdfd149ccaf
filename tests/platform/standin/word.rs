//! What a stand-in of an upstream says of itself with its answers, and to whom.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Request;

/// The header in which callers name the router that they ask.
pub const ROUTER: &str = "x-router";

/// How long after a request for rest those may still come that were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// A rest that a router was asked for.
#[derive(Clone, Debug)]
pub struct Rest {
    pub router: String,
    pub asked: Instant,
    pub lasts: Duration,
}

impl Rest {
    /// Whether `request` came from that router in the time in which nothing was wanted.
    pub fn is_broken_by(&self, request: &Request) -> bool {
        let after = request.came.saturating_duration_since(self.asked);
        router(request) == self.router && after > UNDER_WAY && after < self.lasts
    }
}

/// What it says, and has said.
#[derive(Debug, Default)]
pub struct Word {
    /// Every request is turned away with this rest.
    pub rest: Option<Duration>,
    /// Every answer says that it leaves.
    pub leaves: bool,
    pub rests: Vec<Rest>,
    pub told_leaving: BTreeMap<String, Instant>,
}

impl Word {
    /// Takes down that the router which sent `request` is asked for rest.
    pub fn ask(&mut self, request: &Request, lasts: Duration) {
        let router = router(request);
        self.rests.push(Rest { router, asked: Instant::now(), lasts });
    }

    /// The end of an answer's first line, and the one that says that it leaves, if it does.
    pub fn leaving(&mut self, request: &Request) -> String {
        if !self.leaves {
            return "\r\n".to_owned();
        }
        self.told_leaving.entry(router(request)).or_insert_with(Instant::now);
        "\r\nserver-leaving: 1\r\n".to_owned()
    }
}

/// The router that sent a request; empty where there is one only.
pub fn router(request: &Request) -> String {
    request.header(ROUTER).unwrap_or("").to_owned()
}
