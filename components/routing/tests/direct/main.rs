//! A router's reducer where upstreams are reached directly.

mod admission;
mod cold;
mod decisions;
mod evacuation;
mod fleet;
mod health;
mod loads;
mod places;
mod quarantine;
mod refusals;
mod silence;
mod stopping;
mod warmth;
mod words;
