//! The headers of requests and answers.

use std::sync::Arc;

use clock::Millis;

/// A header: its name in lower case, and its value.
pub type Header = (Arc<str>, Arc<str>);

/// The headers of a request or an answer, in their order.
pub type Headers = [Header];

/// The value of the first header called `name`.
pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| &**it == name).map(|(_, value)| &**value)
}

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The id that the caller gave this attempt of its request.
    pub id: Option<Arc<str>>,
    /// The workspace key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub remaining: Option<Millis>,
    /// The model that is asked for.
    pub model: Option<Arc<str>>,
    /// The parts of the prompt, in order; the last is of this request or chat
    /// alone.
    pub prefixes: Vec<Prefix>,
    /// The last event of the answer that the caller has already got.
    pub last_event: Option<u64>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Names the part's content.
    pub id: Arc<str>,
    /// Its length.
    pub tokens: u64,
}

/// One sending of a request to an upstream.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The time left.
    pub remaining: Millis,
    /// The upstream that alone may run it.
    pub upstream: &'a str,
    /// The caller's workspace, if the caller has one.
    pub workspace: Option<&'a str>,
    /// Lower runs earlier; `None` where the upstream has no order.
    pub priority: Option<i32>,
    /// The address of an upstream from which to copy the prompt's cache.
    pub copy_from: Option<&'a str>,
    /// The last event of the answer that was passed on, where another upstream
    /// is to go on with it.
    pub last_event: Option<u64>,
}

/// What the headers of an upstream's answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Feedback {
    /// The id of the request that is answered.
    pub id: Option<Arc<str>>,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether the answer is proved to be the upstream's.
    pub signed: bool,
    /// Requests that run and wait there.
    pub load: Option<Load>,
    /// How much longer the upstream is cold.
    pub cold: Option<Millis>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// For how long the upstream asks to be sent nothing by the one that it answers.
    pub backoff: Option<Millis>,
}

/// The load that an upstream tells, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests whose answers have begun.
    pub running: u64,
    /// Requests whose answers have not.
    pub waiting: u64,
    /// How long work takes there at the moment, as a percentage of the usual time, where that
    /// is told.
    pub pace: Option<u32>,
}

/// The headers that a platform's callers and upstreams speak.
pub trait Dialect {
    /// Reads the headers of a caller's request.
    fn parse_request(&self, headers: &Headers) -> Metadata;

    /// The headers that a request is sent on with: the caller's, without those
    /// that only the fleet may set, and the fleet's own.
    fn forward(&self, headers: &Headers, sending: &Dispatch<'_>) -> Vec<Header>;

    /// Reads the status and headers of an upstream's answer.
    fn parse_response(&self, status: u16, headers: &Headers) -> Feedback;

    /// The headers of an answer that the fleet itself gives to request `id`.
    fn response_headers(&self, id: &str) -> Vec<Header>;
}
