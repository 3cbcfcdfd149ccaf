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

/// A stream of which a caller has the beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continued {
    /// The id of the request that brought its first event.
    pub stream: String,
    /// The number of the caller's last event.
    pub last_event: usize,
}

impl Seen {
    /// The stream to continue, if this answer broke off after its first event.
    fn broken(&self) -> Option<Continued> {
        let answer = self.answer.as_ref().filter(|answer| answer.status == 200 && !answer.whole)?;
        let had = self.continued.as_ref().map_or(0, |continued| continued.last_event);
        let last_event = had + answer.body.matches("\n\n").count();
        let is_begun = self.kind == Kind::Resumed && last_event > 0;
        let stream = self.continued.as_ref().map_or(&self.id, |continued| &continued.stream);
        is_begun.then(|| Continued { stream: stream.clone(), last_event })
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
    /// When its answer or its connection ended.
    pub ended: Instant,
    /// Index of the router.
    pub router: usize,
    /// The stream that the request continues, if any.
    pub continued: Option<Continued>,
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
        let drawn = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let continued = exchanges.last().and_then(Seen::broken);
        let kind = if continued.is_some() { Kind::Resumed } else { drawn };
        // The workspace of a stream stays the same, as both keys are of one.
        let revoked = random.random_bool(0.3);
        let id = format!("id-{}", next.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let request =
            Seen { id, kind, revoked, sent, ended: sent, router: index, continued, answer: None };
        let answer = send(&mut caller, &request, &index.to_string());
        let ended = Instant::now();
        if answer.as_ref().is_some_and(|answer| answer.status != 200) {
            std::thread::sleep(REFUSAL_BACKOFF);
        }
        let is_closing = |answer: &Answer| {
            answer.headers.get("connection").is_some_and(|value| value == "close")
        };
        if answer.as_ref().is_some_and(|answer| answer.whole && !is_closing(answer)) {
            connection = Some((index, caller));
        }
        exchanges.push(Seen { ended, answer, ..request });
    }
    exchanges
}

fn send(caller: &mut Caller, request: &Seen, router: &str) -> Option<Answer> {
    let Seen { id, kind, continued, .. } = request;
    let key = if request.revoked { REVOKED } else { "key-one" };
    let key = format!("Bearer {key}");
    let last_event = continued.as_ref().map(|continued| continued.last_event.to_string());
    let mut further = vec![
        ("Attempt-Identifier", id.as_str()),
        ("Authorization", &key),
        ("Deadline-Remaining", "3000"),
        (ROUTER_HEADER, router),
    ];
    if let (Some(continued), Some(last_event)) = (continued, &last_event) {
        further.extend([("Resumes", continued.stream.as_str()), ("Last-Event-Id", last_event)]);
    }
    let body = if *kind == Kind::Safe { "" } else { id.as_str() };
    caller.try_request(kind.line(), &headers(&further), body)
}
