//! A caller of the fleet, for the laptop binary, the tests and the benchmark.

mod answer;
mod caller;
mod error;
mod retry;

pub use answer::{Answer, Reply};
pub use caller::{Caller, Chat, Held};
pub use error::Error;
pub use retry::retry;
