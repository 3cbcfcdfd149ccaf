//! The frames and their fields.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use errors::Kind;
use placement::Pool;
use serde::{Deserialize, Serialize};

use crate::demands::Demands;
use crate::permits::{Claims, Saturated, Verdicts};
use crate::streams::{Beginning, Build, Record};

/// A message of a stream, or of a datagram between routers.
///
/// A stream begins with [`Frame::Hello`], [`Frame::Open`], [`Frame::Report`],
/// [`Frame::DirectoryUpdate`] or [`Frame::Query`].
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
    /// The sidecar did not start the request.
    Refused(Refused),
    /// The request was accepted and may run from now on.
    Admitted(Admitted),
    /// The status and headers of the answer.
    Head(Head),
    /// A part of the answer's body.
    Chunk(Chunk),
    /// The answer is complete.
    End(End),
    /// The answer ended before it was complete.
    Broken(Broken),
    /// The load of a sidecar or its group, sent to the sidecar that sums up the pool.
    Report(Report),
    /// The sum over the pool, in answer to `Report`.
    Pool(Pool),
    /// The location of a chat's context, sent by a router to the chat's home.
    DirectoryUpdate(DirectoryUpdate),
    /// Between routers: prefixes in the cache of an upstream.
    WarmPrefixes(WarmPrefixes),
    /// Between routers: the sender's own load at upstreams.
    Loads(Loads),
    /// Between routers: upstream loads taken from answers.
    Observations(Observations),
    /// Between routers: how requests ended.
    Outcomes(Vec<Outcome>),
    /// Between routers: how long requests waited.
    Delays(Vec<Delay>),
    /// Between routers: an upstream has crashed.
    UpstreamCrash(UpstreamCrash),
    /// Queries another router for the content of the platform's store. The answer is `Changes`,
    /// with its facts in `Chunk`s, or `Referral`.
    Query(Query),
    /// The changes in the platform's store, or all its content.
    Changes(Changes),
    /// The queried router can't answer; others may.
    Referral(Referral),
    /// Precedes hints that the receiver forwards; holds the highest hop count among them.
    Forwarded(u32),
    /// Between routers: the pace that upstreams reported.
    Paces(Vec<Pace>),
    /// Between routers: fingerprints of requests that were answered in full, and so are not the
    /// cause of crashes.
    Cleared(Vec<u64>),
    /// Between routers: the demand for a saturated pool.
    Demands(Demands),
    /// To the owner of a saturated pool: claims, releases and held permits of a router.
    Claims(Claims),
    /// From the owner of a saturated pool: the answers to claims.
    Verdicts(Verdicts),
    /// Between routers: a pool is saturated.
    Saturated(Saturated),
    /// To the routers that keep the record of a stream: it has begun.
    Begun(Beginning),
    /// To a router that may keep the record of a stream: queries the build that began it, by the
    /// hash of the stream. The answer is `Found`.
    Find(u64),
    /// The record of a stream, or that there is none.
    Found(Record),
    /// Between routers: an upstream has crashed while requests with these prompt parts ran.
    PartCrash(PartCrash),
    /// Between routers: prompt parts of requests that were answered in full, and so are not the
    /// cause of crashes.
    ClearedParts(Vec<u64>),
    /// In the platform's store: records of streams.
    SavedStreams(SavedStreams),
}

/// A query for the content of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The router that queries, followed by its subscribers.
    pub routers: Vec<Peer>,
    /// The revision that it has read up to; `None` for a full answer.
    pub after: Option<Revision>,
    /// The age of its last confirmation that it has the newest configuration, in milliseconds.
    pub confirmation_age_ms: Option<u64>,
    /// How long the answer may wait for changes, in milliseconds.
    pub wait_ms: u64,
}

/// A router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// The address for hints and queries, if it accepts them.
    #[serde(default)]
    pub hints: Option<SocketAddr>,
    /// Its failure domain.
    #[serde(default)]
    pub domain: Arc<str>,
    /// The spare capacity of its host, relative to others: ranks pollers, and weights the
    /// ownership of pools.
    #[serde(default)]
    pub strength: u32,
}

/// A revision of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// How often the store has been restored from an older copy.
    pub era: u64,
    /// The number of the revision in that era.
    pub number: u64,
}

/// The head of an answer to [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision of the facts.
    pub revision: Revision,
    /// Whether the facts are the whole content, not only changes.
    pub full: bool,
    /// How long the query waited for this answer, in milliseconds.
    pub waited_ms: u64,
    /// The age of the last confirmation of the answering router as the answer begins, in
    /// milliseconds.
    pub confirmation_age_ms: Option<u64>,
}

/// The queried router can't answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Referral {
    /// Routers to query instead; empty if the queried one has no answer yet.
    pub routers: Vec<Peer>,
}

/// An upstream has crashed while it had requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The upstream, by the name of one start.
    pub upstream: Arc<str>,
    /// The fingerprints of the requests.
    pub fingerprints: Vec<u64>,
}

