//! The low lane across all engines: a token bucket of thread time, and the mean work of its queries.

use crate::model::LEARNING;

/// Burst of the token bucket (thread time, ms). The debt has the same bound.
const BURST_MS: f64 = 12_000.0;

/// The low lane of this dispatcher across all engines.
///
/// The bucket refills with the thread time that the concurrency limits leave unused, and drains while they are
/// exceeded. It decides whether a query may start where the limits' sum is below one query.
#[derive(Debug, Default)]
pub(crate) struct LowLane {
    /// Thread time in the bucket (ms); negative while it is in debt.
    tokens_ms: f64,
    /// Mean work of its queries for each of their threads (ms).
    mean_work_per_thread_ms: f64,
}

impl LowLane {
    /// Refills the bucket for `elapsed_ms` with `headroom_threads` unused threads; a negative headroom drains it.
    pub(crate) fn refill(&mut self, headroom_threads: f64, elapsed_ms: f64) {
        let tokens_ms = self.tokens_ms + headroom_threads * elapsed_ms.min(BURST_MS);
        self.tokens_ms = tokens_ms.clamp(-BURST_MS, BURST_MS);
    }

    /// Whether the bucket is not in debt.
    pub(crate) fn has_tokens(&self) -> bool {
        self.tokens_ms >= 0.0
    }

    /// Records the work a thread (ms) of a query that arrived.
    pub(crate) fn record_work(&mut self, work_per_thread_ms: f64) {
        let distance_ms = work_per_thread_ms - self.mean_work_per_thread_ms;
        self.mean_work_per_thread_ms += LEARNING.mean * distance_ms;
    }

    /// Mean work of its queries for each of their threads (ms).
    pub(crate) fn mean_work_per_thread_ms(&self) -> f64 {
        self.mean_work_per_thread_ms
    }
}
