//! The frames and their fields.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use errors::Kind;
use placement::Pool;
use serde::{Deserialize, Serialize};

use crate::demands::Demands;
use crate::permits::{Claims, Saturated, Verdicts};

/// One frame of a stream.
///
/// A stream begins with [`Frame::Hello`], [`Frame::Open`] or [`Frame::Report`].
/// `Open` is answered by one `Refused`, or by `Admitted`, `Head`, any number of
/// `Chunk`s and one `End`; `Broken` may take the place of any frame after
/// `Admitted`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a connection, from the side that connected.
    Hello(Hello),
    /// The answer to `Hello`.
    Welcome(Welcome),
    /// A whole request.
    Open(Open),
    /// The request did not run here.
    Refused(Refused),
    /// The request was taken and may run from now on.
    Admitted(Admitted),
    /// The status and headers of the answer.
    Head(Head),
    /// A part of the answer's body.
    Chunk(Chunk),
    /// The answer is whole.
    End(End),
    /// The answer will never be whole.
    Broken(Broken),
    /// A sidecar's load or its group's, sent to who sums the pool.
    Report(Report),
    /// The sum over the pool, in answer to `Report`.
    Pool(Pool),
    /// Where a chat's context is now, told to its first upstream in rank.
    DirectoryUpdate(DirectoryUpdate),
    /// Where parts of prompts are warm, told by one router to the others.
    WarmPrefixes(WarmPrefixes),
    /// A router's own load at upstreams, told to the others.
    Loads(Loads),
    /// What answers told one router of upstreams' loads, told to the others.
    Observations(Observations),
    /// To other routers: how requests ended.
    Outcomes(Vec<Outcome>),
    /// Between routers: how long requests waited.
    Delays(Vec<Delay>),
    /// Between routers: an upstream has ended.
    UpstreamCrash(UpstreamCrash),
    /// Asks another router what the platform's store holds. It is answered by `Changes`, whose
    /// facts follow in `Chunk`s, or by `Referral`.
    Query(Query),
    /// What has changed in the platform's store, or all that it holds.
    Changes(Changes),
    /// The router that was asked can't tell; others may.
    Referral(Referral),
    /// The first frame of a datagram whose hints are to be passed on to others: how many routers
    /// have passed on one of them already, at most.
    Forwarded(u32),
    /// Between routers: how fast upstreams said that they were.
    Paces(Vec<Pace>),
    /// Between routers: work that was answered in full, by its hash, and is not why upstreams
    /// end.
    Cleared(Vec<u64>),
    /// Between routers: what is asked of a pool that is short.
    Demands(Demands),
    /// To the owner of a pool that is short: requests that ask for places.
    Claims(Claims),
    /// From the owner of a pool that is short: what it decided.
    Verdicts(Verdicts),
    /// Between routers: a pool is short of places.
    Saturated(Saturated),
}

/// A question of a router what the platform's store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The router that asks, and those that hear from it.
    pub routers: Vec<Peer>,
    /// The revision up to which it knows all; `None` asks for everything.
    pub after: Option<Revision>,
    /// How old its proof is that it knows the newest configuration, in milliseconds.
    pub confirmation_age_ms: Option<u64>,
    /// How long the answer may wait for something new, in milliseconds.
    pub wait_ms: u64,
}

/// A router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it takes hints and questions of other routers, if it does.
    #[serde(default)]
    pub hints: Option<SocketAddr>,
    /// Its failure domain.
    #[serde(default)]
    pub domain: Arc<str>,
    /// How much it has to spare for others; only the order counts.
    #[serde(default)]
    pub strength: u32,
}

/// A place in the history of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// How often the store has come back from an older copy.
    pub era: u64,
    /// The number of the revision in that era.
    pub number: u64,
}

/// What another router knows of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision that the facts are of.
    pub revision: Revision,
    /// Whether the facts are all there are, not only changes.
    pub full: bool,
    /// How long the question waited for this answer, in milliseconds.
    pub waited_ms: u64,
    /// How old the proof is that nothing newer is in force, as the answer begins.
    pub confirmation_age_ms: Option<u64>,
}

/// The router that was asked can't tell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Referral {
    /// Others that may be asked; none where it has just started itself.
    pub routers: Vec<Peer>,
}

/// An upstream has ended while it had requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The upstream, by the name of one start.
    pub upstream: Arc<str>,
    /// The hashes of the work that the requests asked for.
    pub fingerprints: Vec<u64>,
}

/// Who connects, and the proof that it may.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The link key that all processes of the fleet share.
    pub key: Arc<str>,
    /// The name of the connecting process.
    pub name: Arc<str>,
}

