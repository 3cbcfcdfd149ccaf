//! What happens to a router.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Millis;
use intents::{Labels, Plan};
use serde::{Deserialize, Serialize};
use wire::{
    Admitted, Broken, Chunk, Delay, Demands, End, Frame, Head, Loads, Observations, Outcome,
    Refused, WarmPrefixes, Welcome,
};

use crate::{Crash, Liveness, Settings};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a whole request.
    Arrival(Arrival),
    /// The owner of an idempotency key was looked up.
    KeyBound {
        /// The request.
        id: u64,
        /// The owner; `None` if it could not be looked up.
        owner: Option<Owner>,
    },
    /// A frame came in answer to an attempt.
    Reply {
        /// The request.
        id: u64,
        /// The attempt that was sent.
        attempt: u32,
        /// The frame.
        reply: Reply,
    },
    /// The stream of an attempt ended before its last frame.
    ConnectionFailed {
        /// The request.
        id: u64,
        /// The attempt that was sent.
        attempt: u32,
        /// Whether any byte of the request may have reached the sidecar.
        sent: bool,
    },
    /// Nothing has come for the attempt's timeout.
    Stalled {
        /// The request.
        id: u64,
        /// The attempt that was sent.
        attempt: u32,
    },
    /// The caller went away.
    Cancel {
        /// The request.
        id: u64,
    },
    /// The request's deadline passed.
    Expire {
        /// The request.
        id: u64,
    },
    /// The platform's list of hosts came.
    Hosts(Vec<Host>),
    /// Time passed: missing connections are opened.
    Tick,
    /// A connection to an upstream's sidecar stands.
    Connected(Welcome),
    /// The connection to an upstream's sidecar still stands.
    Alive {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream's sidecar can't be reached.
    Unreachable {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// The operator changed the settings.
    Settings(Box<Settings>),
    /// A configuration came.
    Configure(Arc<Plan>),
    /// The configuration in force was the newest at `at`.
    ConfigurationConfirmed {
        /// When it was known to be.
        at: Millis,
    },
    /// So many routers were counted, this one included.
    RouterCount(usize),
    /// These routers have announced themselves.
    Members {
        /// This router.
        own: Arc<str>,
        /// All that are announced.
        announced: BTreeSet<Arc<str>>,
    },
    /// These failure domains are to take nothing; all others may take work.
    Evacuated(BTreeSet<Arc<str>>),
    /// An upstream is cold: it bears few requests.
    Cold {
        /// The upstream.
        upstream: Arc<str>,
        /// For how much longer.
        remaining: Millis,
    },
    /// The owner of a pool that is short has granted a request a place.
    Granted {
        /// The request.
        id: u64,
        /// The number under which it asked.
        number: u64,
        /// The upstream.
        upstream: Arc<str>,
    },
    /// The owner has refused a request.
    Denied {
        /// The request.
        id: u64,
        /// The number under which it asked.
        number: u64,
        /// When its caller may come back, in milliseconds.
        after_ms: u64,
    },
    /// The owner says nothing, and this router's own part has room for a request.
    Unanswered {
        /// The request.
        id: u64,
        /// The number under which it asked.
        number: u64,
    },
    /// A pool is short of places.
    Saturated {
        /// The pool.
        pool: Arc<str>,
        /// For how long, unless it is told again; zero once it is short no more.
        duration: Millis,
    },
    /// An upstream said with an answer that it leaves.
    Leaving {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream asked with an answer to be sent nothing for a while.
    Backoff {
        /// The upstream.
        upstream: Arc<str>,
        /// For how long.
        duration: Millis,
    },
    /// An upstream told its load with an answer.
    Load {
        /// The upstream.
        upstream: Arc<str>,
        /// Requests that run and wait there.
        requests: u64,
        /// Those of them whose answers have not begun.
        waiting: u64,
    },
    /// An upstream told with an answer how fast it is at the moment.
    Pace {
        /// The upstream.
        upstream: Arc<str>,
        /// How long work takes it, as a percentage of the usual time.
        percent: u32,
    },
    /// Another router told how fast upstreams said that they were.
    Paces(Vec<wire::Pace>),
    /// Another router told where parts of prompts are warm.
    WarmPrefixes(WarmPrefixes),
    /// Another router told its own load.
    Loads(Loads),
    /// Another router told what answers told it of loads.
    Observations(Observations),
    /// Another router told how its requests ended.
    Outcomes(Vec<Outcome>),
    /// Another router told how long its requests waited.
    Delays(Vec<Delay>),
    /// Another router told what is asked of a pool that is short.
    Demands(Demands),
    /// Upstreams have ended while they had requests, as routers have told.
    Crashes(Vec<Crash>),
    /// An upstream was checked at which a request broke off.
    Checked {
        /// The upstream.
        upstream: Arc<str>,
        /// What was found.
        check: Liveness,
    },
    /// The pause of a request that waits is over.
    WaitElapsed {
        /// The request.
        id: u64,
    },
    /// The router is to stop.
    Drain {
        /// When requests are cut that have not ended.
        until: Millis,
    },
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The router's own number for the request.
    pub id: u64,
    /// The id that callers and operators see.
    pub request: Arc<str>,
    /// The workspace, already authenticated.
    pub workspace: Arc<str>,
    /// The kind of request.
    pub kind: Arc<str>,
    /// The model, if one is asked for.
    pub model: Option<Arc<str>>,
    /// The hash of the work that is asked for: the same for whoever of the workspace asks
    /// for it again, under whatever id and at whatever router.
    pub fingerprint: u64,
    /// What keeps a chat together.
    pub chat: Arc<str>,
    /// The parts of the prompt that other requests may share, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// The idempotency key, if there is one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The load that the request brings, in tokens.
    pub weight: u64,
    /// The time the caller gives it, if less than the intent's.
    pub deadline: Option<Millis>,
}

/// The start of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Prefix {
    /// The hash of the part and all parts before it.
    pub hash: u64,
    /// The length of the part and all parts before it, in tokens.
    pub tokens: u64,
}

impl Arrival {
    /// The length of what other requests may share, in tokens.
    pub fn prefix_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |it| it.tokens)
    }

    /// The hashes of the parts that other requests may share.
    pub(crate) fn prefix_hashes(&self) -> Vec<u64> {
        self.prefixes.iter().map(|it| it.hash).collect()
    }

    /// Whether it is a turn of a chat, which has a context to come back to.
    pub fn is_chat(&self) -> bool {
        self.model.is_some() && self.idempotency_key.is_none()
    }
}

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key, within the workspace.
    pub key: Arc<str>,
    /// The owner that the key itself names, if it does.
    pub owner: Option<Owner>,
}

