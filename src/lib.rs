//! What the binaries of silverstack share.

pub mod cli;
pub mod local;
