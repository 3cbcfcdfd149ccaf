//! A router's reducer where upstreams are reached directly.

mod admission;
mod cold;
mod decisions;
mod evacuation;
mod fleet;
mod health;
mod innocent;
mod loads;
mod pace;
mod places;
mod quarantine;
mod refusals;
mod rooms;
mod shares;
mod silence;
mod stopping;
mod warmth;
mod words;
