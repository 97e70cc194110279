//! The low lane across all engines: a token bucket of thread time, and the mean work of the lane's queries.

use crate::model::LEARNING;

/// Capacity of the token bucket (thread time, ms), and the largest debt that it may have.
const BURST_MS: f64 = 12_000.0;

/// The low lane of this dispatcher across all engines.
///
/// The bucket refills with the thread time that the concurrency limits leave unused, and drains while the limits are
/// exceeded. If the sum of the limits is less than one query needs, the bucket decides whether a query may start.
#[derive(Debug, Default)]
pub(crate) struct LowLane {
    /// Thread time in the bucket (ms); negative while the bucket is in debt.
    tokens_ms: f64,
    /// Mean work per thread of the lane's queries (ms).
    mean_work_per_thread_ms: f64,
}

impl LowLane {
    /// Refills the bucket with `headroom_threads` unused threads over `elapsed_ms`. A negative headroom drains the
    /// bucket.
    pub(crate) fn refill(&mut self, headroom_threads: f64, elapsed_ms: f64) {
        let tokens_ms = self.tokens_ms + headroom_threads * elapsed_ms.min(BURST_MS);
        self.tokens_ms = tokens_ms.clamp(-BURST_MS, BURST_MS);
    }

    /// Whether the bucket is not in debt.
    pub(crate) fn has_tokens(&self) -> bool {
        self.tokens_ms >= 0.0
    }

    /// Records the work per thread (ms) of a query that arrived.
    pub(crate) fn record_work(&mut self, work_per_thread_ms: f64) {
        let distance_ms = work_per_thread_ms - self.mean_work_per_thread_ms;
        self.mean_work_per_thread_ms += LEARNING.mean * distance_ms;
    }

    /// Mean work per thread of the lane's queries (ms).
    pub(crate) fn mean_work_per_thread_ms(&self) -> f64 {
        self.mean_work_per_thread_ms
    }
}
