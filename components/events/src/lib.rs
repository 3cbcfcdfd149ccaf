//! Server-sent events: splitting a stream into whole events, and keeping each
//! one once when a stream goes on at another upstream.

mod splitter;

pub use splitter::{Error, Splitter};
