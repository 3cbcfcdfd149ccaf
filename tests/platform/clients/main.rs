//! Clients that don't behave: what all of them together hold of a process stays within its limits.
//!
//! Each test starts processes with small limits and a crowd of such clients, and has the machine's
//! memory and descriptors to itself.

#[expect(dead_code, reason = "shared with the tests of the platform")]
#[path = "../caller.rs"]
mod caller;
#[expect(dead_code, reason = "shared with the end-to-end tests")]
#[path = "../../end_to_end/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "shared with the end-to-end tests")]
#[path = "../../end_to_end/process.rs"]
mod process;
#[expect(dead_code, reason = "shared with the tests of the platform")]
#[path = "../router.rs"]
mod router;
#[expect(dead_code, unused_imports, reason = "shared with the tests of the platform")]
#[path = "../standin/mod.rs"]
mod standin;

mod bodies;
mod connections;
mod crowd;
mod scene;
mod sidecar;
mod usage;
