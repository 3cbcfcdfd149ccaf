//! A router's reducer where upstreams are reached directly.

mod admission;
mod decisions;
mod fleet;
mod health;
mod loads;
mod silence;
mod stopping;
mod warmth;
