//! Resident memory of this process as a fraction of its limit.

use std::cell::Cell;

/// Interval (ms) between reads of `/proc/self/statm`.
const READ_INTERVAL_MS: f64 = 2000.0;
/// Size (bytes) of a memory page, the unit of resident memory in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Last reading of resident memory.
pub(super) struct ResidentMemory {
    limit_bytes: f64,
    fraction: Cell<f64>,
    last_read_ms: Cell<f64>,
}

impl ResidentMemory {
    /// Creates an instance without a reading.
    pub fn new(limit_bytes: f64) -> Self {
        ResidentMemory {
            limit_bytes,
            fraction: Cell::new(f64::NAN),
            last_read_ms: Cell::new(f64::NEG_INFINITY),
        }
    }

    /// Returns resident memory as a fraction of the limit, read every [`READ_INTERVAL_MS`]; NaN if the read fails.
    pub fn fraction(&self, now_ms: f64) -> f64 {
        if now_ms - self.last_read_ms.get() >= READ_INTERVAL_MS {
            self.last_read_ms.set(now_ms);
            let fraction = resident_pages().map(|pages| pages * PAGE_BYTES / self.limit_bytes);
            self.fraction.set(fraction.unwrap_or(f64::NAN));
        }
        self.fraction.get()
    }
}

/// Reads the resident memory of this process (pages).
fn resident_pages() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
