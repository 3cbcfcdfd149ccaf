//! Frames over `h2` streams.
//!
//! One long-lived connection joins two processes; each request has a stream of
//! its own. Flow control is left to `h2`: bytes are given back to the window
//! only when the reader takes the next frame, so a slow reader holds back its
//! own stream and bounds the memory of both sides to [`WINDOW`].

mod client;
mod error;
mod links;
mod listener;
mod stream;

pub use client::{Call, Connection};
pub use error::Error;
pub use links::Links;
pub use listener::{Exchange, Identity, accept};
pub use stream::{Sink, Source};

/// The flow-control window of one stream, in bytes.
pub const WINDOW: u32 = 16 * 1024;

/// The flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// The most streams of one connection at a time.
pub const MAX_STREAMS: u32 = 4096;
