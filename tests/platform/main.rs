//! Tests of router processes against stand-ins of the platform's store and upstreams.

mod backoff;
mod caller;
mod configuration;
mod discovery;
mod endless;
mod evacuation;
mod faults;
mod fleet;
mod hints;
mod killed_fleet;
mod odd_entries;
mod odd_statuses;
mod path;
mod permits;
mod prompt_parts;
mod quarantine;
mod restarts;
mod restore;
mod router;
mod soak;
mod standin;
mod stop;
mod streams;
mod versions;
