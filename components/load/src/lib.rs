//! A client that generates load on the fleet, for the local binary, tests and benchmarks.

mod answer;
mod caller;
mod error;
mod retry;

pub use answer::{Answer, Reply};
pub use caller::{Caller, Chat, OpenAnswer};
pub use error::Error;
pub use retry::retry;
