//! Counts events in a sliding time window that is divided into buckets.

/// Number of buckets in a window.
const BUCKETS: usize = 64;

/// The number of events in the window that ends now. A bucket that is partly inside the window counts in full.
#[derive(Debug)]
pub struct RateWindow {
    bucket_ms: f64,
    /// Number of the bucket that contains the time of the last call.
    current_bucket: u64,
    counts: [u64; BUCKETS],
}

impl Default for RateWindow {
    fn default() -> Self {
        RateWindow::new(0.0)
    }
}

impl RateWindow {
    /// Creates a window of `span_ms`. A span of 0 disables expiry: all events count.
    pub fn new(span_ms: f64) -> Self {
        RateWindow {
            bucket_ms: span_ms / (BUCKETS - 1) as f64,
            current_bucket: 0,
            counts: [0; BUCKETS],
        }
    }

    /// Counts an event at `now_ms`.
    pub fn count(&mut self, now_ms: f64) {
        self.advance(now_ms);
        self.counts[self.current_bucket as usize % BUCKETS] += 1;
    }

    /// Returns the number of events in the window that ends at `now_ms`.
    pub fn sum(&mut self, now_ms: f64) -> u64 {
        self.advance(now_ms);
        self.counts.iter().sum()
    }

    /// Clears the buckets between the last call and `now_ms`.
    fn advance(&mut self, now_ms: f64) {
        if self.bucket_ms <= 0.0 {
            return;
        }
        let now_bucket = (now_ms / self.bucket_ms) as u64;
        let expired = now_bucket
            .saturating_sub(self.current_bucket)
            .min(BUCKETS as u64);
        for offset in 1..=expired {
            self.counts[(now_bucket - expired + offset) as usize % BUCKETS] = 0;
        }
        self.current_bucket = self.current_bucket.max(now_bucket);
    }
}
