//! The limit on the memory of all read buffers, and its division between them. Does no I/O.

use super::admission_limits::AdmissionLimits;
use std::cell::Cell;

/// The memory that all read buffers may hold together. One half is divided evenly between the connections, so that a
/// connection's first bytes always find space; any connection may use what is free of the other half.
#[derive(Debug)]
pub struct ReadMemory {
    held_bytes: Cell<usize>,
    /// Size (bytes) of the half that any connection may use.
    shared_bytes: usize,
    /// Size (bytes) up to which a buffer may grow whatever the others hold.
    even_share: usize,
}

impl ReadMemory {
    /// The memory that `limits` allow, with no buffer in use.
    pub fn new(limits: &AdmissionLimits) -> Self {
        let shared_bytes = limits.max_buffered_bytes / 2;
        ReadMemory {
            held_bytes: Cell::default(),
            shared_bytes,
            even_share: shared_bytes / limits.max_connections.max(1),
        }
    }

    /// Size (bytes) up to which a buffer that holds `held` bytes may grow now.
    pub fn max_buffer_size(&self, held: usize) -> usize {
        let free = self.shared_bytes.saturating_sub(self.held_bytes.get());
        (held + free).max(self.even_share)
    }

    /// Records that a buffer that held `before` bytes holds `after` bytes now.
    pub fn record_resize(&self, before: usize, after: usize) {
        let others = self.held_bytes.get().saturating_sub(before);
        self.held_bytes.set(others + after);
    }

    /// Memory (bytes) that all buffers hold.
    #[cfg(test)]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }
}
