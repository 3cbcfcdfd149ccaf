//! Code shared by the binaries.

pub mod cli;
pub mod local;
