//! What a router does about what happens to it.

use std::sync::Arc;

use clock::Millis;
use errors::{Answer, Kind};
use wire::{Claim, DirectoryUpdate, Finish, Head, WarmPrefixes};

use crate::{Crash, Decision, Owner};

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Find the owner of a key in the platform's service, or make `owner` it.
    BindKey {
        /// The key, within the workspace.
        key: Arc<str>,
        /// The owner if the key has none yet.
        owner: Owner,
    },
    /// Send an attempt; replies to earlier attempts are of no interest now.
    Send(Attempt),
    /// Pass on the head of the answer.
    Head(Head),
    /// Pass on a part of the answer.
    Relay(bytes::Bytes),
    /// The answer is whole.
    Finish,
    /// Give the final answer.
    Fail(Answer),
    /// Cut off an answer that has begun.
    Abort(Answer),
    /// Tell the sidecar that the answer is no longer wanted.
    Cancel,
    /// Keep a decision for explaining.
    Record(Arc<Decision>),
    /// Tell a chat's first upstream in rank where its context is now.
    UpdateDirectory {
        /// The first upstream in rank.
        upstream: Arc<str>,
        /// The address of its sidecar.
        address: Arc<str>,
        /// What to tell.
        note: DirectoryUpdate,
    },
    /// Tell the other routers where parts of prompts are warm.
    PublishPrefixes(WarmPrefixes),
    /// Close the connections to an upstream that wait for a request.
    CloseIdle {
        /// Its address.
        address: Arc<str>,
    },
    /// Wait before the request is sent.
    Wait(Millis),
    /// An upstream is left alone for a while; a line for the log.
    Suspect {
        /// The upstream.
        upstream: Arc<str>,
        /// Failures in a row.
        failures: u32,
        /// Whether the last connection that was tried could be opened.
        reachable: bool,
        /// Until when it is left alone.
        until: Millis,
    },
    /// An upstream that was left alone answers again; a line for the log.
    Recovered {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream said that it leaves; a line for the log.
    Leaving {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream asked for rest; a line for the log.
    Backoff {
        /// The upstream.
        upstream: Arc<str>,
        /// For how long.
        duration: Millis,
    },
    /// Find out whether an upstream still takes connections, at which a request broke off.
    Check {
        /// The upstream.
        upstream: Arc<str>,
        /// Its address.
        address: Arc<str>,
    },
    /// Tell the other routers, also those that start later, under what work upstreams ended.
    ReportCrashes(Vec<Crash>),
    /// Tell the other routers, also those that start later, that work was answered in full and is
    /// not held back.
    ReportCleared(Crash),
    /// Work is held back from now on; a line for the log.
    Quarantine {
        /// The hash of the work.
        fingerprint: u64,
        /// For how long.
        duration: Millis,
    },
    /// Connect to an upstream's sidecar.
    Connect {
        /// The upstream.
        upstream: Arc<str>,
        /// The address of its sidecar.
        address: Arc<str>,
    },
    /// Ask the owner of a pool that is short for a place; the answer is one of
    /// `Granted`, `Denied` and `Unanswered`.
    Claim {
        /// The pool.
        pool: Arc<str>,
        /// The request.
        claim: Claim,
    },
    /// Give back a permit, or take back an ask for one.
    Release {
        /// The pool.
        pool: Arc<str>,
        /// The number of both.
        number: u64,
        /// What became of it.
        end: Finish,
        /// How long the upstream had it.
        elapsed: Millis,
    },
    /// A pool runs short: tell its owner.
    ReportSaturation {
        /// The pool.
        pool: Arc<str>,
    },
    /// Nothing is in flight any more.
    Drained,
}

/// One sending of a request to one sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's number, from 1.
    pub number: u32,
    /// Where to.
    pub upstream: Arc<str>,
    /// The address of its sidecar.
    pub address: Arc<str>,
    /// The life of the sidecar that may run it; any, if zero.
    pub incarnation: u64,
    /// The load that the request brings, in tokens.
    pub weight: u64,
    /// The intent's priority.
    pub priority: i32,
    /// The time left.
    pub remaining: Millis,
    /// How long a sidecar may take to say anything; of an upstream that is reached
    /// directly, how long nothing may come at any time.
    pub timeout: Millis,
    /// The generation it was decided under.
    pub generation: u64,
    /// The hash of workspace and chat.
    pub chat: u64,
    /// Whether the sidecar is asked for where the chat is.
    pub is_home: bool,
    /// Where the chat's context is known to be warm, if that is another
    /// upstream: its address.
    pub copy_from: Option<Arc<str>>,
    /// Whether the upstream is to go on with an answer that another one began.
    pub resume: bool,
    /// Whether it goes on a new connection: an earlier one fell silent, and others that
    /// are kept may have too.
    pub new_connection: bool,
}

impl Effect {
    pub(crate) fn answer(kind: Kind, request: &str, retry_after_ms: u64, detail: &str) -> Answer {
        Answer::new(kind, request, retry_after_ms, detail)
    }
}