/// The one place where the calls of a key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The life of its sidecar.
    pub incarnation: u64,
}

/// A frame that answers an attempt.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The request did not run there.
    Refused(Refused),
    /// The request was taken.
    Admitted(Admitted),
    /// The head of the answer.
    Head(Head),
    /// A part of the answer.
    Chunk(Chunk),
    /// The answer is whole.
    End(End),
    /// The answer will not be whole.
    Broken(Broken),
    /// A frame that may not come here.
    Unexpected,
}

impl From<Frame> for Reply {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Refused(refused) => Self::Refused(refused),
            Frame::Admitted(admitted) => Self::Admitted(admitted),
            Frame::Head(head) => Self::Head(head),
            Frame::Chunk(chunk) => Self::Chunk(chunk),
            Frame::End(end) => Self::End(end),
            Frame::Broken(broken) => Self::Broken(broken),
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Open(_)
            | Frame::Report(_)
            | Frame::Pool(_)
            | Frame::DirectoryUpdate(_)
            | Frame::WarmPrefixes(_)
            | Frame::Loads(_)
            | Frame::Observations(_)
            | Frame::Delays(_)
            | Frame::Demands(_)
            | Frame::UpstreamCrash(_)
            | Frame::Query(_)
            | Frame::Changes(_)
            | Frame::Referral(_)
            | Frame::Forwarded(_)
            | Frame::Outcomes(_)
            | Frame::Paces(_)
            | Frame::Cleared(_)
            | Frame::Claims(_)
            | Frame::Verdicts(_)
            | Frame::Saturated(_) => Self::Unexpected,
        }
    }
}

/// One line of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The upstream's name. Where upstreams start again under the name that they had, it is
    /// another one for each start, so that nothing that is believed of one start, or told of
    /// it by other routers, is taken for the next.
    pub name: Arc<str>,
    /// The name under which it is listed, the same for all its starts; empty where that is
    /// its name.
    #[serde(default)]
    pub entry: Arc<str>,
    /// Where its sidecar listens.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What the platform says of it.
    pub labels: Labels,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How many requests it works on at once; zero where that is not told.
    #[serde(default)]
    pub slots: u64,
    /// When it started, in milliseconds since the Unix epoch; zero where that is not told.
    /// Only starts of one entry are compared.
    #[serde(default)]
    pub born: u64,
}

impl Host {
    /// The name under which it is listed.
    pub fn entry(&self) -> &Arc<str> {
        if self.entry.is_empty() { &self.name } else { &self.entry }
    }
}
