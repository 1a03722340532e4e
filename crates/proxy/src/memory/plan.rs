//! Divides the memory of the process among its uses.

use dunelink_settings::MachineLimits;

/// Share of the memory limit for request bodies, open requests and buffered responses. What these and the
/// connections leave is for the state of the process, received bytes that the kernel still holds, and memory
/// that the allocator keeps.
const BUFFER_FRACTION: f64 = 0.35;
/// Share of the memory limit for the connections to clients, and again for those to servers.
const CONNECTION_FRACTION: f64 = 0.2;
/// Memory of a connection without the request that is open on it, in bytes: its task, and the read buffer that
/// it keeps.
const CONNECTION_BYTES: usize = 44 * 1_024;
/// Size of the kernel's receive buffer of a socket, in bytes. Received bytes that were not read yet count as
/// memory of the process. The kernel doubles this value for its own overhead.
pub const SOCKET_RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;

/// How the memory of the process is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory for request bodies, open requests and buffered responses, in bytes.
    pub buffer_bytes: usize,
    /// Maximum number of connections to clients, and of those to servers.
    pub max_connections: usize,
}

impl MemoryPlan {
    /// Divides the memory that the settings allow.
    pub fn new(limits: &MachineLimits) -> Self {
        Self {
            buffer_bytes: limits.memory_share_bytes(BUFFER_FRACTION),
            max_connections: limits.memory_share_bytes(CONNECTION_FRACTION) / CONNECTION_BYTES,
        }
    }
}
