//! An HTTP/1.1 client for upstreams, with reuse of idle connections.
//!
//! Errors distinguish requests of which no byte was sent from those that may have
//! reached the upstream ([`Error::may_have_been_sent`]). An answer that was cut short is
//! an error, also where the end of its body is the end of the connection
//! ([`Answer::next`]).

mod answer;
mod body;
mod client;
mod connection;
mod error;
mod stream;

pub use answer::Answer;
pub use body::Body;
pub use client::{Client, Request};
pub use error::Error;
