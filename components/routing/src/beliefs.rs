//! The state of the upstreams: the list, loads, health, availability and cached prefixes, from
//! this router's own requests and from reports of other routers.

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
