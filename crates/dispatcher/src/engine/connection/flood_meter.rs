//! Measures the rate of ignored replies on one connection, and detects a flood of them.

/// Length of a measurement window (ms).
const WINDOW_MS: f64 = 1000.0;
/// Maximum number of ignored replies per window; more are a flood. Far above the number of duplicate replies
/// and replies that cross an abort at the rate of one connection.
const MAX_REPLIES: u64 = 2000;
/// Maximum total size (bytes) of the ignored replies per window; more are a flood.
const MAX_BYTES: usize = 8 << 20;

/// Counts the ignored replies of the current window.
#[derive(Debug)]
pub(super) struct FloodMeter {
    window_start_ms: f64,
    replies: u64,
    bytes: usize,
}

impl Default for FloodMeter {
    fn default() -> Self {
        FloodMeter {
            window_start_ms: f64::NEG_INFINITY,
            replies: 0,
            bytes: 0,
        }
    }
}

impl FloodMeter {
    /// Counts an ignored reply of `bytes` bytes. Returns whether the window exceeds a limit.
    pub fn record_ignored_reply(&mut self, bytes: usize, now_ms: f64) -> bool {
        if now_ms - self.window_start_ms >= WINDOW_MS {
            *self = FloodMeter {
                window_start_ms: now_ms,
                ..FloodMeter::default()
            };
        }
        self.replies += 1;
        self.bytes += bytes;
        self.replies > MAX_REPLIES || self.bytes > MAX_BYTES
    }
}

#[cfg(test)]
mod tests;
