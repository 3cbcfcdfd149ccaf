//! What happens to a sidecar, and what it does about it.

use std::sync::Arc;

use bytes::Bytes;
use errors::Kind;
use placement::Pool;
use wire::{Frame, Note, Open, Report};

/// A sidecar's own number for one attempt of a request.
pub type CallId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A whole request came.
    Open {
        /// The call's number.
        call: CallId,
        /// The request.
        open: Open,
    },
    /// The router went away or no longer wants the answer.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// The upstream began to answer.
    Head {
        /// The call.
        call: CallId,
        /// The HTTP status.
        status: u16,
        /// The headers that go on to the caller.
        headers: Vec<(Arc<str>, Arc<str>)>,
    },
    /// A part of the upstream's answer came.
    Chunk {
        /// The call.
        call: CallId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The upstream's answer is whole.
    Ended {
        /// The call.
        call: CallId,
    },
    /// The upstream's answer will not be whole.
    Failed {
        /// The call.
        call: CallId,
        /// What went wrong.
        kind: Kind,
    },
    /// The pool came in answer to a report.
    Pool {
        /// The pool.
        pool: Pool,
        /// Whether the report was a sum.
        sum: bool,
    },
    /// A member of the pool reported its load to this sidecar.
    Report {
        /// The call to answer.
        call: CallId,
        /// The report.
        report: Report,
    },
    /// A chat was answered elsewhere.
    DirectoryUpdate(Note),
    /// The platform's list of the other members of the pool came.
    Peers(Vec<Peer>),
    /// Time passed.
    Tick,
    /// The upstream is to leave.
    Leave,
}

/// Another member of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Where its sidecar listens.
    pub address: Arc<str>,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write a frame of the call's answer.
    Send {
        /// The call.
        call: CallId,
        /// The frame.
        frame: Frame,
    },
    /// Write the last frame of the call's answer.
    Finish {
        /// The call.
        call: CallId,
        /// The frame.
        frame: Frame,
    },
    /// Hand the request to the upstream.
    Run {
        /// The call.
        call: CallId,
        /// The request.
        open: Open,
    },
    /// Cancel the request at the upstream.
    Abort {
        /// The call.
        call: CallId,
    },
    /// Report the load to the aggregator.
    Report {
        /// The aggregator.
        to: Peer,
        /// The report.
        report: Report,
    },
    /// Nothing is in flight any more after a `Leave`.
    Drained,
}
