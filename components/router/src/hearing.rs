//! Asking another router what the platform's store holds.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clock::Millis;
use edge::{Fact, Peer, Revision};
use link::{Call, Connection};
use snafu::{OptionExt, ResultExt, Snafu};
use wire::{Changes, Frame, Hello, Query};

/// How long a connection to another router may take to stand.
const CONNECT: Duration = Duration::from_millis(400);

/// How long each further part of an answer may take to come.
const PART: Millis = Millis(1_000);

/// The most bytes of facts that are taken.
const MOST_BYTES: usize = 16 * 1_024 * 1_024;

/// Why another router told nothing.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// It can't be reached, or the link broke.
    #[snafu(display("{source}"))]
    Link { source: link::Error },
    /// It said nothing in time.
    #[snafu(display("it said nothing in time"))]
    Silent,
    /// What it said is no answer.
    #[snafu(display("what it said is no answer"))]
    Strange,
    /// Its facts can't be read.
    #[snafu(display("its facts can't be read: {source}"))]
    Facts { source: wire::Error },
}

/// What another router answered.
#[derive(Debug)]
pub(crate) enum Answer {
    /// What it knows, and the same as it came.
    News(Changes, Vec<Fact>, Bytes),
    /// Others that may be asked; none where it knows nothing itself.
    Refer(Vec<Peer>),
}

/// The connection to the router that is asked.
#[derive(Debug)]
pub(crate) struct Hearing {
    hello: Hello,
    standing: RefCell<Option<(Arc<str>, Connection)>>,
}

impl Hearing {
    /// A router that shows `hello`.
    pub(crate) fn new(hello: Hello) -> Self {
        Self { hello, standing: RefCell::default() }
    }

    /// Asks `peer`.
    ///
    /// # Errors
    ///
    /// It told nothing that can be used; its connection is given up, since one that has fallen
    /// silent stays so.
    pub(crate) async fn ask(&self, peer: &Peer, look: Query) -> Result<Answer, Error> {
        let connection = self.connect(peer).await?;
        let answer = ask_on(&connection, look).await;
        if answer.is_err() {
            self.standing.replace(None);
        }
        answer
    }

    async fn connect(&self, peer: &Peer) -> Result<Connection, Error> {
        let is_usable =
            |(name, it): &&(Arc<str>, Connection)| *name == peer.name && !it.is_closed();
        let standing = self.standing.borrow().as_ref().filter(is_usable).map(|it| it.1.clone());
        if let Some(connection) = standing {
            return Ok(connection);
        }
        let address = peer.hints.context(StrangeSnafu)?.to_string();
        let opened = Connection::open(&address, self.hello.clone(), CONNECT).await;
        let (connection, _) = opened.context(LinkSnafu)?;
        self.standing.replace(Some((peer.name.clone(), connection.clone())));
        Ok(connection)
    }
}

async fn ask_on(connection: &Connection, look: Query) -> Result<Answer, Error> {
    let wait = Millis(look.wait_ms) + fleet::ANSWER_TIMEOUT;
    let begun = async {
        let mut call = connection.call(&Frame::Query(look)).await?;
        let head = call.next().await?;
        Ok((call, head))
    };
    let (mut call, head) = in_time(wait, begun).await?;
    match head {
        Some(Frame::Referral(refer)) => Ok(Answer::Refer(refer.routers)),
        Some(Frame::Changes(news)) => {
            let bytes = rest(&mut call).await?;
            let facts = if bytes.is_empty() {
                Vec::new()
            } else {
                wire::unpack(&bytes).context(FactsSnafu)?
            };
            Ok(Answer::News(news, facts, bytes.freeze()))
        }
        _ => StrangeSnafu.fail(),
    }
}

/// The facts, as they were packed.
async fn rest(call: &mut Call) -> Result<BytesMut, Error> {
    let mut bytes = BytesMut::new();
    loop {
        match in_time(PART, call.next()).await? {
            None => return Ok(bytes),
            Some(Frame::Chunk(chunk)) if bytes.len() + chunk.bytes.len() <= MOST_BYTES => {
                bytes.extend_from_slice(&chunk.bytes);
            }
            Some(_) => return StrangeSnafu.fail(),
        }
    }
}

async fn in_time<T>(
    limit: Millis,
    call: impl Future<Output = Result<T, link::Error>>,
) -> Result<T, Error> {
    let ended = tokio::time::timeout(limit.duration(), call).await;
    ended.ok().context(SilentSnafu)?.context(LinkSnafu)
}

/// A place in the store's history, as routers tell it.
pub(crate) fn told(it: Revision) -> wire::Revision {
    wire::Revision { era: it.era.0, number: it.number }
}
