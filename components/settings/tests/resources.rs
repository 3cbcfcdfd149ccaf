//! What is divided among callers stays within the host's memory and descriptors.

use settings::Resources;

/// The most memory that a connection takes by itself, in bytes.
const CONNECTION_BYTES: usize = 80 * 1024;

/// Memory for the process itself, in bytes.
const OWN_BYTES: usize = 48_000_000;

#[test]
fn the_parts_fit_into_the_memory() {
    for memory_mb in 64..2_048_u64 {
        let resources = Resources { memory_mb, descriptors: 65_536 };
        let connections = resources.connections() * CONNECTION_BYTES;
        let parts = resources.request_bytes() + resources.answer_bytes() + connections;
        let parts = u64::try_from(OWN_BYTES + parts).expect("a length");
        assert!(parts <= memory_mb * 1_000_000, "{memory_mb} MB");
    }
}

#[test]
fn half_of_the_descriptors_for_sockets_is_left_for_upstreams() {
    for descriptors in 300..8_192 {
        let resources = Resources { memory_mb: 4_096, descriptors };
        assert!(200 + 2 * resources.connections() <= descriptors, "{descriptors}");
    }
}

// Guards against hosts on which the largest body is refused in calm.
#[test]
fn a_small_host_serves_the_largest_body() {
    const LARGEST_BODY: usize = 4 * 1024 * 1024;
    let resources = Resources { memory_mb: 64, descriptors: 1_024 };
    assert!(resources.request_bytes() >= LARGEST_BODY * 5 / 4 + 64 * 1024);
}
