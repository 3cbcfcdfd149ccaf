//! Requests and answers as frames on HTTP/2 streams.
//!
//! Two processes share one long-lived connection, with a stream for each request. Flow
//! control is that of HTTP/2: the receiver releases window capacity only as it reads
//! frames, so a slow reader delays only its own stream, and each stream buffers at most
//! [`WINDOW`] bytes at either side.

mod client;
mod error;
mod links;
mod listener;
mod server;
mod stream;

pub use client::{Call, Connection};
pub use error::Error;
pub use links::Links;
pub use listener::{Exchange, Identity, accept};
pub use server::Server;
pub use stream::{Sink, Source};

/// The flow-control window of one stream, in bytes.
pub const WINDOW: u32 = 16 * 1024;

/// The flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// The flow-control window of a connection before its greeting, in bytes.
const GREETING_WINDOW: u32 = 64 * 1024;

/// The most bytes of a greeting's frame.
const MAX_GREETING_BYTES: usize = 4 * 1024;

/// The most bytes of a stream's headers, which have a few.
const MAX_HEADERS_BYTES: u32 = 16 * 1024;

/// Maximum number of concurrent streams of a connection.
pub const MAX_STREAMS: u32 = 4096;
