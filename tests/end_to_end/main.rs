//! Tests with the real binaries as separate processes.

mod answers;
mod fleet;
mod process;
