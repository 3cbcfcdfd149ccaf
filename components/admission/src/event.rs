//! The inputs and outputs of the reducer.

use std::sync::Arc;

use bytes::Bytes;
use errors::Kind;
use placement::Pool;
use wire::{DirectoryUpdate, Frame, Open, Report};

/// The sidecar's number for an incoming exchange: an attempt of a request, or a load report.
pub type CallId = u64;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete request arrived.
    Open {
        /// The number assigned to the call.
        call: CallId,
        /// The request.
        open: Open,
    },
    /// The router disconnected or cancelled the call.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// The head of the upstream's answer arrived.
    Head {
        /// The call.
        call: CallId,
        /// The HTTP status.
        status: u16,
        /// The headers to forward.
        headers: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Part of the body arrived.
    Chunk {
        /// The call.
        call: CallId,
        /// The next bytes of the body.
        bytes: Bytes,
    },
    /// The upstream's answer is complete.
    Ended {
        /// The call.
        call: CallId,
    },
    /// The upstream's answer failed.
    Failed {
        /// The call.
        call: CallId,
        /// The kind of error.
        kind: Kind,
    },
    /// A report was answered with the pool's load.
    Pool {
        /// The load and number of members known to the receiver.
        pool: Pool,
        /// Whether the answered report was the sum of a leader's group.
        sum: bool,
    },
    /// Another member of the pool reported its load.
    Report {
        /// The exchange to answer.
        call: CallId,
        /// The member's load, or the sum of its group.
        report: Report,
    },
    /// A chat was answered elsewhere.
    DirectoryUpdate(DirectoryUpdate),
    /// The other members of the pool, as listed by the platform.
    Peers(Vec<Peer>),
    /// Time passed.
    Tick,
    /// The upstream begins to leave.
    Leave,
}

/// Another member of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The address of its sidecar.
    pub address: Arc<str>,
}

/// An output of the reducer.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame of the call's answer.
    Send {
        /// The call.
        call: CallId,
        /// The frame.
        frame: Frame,
    },
    /// Send the last frame of the call's answer.
    Finish {
        /// The call.
        call: CallId,
        /// The frame.
        frame: Frame,
    },
    /// Send the request to the upstream.
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
    /// Report the load to another member.
    Report {
        /// The receiver.
        to: Peer,
        /// The load of this member, or the sum of its group.
        report: Report,
    },
    /// The sidecar is leaving and no call is in flight. Repeated with each event from then on: its
    /// stop may be requested later, and ending a stop again has no effect.
    Drained,
}
