//! End-to-end tests with the binaries as separate processes.

mod answers;
mod bad_input;
mod commands;
mod failures;
mod fleet;
mod observe;
mod process;
