//! Measures replies without effect on one connection, and detects a flood of them.

/// Span over which replies are counted (ms).
const SPAN_MS: f64 = 1000.0;
/// Replies without effect in a span above which an engine floods. Far above what repeated replies and answers that cross an
/// abort add up to at the rate of one connection.
const MAX_REPLIES: u64 = 2000;
/// Size of these replies (bytes) above which an engine floods.
const MAX_BYTES: usize = 8 << 20;

/// Counts the replies of the current span.
#[derive(Debug)]
pub(super) struct FloodMeter {
    since_ms: f64,
    replies: u64,
    bytes: usize,
}

impl Default for FloodMeter {
    fn default() -> Self {
        FloodMeter {
            since_ms: f64::NEG_INFINITY,
            replies: 0,
            bytes: 0,
        }
    }
}

impl FloodMeter {
    /// Counts a reply without effect. Returns whether there are too many of them.
    pub fn is_flooded_by(&mut self, bytes: usize, now_ms: f64) -> bool {
        if now_ms - self.since_ms >= SPAN_MS {
            *self = FloodMeter {
                since_ms: now_ms,
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
