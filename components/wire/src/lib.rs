//! Frames between the processes of the fleet.
//!
//! Streams of the link and datagrams between routers carry length-prefixed
//! [`Frame`]s. Datagrams carry hints, which may be lost or wrong: they improve
//! decisions only. Records of streams may be lost, which costs a refusal, but
//! must be right. This crate is the only user of `bincode`.

mod codec;
mod demands;
mod frame;
mod pack;
mod permits;
mod streams;

pub use codec::{Error, MAX_FRAME_BYTES, Reader, encode};
pub use demands::Demands;
pub use frame::{
    Admitted, Broken, Changes, Chunk, Delay, DirectoryUpdate, End, Frame, Head, Hello, Load, Loads,
    Observation, Observations, Open, Outcome, Pace, PartCrash, PartRun, Peer, Query, Referral,
    Refused, Report, Revision, SavedStream, SavedStreams, Stage, Status, UpstreamCrash,
    WarmPrefixes, Welcome,
};
pub use pack::{pack, unpack};
pub use permits::{Claim, ClaimState, Claims, Finish, Held, Release, Saturated, Verdict, Verdicts};
pub use streams::{Beginning, Build, Record};
