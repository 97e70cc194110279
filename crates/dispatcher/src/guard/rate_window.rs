//! Counts events in a sliding time window, in buckets.

/// Number of buckets in a window.
const BUCKETS: usize = 64;

/// The number of events in the window that ends now. A bucket that is partly in the window counts completely.
#[derive(Debug)]
pub struct RateWindow {
    bucket_ms: f64,
    /// Number of the bucket of the last call's time.
    current: u64,
    counts: [u64; BUCKETS],
}

impl Default for RateWindow {
    fn default() -> Self {
        RateWindow::new(0.0)
    }
}

impl RateWindow {
    /// A window of this length.
    pub fn new(span_ms: f64) -> Self {
        RateWindow {
            bucket_ms: span_ms / (BUCKETS - 1) as f64,
            current: 0,
            counts: [0; BUCKETS],
        }
    }

    /// Counts an event.
    pub fn count(&mut self, now_ms: f64) {
        self.advance(now_ms);
        self.counts[self.current as usize % BUCKETS] += 1;
    }

    /// The number of events in the window.
    pub fn sum(&mut self, now_ms: f64) -> u64 {
        self.advance(now_ms);
        self.counts.iter().sum()
    }

    fn advance(&mut self, now_ms: f64) {
        if self.bucket_ms <= 0.0 {
            return;
        }
        let now = (now_ms / self.bucket_ms) as u64;
        let passed = now.saturating_sub(self.current).min(BUCKETS as u64);
        for bucket in 1..=passed {
            self.counts[(now - passed + bucket) as usize % BUCKETS] = 0;
        }
        self.current = self.current.max(now);
    }
}
