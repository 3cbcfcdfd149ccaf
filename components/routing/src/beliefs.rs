//! What a router believes of its upstreams: which there are, how they are, what they carry and
//! hold, and what other routers tell of them.

pub(crate) mod cold;
pub(crate) mod evacuation;
pub(crate) mod fleet;
pub(crate) mod health;
pub(crate) mod listing;
pub(crate) mod loads;
pub(crate) mod outlook;
pub(crate) mod pace;
pub(crate) mod room;
pub(crate) mod upstream;
pub(crate) mod warmth;
pub(crate) mod word;
