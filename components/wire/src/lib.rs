//! Frames between the processes of the fleet.
//!
//! A stream of the link carries length-prefixed [`Frame`]s. This crate is the
//! only user of `bincode`, so that a successor is a change to one file.

mod codec;
mod demands;
mod frame;
mod pack;
mod places;

pub use codec::{Error, MAX_FRAME, Reader, encode};
pub use demands::Demands;
pub use frame::{
    Admitted, Broken, Chunk, Delay, End, Ended, Frame, Head, Heard, Hello, Load, Loads, Look, News,
    Note, Open, Outcome, Pace, Peer, Refer, Refused, Report, Revision, Stage, Status, Told, Warm,
    Welcome,
};
pub use pack::{pack, unpack};
pub use places::{Claim, Claims, Finish, Held, Release, Short, Turn, Verdict, Verdicts};
