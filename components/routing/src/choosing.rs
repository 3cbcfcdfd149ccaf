//! Where a request goes: which upstreams fit, their order, and what each lacks of the prompt.

pub(crate) mod choice;
pub(crate) mod need;
pub(crate) mod ranking;
pub(crate) mod share;
