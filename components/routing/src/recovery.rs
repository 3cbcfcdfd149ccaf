//! Recovery from failures: retries and their budget, silent upstreams, quarantined work, and
//! draining.

pub(crate) mod budget;
pub(crate) mod draining;
pub(crate) mod parts;
pub(crate) mod quarantine;
pub(crate) mod retry;
pub(crate) mod silence;