/// An upstream has crashed while requests ran whose answers had hardly begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The upstream, by the name of one start.
    pub upstream: Arc<str>,
    /// The parts of the requests' prompts.
    pub runs: Vec<PartRun>,
}

/// The longest run of a request with a prompt part until its upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRun {
    /// The hash of the part.
    pub part: u64,
    /// Time since the request was sent, in milliseconds.
    pub ran_ms: u64,
}

/// Records of streams that one build began, as saved for a router that restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedStreams {
    /// When they were saved, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The build that began the streams.
    pub build: Build,
    /// The streams.
    pub streams: Vec<SavedStream>,
}

/// One stream in a [`SavedStreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedStream {
    /// The hash of the stream.
    pub stream: u64,
    /// How long its caller may still continue it after the save, in milliseconds.
    pub left_ms: u64,
}

/// Identifies and authenticates the side that connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The link key that all processes of the fleet share.
    pub key: Arc<str>,
    /// The name of the connecting process.
    pub name: Arc<str>,
}

/// Identifies the side that accepts a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The state of the sidecar.
    pub status: Status,
}

/// The state of a sidecar, sent with `Welcome`, `Admitted`, `Refused` and `End`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identifies the start of the sidecar; grows with each restart.
    pub incarnation: u64,
    /// The load it carries, in tokens.
    pub load: u64,
    /// The load of its pool, as known to the sidecar.
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
    /// Whether the receiver is the chat's home: the first upstream in rank,
    /// which stores the location of the chat's context.
    pub is_home: bool,
    /// Lower runs earlier.
    pub priority: i32,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The load of the request, in tokens.
    pub weight: u64,
    /// The incarnation of the sidecar that may run the request; any, if zero.
    pub incarnation: u64,
    /// The idempotency key of a call that may run once at most.
    pub idempotency_key: Option<Arc<str>>,
    /// The generation of the configuration that applies to the request.
    pub generation: u64,
    /// The W3C trace context.
    pub traceparent: Option<Arc<str>>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The headers for the upstream.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body.
    pub body: Bytes,
}

/// Why a sidecar did not start a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason; its outcome says whether the request may have run earlier.
    pub kind: Kind,
    /// When to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The other upstreams that are known to have the chat's context, the latest
    /// first.
    pub hints: Vec<Arc<str>>,
    /// The state of the sidecar.
    pub status: Status,
}

/// A request was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admitted {
    /// The state of the sidecar.
    pub status: Status,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The attempt that is answered.
    pub attempt: u32,
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The attempt that is answered.
    pub attempt: u32,
    /// The position of this chunk, from 0.
    pub sequence: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The end of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The attempt that is answered.
    pub attempt: u32,
    /// The number of chunks sent.
    pub chunks: u64,
    /// The number of body bytes sent.
    pub bytes: u64,
    /// The state of the sidecar.
    pub status: Status,
}

/// The end of an incomplete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// The attempt that is answered.
    pub attempt: u32,
    /// The reason.
    pub kind: Kind,
}

/// The load of a sidecar or its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The sidecar's incarnation.
    pub incarnation: u64,
    /// Its load, or the sum of its group, in tokens.
    pub load: u64,
    /// The number of members that the load is of.
    pub members: u32,
    /// Whether it is a sum that a leader of the pool reports.
    pub sum: bool,
}

/// The location of a chat's context.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The hash of workspace and chat.
    pub chat: u64,
    /// The upstream that answered the chat last.
    pub upstream: Arc<str>,
}

/// Prefixes in the cache of an upstream. A lost or wrong hint costs a copy or a
/// repeated prefill at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmPrefixes {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The hashes of the prefixes.
    pub prefixes: Vec<u64>,
    /// Their state at the upstream.
    pub stage: Stage,
}

/// The state of prefixes at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The upstream is computing them, as it could not copy them from another.
    Prefilling,
    /// The upstream has cached them.
    Cached,
}

/// A router's own load at upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// The router.
    pub router: Arc<str>,
    /// Whether its configuration is known to be the newest.
    pub current: bool,
    /// The load at each upstream where it has any.
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

/// Upstream loads taken from the answers to a router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Whether the router's configuration is known to be the newest.
    pub current: bool,
    /// The latest load received from each upstream.
    pub upstreams: Vec<Observation>,
}

/// How a router's requests to an upstream ended since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Answers that began in time and without an error.
    pub successes: u32,
    /// Errors, and answers that began late or never.
    pub failures: u32,
}

/// Waiting times of a router's requests since its last report, as sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delay {
    /// The pool of upstreams.
    pub pool: Arc<str>,
    /// The priority of the requests.
    pub priority: i32,
    /// The sum of their extra waiting times due to queueing, in milliseconds.
    pub waited_ms: u32,
    /// The sum of their positions in the queue.
    pub queued: u32,
}

/// The load of an upstream, taken from one of its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Running and waiting requests of all routers.
    pub requests: u64,
    /// Those of them whose answers had not begun.
    pub waiting: u64,
    /// The age of the answer, in milliseconds.
    pub age_ms: u64,
}

/// The pace that an upstream reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The time that work takes, as a percentage of the usual time.
    pub percent: u32,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}
