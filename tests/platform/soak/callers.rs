//! Callers that reuse their connections until these are closed.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::{Answer, Caller};
use crate::router::headers;
use crate::standin::ROUTER_HEADER;

/// Read timeout of a caller's connection.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that a caller waits after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// The key that is revoked during a soak.
pub const REVOKED: &str = "key-two";

/// The kind of a request, one per route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    Resumed,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Stream, Self::Resumed];

    /// Method and path of a request.
    pub fn line(self) -> &'static str {
        match self {
            Self::Safe => "GET /safe/x",
            Self::Unsafe => "POST /unsafe/x",
            Self::Stream => "POST /stream/x",
            Self::Resumed => "POST /resumed/x",
        }
    }
}

/// A request and the answer that its caller received.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    /// Whether it was sent with the key that is revoked.
    pub revoked: bool,
    pub sent: Instant,
    /// `None` if the connection ended before an answer.
    pub answer: Option<Answer>,
}

/// Sends random requests to `routers` until `stop` is set; returns what was sent and received.
pub fn run_caller(
    routers: &[String],
    stop: &AtomicBool,
    next: &AtomicUsize,
    seed: u64,
) -> Vec<Seen> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut exchanges = Vec::new();
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..30)));
        let selected = random.random_range(0..routers.len());
        let (index, mut caller) = match connection.take() {
            Some(connection) => connection,
            None => match Caller::try_connect(&routers[selected], READ_TIMEOUT) {
                Some(caller) => (selected, caller),
                None => continue,
            },
        };
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let revoked = random.random_bool(0.3);
        let id = format!("id-{}", next.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let answer = send(&mut caller, kind, &id, revoked, &index.to_string());
        if answer.as_ref().is_some_and(|answer| answer.status != 200) {
            std::thread::sleep(REFUSAL_BACKOFF);
        }
        let is_closing = |answer: &Answer| {
            answer.headers.get("connection").is_some_and(|value| value == "close")
        };
        if answer.as_ref().is_some_and(|answer| answer.whole && !is_closing(answer)) {
            connection = Some((index, caller));
        }
        exchanges.push(Seen { id, kind, revoked, sent, answer });
    }
    exchanges
}

fn send(caller: &mut Caller, kind: Kind, id: &str, revoked: bool, router: &str) -> Option<Answer> {
    let key = if revoked { format!("Bearer {REVOKED}") } else { "Bearer key-one".to_owned() };
    let headers = headers(&[
        ("Attempt-Identifier", id),
        ("Authorization", &key),
        ("Deadline-Remaining", "3000"),
        (ROUTER_HEADER, router),
    ]);
    let body = if kind == Kind::Safe { "" } else { id };
    caller.try_request(kind.line(), &headers, body)
}
