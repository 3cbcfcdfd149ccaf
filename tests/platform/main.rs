//! The router on the users' platform, against stand-ins of its store and its
//! upstreams.

mod caller;
mod configuration;
mod crashing;
mod discovery;
mod eras;
mod evacuation;
mod faults;
mod fleet;
mod hints;
mod path;
mod places;
mod rest;
mod restarts;
mod router;
mod soak;
mod standin;
mod stop;
mod streams;
