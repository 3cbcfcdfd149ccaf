//! Tests of the reducer with upstreams that are reached directly.

mod admission;
mod allocation;
mod cleared_work;
mod cold;
mod continuations;
mod decisions;
mod draining;
mod evacuation;
mod fixture;
mod health;
mod lateness;
mod loads;
mod notices;
mod pace;
mod permits;
mod prefixes;
mod prompt_parts;
mod quarantine;
mod refusals;
mod shares;
mod silence;
mod versions;