/// Who answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The state of the sidecar.
    pub status: Status,
}

/// What a sidecar says of itself with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The life that says so; a restart has a higher one.
    pub incarnation: u64,
    /// The load it carries, in tokens.
    pub load: u64,
    /// Its pool, as far as it knows.
    pub pool: Pool,
    /// Requests waiting in its queue.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The request's id, the same over all attempts.
    pub request: Arc<str>,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The workspace.
    pub workspace: Arc<str>,
    /// The hash of workspace and chat.
    pub chat: u64,
    /// Whether this is the chat's first upstream in rank, which knows where the
    /// chat's context is.
    pub is_home: bool,
    /// Lower runs earlier.
    pub priority: i32,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The load that the request brings, in tokens.
    pub weight: u64,
    /// The upstream's life that may run the request; any, if zero.
    pub incarnation: u64,
    /// The idempotency key of a call that may run once at most.
    pub idempotency_key: Option<Arc<str>>,
    /// The generation of the configuration that the request was decided under.
    pub generation: u64,
    /// The W3C trace context.
    pub traceparent: Option<Arc<str>>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The headers that go on to the upstream.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body.
    pub body: Bytes,
}

/// Why a request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason; its outcome is `not run` unless the reason is about a key.
    pub kind: Kind,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The other upstreams where the chat's context is known to be, the latest
    /// first.
    pub hints: Vec<Arc<str>>,
    /// The state of the sidecar.
    pub status: Status,
}

/// A request was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admitted {
    /// The state of the sidecar.
    pub status: Status,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The attempt that this answers.
    pub attempt: u32,
    /// The HTTP status.
    pub status: u16,
    /// The headers that go on to the caller.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt that this answers.
    pub attempt: u32,
    /// The place of this chunk, from 0.
    pub sequence: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The end of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The attempt that this answers.
    pub attempt: u32,
    /// The number of chunks sent.
    pub chunks: u64,
    /// The number of body bytes sent.
    pub bytes: u64,
    /// The state of the sidecar.
    pub status: Status,
}

/// An answer that will never be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// The attempt that this answers.
    pub attempt: u32,
    /// What went wrong.
    pub kind: Kind,
}

/// A sidecar's load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The sidecar's life.
    pub incarnation: u64,
    /// Its load, or the sum of its group, in tokens.
    pub load: u64,
    /// How many members the load is of.
    pub members: u32,
    /// Whether it is a sum that a leader of the pool reports.
    pub sum: bool,
}

/// Where a chat's context is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The hash of workspace and chat.
    pub chat: u64,
    /// The upstream that answered the chat last.
    pub upstream: Arc<str>,
}

/// Where parts of prompts are warm. It is a hint: one that is lost or wrong costs
/// a copy or a second reading, no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmPrefixes {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The parts, each hashed with all parts before it.
    pub prefixes: Vec<u64>,
    /// How far the upstream is.
    pub stage: Stage,
}

/// How far an upstream is with parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It has been sent them, and has none to copy from.
    Prefilling,
    /// It has read them.
    Cached,
}

/// A router's own load, at each upstream where it has any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// The router.
    pub router: Arc<str>,
    /// Whether its configuration is known to be the newest.
    pub current: bool,
    /// The load at each upstream.
    pub upstreams: Vec<Load>,
}

/// A router's own load at an upstream, in requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Requests that have not ended.
    pub requests: u64,
    /// Those of them whose answers have not begun.
    pub waiting: u64,
}

/// What answers told a router of the loads of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Whether the router's configuration is known to be the newest.
    pub current: bool,
    /// Each upstream of which an answer told, the latest only.
    pub upstreams: Vec<Observation>,
}

/// How requests of a router ended at an upstream since it was told last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Answers that began well and in time.
    pub successes: u32,
    /// Failures, and what came late or never.
    pub failures: u32,
}

/// How long requests of a router waited since it was told last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delay {
    /// The pool of upstreams.
    pub pool: Arc<str>,
    /// The priority of the requests.
    pub priority: i32,
    /// How long they waited beyond what one waits without a queue, in milliseconds, summed.
    pub waited_ms: u32,
    /// How many requests were before them, summed.
    pub queued: u32,
}

/// What an answer told of an upstream's load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Requests that ran and waited there, whoever sent them.
    pub requests: u64,
    /// Those of them whose answers had not begun.
    pub waiting: u64,
    /// How long ago the answer came, in milliseconds.
    pub age_ms: u64,
}

/// How fast an upstream said that it was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The upstream.
    pub upstream: Arc<str>,
    /// How long work took it, as a percentage of the usual time.
    pub percent: u32,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}
