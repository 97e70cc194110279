//! What the retry budget counts.

use std::collections::VecDeque;

/// Arrivals and retries of the budget's span, and migrations that will become retries.
#[derive(Debug, Default)]
pub(crate) struct RetryCounts {
    pub(crate) arrivals: RecentEvents,
    pub(crate) retries: RecentEvents,
    /// Attempts that were cancelled to run elsewhere and have not ended yet.
    pub(crate) migrating: f64,
}

/// The times of recent events.
#[derive(Debug, Default)]
pub(crate) struct RecentEvents(VecDeque<f64>);

impl RecentEvents {
    pub(crate) fn push(&mut self, at_ms: f64) {
        self.0.push_back(at_ms);
    }

    /// How many are later than `since_ms`; earlier ones are dropped.
    pub(crate) fn count_after(&mut self, since_ms: f64) -> f64 {
        while self.0.front().is_some_and(|&at_ms| at_ms <= since_ms) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}
