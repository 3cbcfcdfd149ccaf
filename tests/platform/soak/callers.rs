//! Callers that keep their connections for as long as these stand.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::{Answer, Caller};
use crate::router::headers;
use crate::standin::ROUTER;

/// How long a caller waits for an answer, and for each part of one.
const LIMIT: Duration = Duration::from_secs(6);

/// How long a caller waits that was refused.
const REFUSED: Duration = Duration::from_millis(100);

/// The key that is taken away in the course of a soak.
pub const REVOKED: &str = "key-two";

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    Resumed,
}

impl Kind {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Stream, Self::Resumed];

    /// The line of a request of it.
    pub fn line(self) -> &'static str {
        match self {
            Self::Safe => "GET /safe/x",
            Self::Unsafe => "POST /unsafe/x",
            Self::Stream => "POST /stream/x",
            Self::Resumed => "POST /resumed/x",
        }
    }
}

/// A request, and what its caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    /// Whether it was sent with the key that is taken away, and when.
    pub revoked: bool,
    pub sent: Instant,
    /// `None` where the connection ended before an answer.
    pub answer: Option<Answer>,
}

/// One caller after the other asks of `routers` until `stop`; each has a seed of its own.
pub fn call(routers: &[String], stop: &AtomicBool, next: &AtomicUsize, seed: u64) -> Vec<Seen> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut asked = Vec::new();
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..30)));
        let drawn = random.random_range(0..routers.len());
        let (place, mut caller) = match connection.take() {
            Some(connection) => connection,
            None => match Caller::try_connect(&routers[drawn], LIMIT) {
                Some(caller) => (drawn, caller),
                None => continue,
            },
        };
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let revoked = random.random_bool(0.3);
        let id = format!("id-{}", next.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let answer = ask(&mut caller, kind, &id, revoked, &place.to_string());
        if answer.as_ref().is_some_and(|it| it.status != 200) {
            std::thread::sleep(REFUSED);
        }
        let closes = |it: &Answer| it.headers.get("connection").is_some_and(|it| it == "close");
        if answer.as_ref().is_some_and(|it| it.whole && !closes(it)) {
            connection = Some((place, caller));
        }
        asked.push(Seen { id, kind, revoked, sent, answer });
    }
    asked
}

fn ask(caller: &mut Caller, kind: Kind, id: &str, revoked: bool, router: &str) -> Option<Answer> {
    let key = if revoked { format!("Bearer {REVOKED}") } else { "Bearer key-one".to_owned() };
    let headers = headers(&[
        ("Attempt-Identifier", id),
        ("Authorization", &key),
        ("Deadline-Remaining", "3000"),
        (ROUTER, router),
    ]);
    let body = if kind == Kind::Safe { "" } else { id };
    caller.try_ask(kind.line(), &headers, body)
}
