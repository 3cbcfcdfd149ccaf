//! HTTP/1.1 requests to upstreams over kept connections.
//!
//! A [`Client`] sends each request on a connection of its own, a kept one if
//! there is one. What matters to a router is told exactly: whether any byte of a
//! request may have reached its upstream ([`Error`]), and whether an answer ended
//! as it should, also where its end is that of the connection ([`Answer::next`]).

mod answer;
mod client;
mod connection;
mod error;

pub use answer::Answer;
pub use client::{Client, Request};
pub use error::Error;
