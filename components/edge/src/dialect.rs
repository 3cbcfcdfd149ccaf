//! The headers of requests and answers.

use std::sync::Arc;

use clock::Millis;

/// A header: its name in lower case, and its value.
pub type Header = (Arc<str>, Arc<str>);

/// The headers of a request or an answer, in their order.
pub type Headers = [Header];

/// The value of the first header called `name`.
pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(header, _)| &**header == name).map(|(_, value)| &**value)
}

/// Metadata of a caller's request, from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The request's id; a caller that retries sets a new one.
    pub id: Option<Arc<str>>,
    /// The workspace key.
    pub key: Option<Arc<str>>,
    /// The time until the caller's deadline.
    pub remaining: Option<Millis>,
    /// The requested model.
    pub model: Option<Arc<str>>,
    /// The segments of the prompt, in order. Other requests may share all but
    /// the last.
    pub prefixes: Vec<Prefix>,
    /// The last event of the answer that the caller has already received.
    pub last_event: Option<u64>,
    /// The id of the request whose answer the caller wants to be continued: the one that brought
    /// the first event.
    pub continues: Option<Arc<str>>,
}

/// A segment of a prompt; together with those before it, a prefix of the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Identifies the content.
    pub id: Arc<str>,
    /// The length in tokens.
    pub tokens: u64,
}

/// The router's own metadata for one attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The time until the deadline.
    pub remaining: Millis,
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// The caller's workspace, if the caller has one.
    pub workspace: Option<&'a str>,
    /// Lower runs earlier; `None` if the upstream has no priorities.
    pub priority: Option<i32>,
    /// The address of an upstream to copy the prompt's cache from.
    pub copy_from: Option<&'a str>,
    /// The last event that the caller has received, if the upstream is to resume
    /// the answer of another one.
    pub last_event: Option<u64>,
}

/// What an upstream reports in the status and headers of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Feedback {
    /// The id of the request that is answered.
    pub id: Option<Arc<str>>,
    /// Whether the upstream did not run the request.
    pub not_run: bool,
    /// Whether the answer has a signature of the upstream, which is not verified.
    pub signed: bool,
    /// Running and waiting requests.
    pub load: Option<Load>,
    /// The remaining time of the upstream's cold start.
    pub cold: Option<Millis>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// How long this router is to send nothing to the upstream.
    pub backoff: Option<Millis>,
}

/// The load that an upstream reports, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests whose answers have begun.
    pub running: u64,
    /// Requests whose answers have not.
    pub waiting: u64,
    /// The time that work currently takes, as a percentage of the usual time;
    /// higher is slower.
    pub pace: Option<u32>,
}

/// The headers of a platform's callers and upstreams.
pub trait Dialect {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &Headers) -> Metadata;

    /// The headers of a request to an upstream: the router's own, and those of
    /// the caller that are not reserved for the router.
    fn forward(&self, headers: &Headers, dispatch: &Dispatch<'_>) -> Vec<Header>;

    /// Parses the status and headers of an upstream's answer.
    fn parse_response(&self, status: u16, headers: &Headers) -> Feedback;

    /// The headers of an answer that the router itself gives to request `id`.
    fn response_headers(&self, id: &str) -> Vec<Header>;
}
