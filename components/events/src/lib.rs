//! Splitting of server-sent event streams into complete events, without duplicates when a
//! stream is resumed at another upstream.

mod splitter;

pub use splitter::{Error, Splitter};
