//! What happens after failures: retries and their budget, silence, work that is held back, and
//! planned stops.

pub(crate) mod budget;
pub(crate) mod quarantine;
pub(crate) mod retry;
pub(crate) mod silence;
pub(crate) mod stopping;
