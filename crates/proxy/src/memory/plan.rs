//! Divides the memory of the process among its uses.
//!
//! Each part is an upper bound: the parts together stay below the limit even if each of them is used up at the
//! same time.

use dunelink_settings::MachineLimits;

/// Share of the memory limit for request bodies, open requests and buffered responses.
const BUFFER_FRACTION: f64 = 0.3;
/// Share of the memory limit for the connections to clients, and again for those to servers.
const CONNECTION_FRACTION: f64 = 0.24;
/// Share of the memory limit for what arrives on connections that are not accepted yet. What all shares leave is
/// for the state of the process and for memory that the allocator keeps.
const PENDING_CONNECTION_FRACTION: f64 = 0.04;

/// Size of the kernel's receive buffer of a socket, in bytes. The kernel doubles it for its own overhead.
pub const SOCKET_RECEIVE_BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum number of received bytes on a socket that were not read yet. They count as memory of the process.
const MAX_UNREAD_BYTES: usize = 2 * SOCKET_RECEIVE_BUFFER_BYTES;
/// Maximum read buffer of a connection to a server, in bytes; it also limits the head of a response.
pub const SERVER_READ_BUFFER_BYTES: usize = 24 * 1_024;
/// Read buffer of a connection to a client beyond the size of a head, in bytes.
const EXTRA_READ_BUFFER_BYTES: usize = 4 * 1_024;
/// Memory of a connection apart from the bytes that it has received, in bytes: its state, and the head that it
/// sent last.
const CONNECTION_STATE_BYTES: usize = 24 * 1_024;
/// Memory of an open request apart from its body and its head as it was received, in bytes: the fields of the
/// head, and the pieces of the response that wait until the client reads them.
const REQUEST_STATE_BYTES: usize = 64 * 1_024;
/// Maximum length of the kernel's queue of connections that are not accepted yet.
const MAX_PENDING_CONNECTIONS: usize = 1_024;

/// Returns the maximum read buffer of a connection to a client, in bytes. The head of a request has at most
/// `max_head_bytes`.
pub fn client_read_buffer_bytes(max_head_bytes: usize) -> usize {
    max_head_bytes.saturating_add(EXTRA_READ_BUFFER_BYTES)
}

/// Returns the memory of an open request apart from its body, in bytes. Its head has at most `max_head_bytes` and
/// lies in a read buffer, which is kept as long as the head.
pub fn open_request_bytes(max_head_bytes: usize) -> usize {
    client_read_buffer_bytes(max_head_bytes).saturating_add(REQUEST_STATE_BYTES)
}

/// How the memory of the process is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Memory for request bodies, open requests and buffered responses, in bytes.
    pub buffer_bytes: usize,
    /// Memory for the connections to clients, in bytes, and for those to servers.
    connection_bytes: usize,
    /// Memory for what arrives on connections that are not accepted yet, in bytes.
    pending_connection_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory that the settings allow.
    pub fn new(limits: &MachineLimits) -> Self {
        Self {
            buffer_bytes: limits.memory_share_bytes(BUFFER_FRACTION),
            connection_bytes: limits.memory_share_bytes(CONNECTION_FRACTION),
            pending_connection_bytes: limits.memory_share_bytes(PENDING_CONNECTION_FRACTION),
        }
    }

    /// Returns the maximum number of connections to clients if the head of a request has at most
    /// `max_head_bytes`.
    pub fn max_client_connections(&self, max_head_bytes: usize) -> usize {
        let received_bytes = client_read_buffer_bytes(max_head_bytes).saturating_add(MAX_UNREAD_BYTES);
        (self.connection_bytes / received_bytes.saturating_add(CONNECTION_STATE_BYTES)).max(1)
    }

    /// Returns the maximum number of connections to servers.
    pub fn max_server_connections(&self) -> usize {
        let received_bytes = SERVER_READ_BUFFER_BYTES + MAX_UNREAD_BYTES;
        (self.connection_bytes / (received_bytes + CONNECTION_STATE_BYTES)).max(1)
    }

    /// Returns the maximum number of connections that wait in the kernel until they are accepted.
    pub fn max_pending_connections(&self) -> usize {
        (self.pending_connection_bytes / MAX_UNREAD_BYTES).clamp(1, MAX_PENDING_CONNECTIONS)
    }
}
