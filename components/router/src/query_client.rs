//! Queries other routers for the content of the platform's store.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::Millis;
use edge::{Fact, Peer, Revision};
use link::{Call, Connection};
use snafu::{OptionExt, ResultExt, Snafu};
use wire::{Changes, Frame, Hello, Query};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for each further chunk of an answer.
const CHUNK_TIMEOUT: Millis = Millis(1_000);

const MAX_FACTS_BYTES: usize = 16 * 1_024 * 1_024;

/// Why a query failed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The router is unreachable, or the link broke.
    #[snafu(display("{source}"))]
    Link { source: link::Error },
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The peer has no address, or its answer has an unexpected form.
    #[snafu(display("unexpected answer"))]
    Unexpected,
    /// The facts of the answer can't be decoded.
    #[snafu(display("facts of the answer can't be decoded: {source}"))]
    Facts { source: wire::Error },
}

/// The answer to a query.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Changes, decoded and in packed form.
    Changes(Changes, Vec<Fact>, Bytes),
    /// Other routers to query; empty if the queried router has no data itself.
    Referral(Vec<Peer>),
}

/// A client that keeps the connection to the last queried router.
#[derive(Debug)]
pub(crate) struct QueryClient {
    hello: Hello,
    cached: RefCell<Option<(Arc<str>, Connection)>>,
}

impl QueryClient {
    /// Creates a client that identifies itself with `hello`.
    pub(crate) fn new(hello: Hello) -> Self {
        Self { hello, cached: RefCell::default() }
    }

    /// Queries `peer`.
    ///
    /// # Errors
    ///
    /// The query failed. Its connection is closed, since it may stay silent.
    pub(crate) async fn query(&self, peer: &Peer, query: Query) -> Result<Answer, Error> {
        let connection = self.connect(peer).await?;
        let answer = query_on(&connection, query).await;
        if answer.is_err() {
            self.cached.replace(None);
        }
        answer
    }

    async fn connect(&self, peer: &Peer) -> Result<Connection, Error> {
        let is_usable = |(name, connection): &&(Arc<str>, Connection)| {
            *name == peer.name && !connection.is_closed()
        };
        let cached = self.cached.borrow().as_ref().filter(is_usable).map(|entry| entry.1.clone());
        if let Some(connection) = cached {
            return Ok(connection);
        }
        let address = peer.hints.context(UnexpectedSnafu)?.to_string();
        let opened = Connection::open(&address, self.hello.clone(), CONNECT_TIMEOUT).await;
        let (connection, _) = opened.context(LinkSnafu)?;
        self.cached.replace(Some((peer.name.clone(), connection.clone())));
        Ok(connection)
    }
}

async fn query_on(connection: &Connection, query: Query) -> Result<Answer, Error> {
    let wait = Millis(query.wait_ms) + fleet::ANSWER_TIMEOUT;
    let opening = async {
        let mut call = connection.call(&Frame::Query(query)).await?;
        let head = call.next().await?;
        Ok((call, head))
    };
    let (mut call, head) = with_timeout(wait, opening).await?;
    match head {
        Some(Frame::Referral(referral)) => Ok(Answer::Referral(referral.routers)),
        Some(Frame::Changes(changes)) => {
            let bytes = read_facts(&mut call).await?;
            let facts = if bytes.is_empty() {
                Vec::new()
            } else {
                wire::unpack(&bytes).context(FactsSnafu)?
            };
            Ok(Answer::Changes(changes, facts, bytes.freeze()))
        }
        _ => UnexpectedSnafu.fail(),
    }
}

/// Reads the packed facts.
async fn read_facts(call: &mut Call) -> Result<BytesMut, Error> {
    let mut bytes = BytesMut::new();
    loop {
        match with_timeout(CHUNK_TIMEOUT, call.next()).await? {
            None => return Ok(bytes),
            Some(Frame::Chunk(chunk)) if bytes.len() + chunk.bytes.len() <= MAX_FACTS_BYTES => {
                bytes.extend_from_slice(&chunk.bytes);
            }
            Some(_) => return UnexpectedSnafu.fail(),
        }
    }
}

async fn with_timeout<T>(
    limit: Millis,
    call: impl Future<Output = Result<T, link::Error>>,
) -> Result<T, Error> {
    let ended = tokio::time::timeout(limit.duration(), call).await;
    ended.ok().context(TimeoutSnafu)?.context(LinkSnafu)
}

/// Converts a store revision to its wire format.
pub(crate) fn to_wire(revision: Revision) -> wire::Revision {
    wire::Revision { era: revision.era.0, number: revision.number }
}
