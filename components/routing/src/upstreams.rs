//! The state of the upstreams: the list, loads, health, availability and cached prefixes, from
//! this router's own requests and from reports of other routers.

pub(crate) mod allocation;
pub(crate) mod cold;
pub(crate) mod estimate;
pub(crate) mod evacuation;
pub(crate) mod health;
pub(crate) mod listing;
pub(crate) mod loads;
pub(crate) mod notices;
pub(crate) mod pace;
pub(crate) mod prefix_index;
pub(crate) mod trend;
pub(crate) mod updates;
pub(crate) mod upstream;
