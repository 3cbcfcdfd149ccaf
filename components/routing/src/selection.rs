//! Where a request goes: which upstreams fit, their order, and what each lacks of the prompt.

pub(crate) mod candidates;
pub(crate) mod prefill;
pub(crate) mod prefixes;
pub(crate) mod ranking;
