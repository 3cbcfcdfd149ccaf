//! Selection of upstreams: candidates, their order, and the prompt prefixes each one is missing.

pub(crate) mod candidates;
pub(crate) mod prefill;
pub(crate) mod prefixes;
pub(crate) mod ranking;
