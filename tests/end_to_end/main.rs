//! Tests with the real binaries as separate processes.

mod answers;
mod failures;
mod fleet;
mod process;
