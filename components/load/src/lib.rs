//! A client of the fleet for the local binary, tests and benchmarks.

mod answer;
mod caller;
mod error;
mod retry;

pub use answer::{Answer, Reply};
pub use caller::{Caller, Chat, Held};
pub use error::Error;
pub use retry::retry;
