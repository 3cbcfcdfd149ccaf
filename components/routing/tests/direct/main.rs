//! A router's reducer where upstreams are reached directly.

mod admission;
mod allocation;
mod cold;
mod decisions;
mod evacuation;
mod fixture;
mod health;
mod innocent;
mod loads;
mod pace;
mod places;
mod prefixes;
mod quarantine;
mod refusals;
mod shares;
mod silence;
mod stopping;
mod words;
