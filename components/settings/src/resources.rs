//! What a process may use of its host, and how it is divided.

use nix::sys::resource::{Resource, getrlimit};

/// Bytes per MB, as hosts' memory is counted.
const MEGABYTE: usize = 1_000_000;

/// Memory in MB for the process itself and for what it knows of its fleet.
const OWN_MEMORY_MB: u64 = 48;

/// The least memory in MB that is divided among callers.
const MIN_SHARED_MEMORY_MB: u64 = 16;

/// The most memory for answers, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The most memory in bytes that a connection takes by itself: for bytes that arrived and were not
/// read, and for those that were read and are incomplete.
const CONNECTION_BYTES: usize = 80 * 1024;

/// Descriptors that are not for sockets.
const RESERVED_DESCRIPTORS: usize = 200;

/// The least number of connections.
const MIN_CONNECTIONS: usize = 16;

/// What a process may use of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Resources {
    /// The memory for the bodies of all requests together, in bytes: five eighths of what is shared.
    pub fn request_bytes(self) -> usize {
        self.shared_bytes() / 8 * 5
    }

    /// The memory for parts of all answers that can't be forwarded yet, in bytes: an eighth.
    pub fn answer_bytes(self) -> usize {
        (self.shared_bytes() / 8).min(MAX_ANSWER_BYTES)
    }

    /// The number of connections that others may open: limited by the last quarter, and by
    /// the descriptors, as a request in progress may need one more for its upstream.
    pub fn connections(self) -> usize {
        let by_memory = self.shared_bytes() / 4 / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    fn shared_bytes(self) -> usize {
        let shared_mb = self.memory_mb.saturating_sub(OWN_MEMORY_MB).max(MIN_SHARED_MEMORY_MB);
        usize::try_from(shared_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE)
    }
}

/// The memory of a process whose settings don't name it, in MB.
pub(crate) fn default_memory_mb() -> u64 {
    256
}

/// The descriptors that the system allows this process.
pub(crate) fn default_descriptors() -> usize {
    /// The usual limit, where the system tells none.
    const USUAL: u64 = 1_024;
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(USUAL, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}
