//! What happens after failures: retries and their budget, silence, and planned stops.

pub(crate) mod budget;
pub(crate) mod retry;
pub(crate) mod silence;
pub(crate) mod stopping;
