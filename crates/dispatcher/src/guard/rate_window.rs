//! Counts events in a sliding span, in buckets.

/// Buckets of a span.
const BUCKETS: usize = 64;

/// How often something happened in the span that ends now. A bucket that is partly in the span counts whole.
#[derive(Debug)]
pub struct RateWindow {
    bucket_ms: f64,
    /// Number of the bucket that `now` was in at the last call.
    current: u64,
    counts: [u64; BUCKETS],
}

impl Default for RateWindow {
    fn default() -> Self {
        RateWindow::new(0.0)
    }
}

impl RateWindow {
    /// A window of this span.
    pub fn new(span_ms: f64) -> Self {
        RateWindow {
            bucket_ms: span_ms / (BUCKETS - 1) as f64,
            current: 0,
            counts: [0; BUCKETS],
        }
    }

    /// It happened once, now.
    pub fn count(&mut self, now_ms: f64) {
        self.advance(now_ms);
        self.counts[self.current as usize % BUCKETS] += 1;
    }

    /// How often it happened.
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
