//! The program's resident memory, as a fraction of its limit.

use std::cell::Cell;

/// Interval (ms) at which resident memory is read from the kernel's file.
const READ_INTERVAL_MS: f64 = 2000.0;
/// Bytes in a page, the unit in which the kernel counts resident memory.
const PAGE_BYTES: f64 = 4096.0;

/// The last reading of resident memory.
pub(super) struct ResidentMemory {
    limit_bytes: f64,
    fraction: Cell<f64>,
    read_ms: Cell<f64>,
}

impl ResidentMemory {
    /// Without a reading.
    pub fn new(limit_bytes: f64) -> Self {
        ResidentMemory {
            limit_bytes,
            fraction: Cell::new(f64::NAN),
            read_ms: Cell::new(f64::NEG_INFINITY),
        }
    }

    /// Resident memory as a fraction of the limit, read every [`READ_INTERVAL_MS`]; NaN where it cannot be read.
    pub fn fraction(&self, now_ms: f64) -> f64 {
        if now_ms - self.read_ms.get() >= READ_INTERVAL_MS {
            self.read_ms.set(now_ms);
            let fraction = resident_pages().map(|pages| pages * PAGE_BYTES / self.limit_bytes);
            self.fraction.set(fraction.unwrap_or(f64::NAN));
        }
        self.fraction.get()
    }
}

/// Resident memory of this process, in pages.
fn resident_pages() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
