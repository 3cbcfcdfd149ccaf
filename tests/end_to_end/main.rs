//! End-to-end tests with the binaries as separate processes.

mod answers;
mod bad_input;
mod broken_answers;
mod commands;
mod failures;
mod fleet;
mod observe;
mod process;
