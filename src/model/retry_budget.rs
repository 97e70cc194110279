//! The retry budget (rule 7), which limits retries in proportion to the queries that arrived recently.

use crate::model::CHECK_INTERVAL_MS;
use crate::settings::RetryBudgetRule;
use std::collections::VecDeque;

/// Arrivals and retries within the rule's span, and migrations that have not become retries yet.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    rule: Option<RetryBudgetRule>,
    arrivals: RecentEvents,
    retries: RecentEvents,
    /// Number of attempts that were cancelled so that their queries run elsewhere, and that are still in flight.
    pending_migrations: f64,
}

impl RetryBudget {
    /// An unused budget. Without a rule it allows every retry.
    pub(crate) fn new(rule: Option<RetryBudgetRule>) -> Self {
        RetryBudget {
            rule,
            ..RetryBudget::default()
        }
    }

    /// Records that a query arrived.
    pub(crate) fn record_arrival(&mut self, now_ms: f64) {
        self.arrivals.push(now_ms);
    }

    /// Records that a retry is sent.
    pub(crate) fn record_retry(&mut self, now_ms: f64) {
        self.retries.push(now_ms);
    }

    /// Reserves a retry for a query whose attempt is being cancelled for a migration.
    pub(crate) fn begin_migration(&mut self) {
        self.pending_migrations += 1.0;
    }

    /// Releases the reservation of [`begin_migration`](Self::begin_migration) when the attempt is no longer in flight.
    pub(crate) fn finish_migration(&mut self) {
        self.pending_migrations -= 1.0;
    }

    /// Whether one more retry may be sent. Pending migrations do not count, because the retry may belong to one of
    /// them.
    pub(crate) fn allows_retry(&mut self, now_ms: f64) -> bool {
        self.allows_one_more(0.0, now_ms)
    }

    /// Whether one more query may migrate, in addition to the pending migrations.
    pub(crate) fn allows_migration(&mut self, now_ms: f64) -> bool {
        self.allows_one_more(self.pending_migrations, now_ms)
    }

    fn allows_one_more(&mut self, pending: f64, now_ms: f64) -> bool {
        let Some(rule) = self.rule else {
            return true;
        };
        let since_ms = now_ms - rule.span_ms;
        let allowed = rule.free + rule.ratio * self.arrivals.count_after(since_ms);
        // A retry that is recorded now may be sent up to one check interval later.
        let retries = self.retries.count_after(since_ms - CHECK_INTERVAL_MS);
        retries + pending + 1.0 <= allowed
    }
}

/// The times of recent events (ms), in order.
#[derive(Debug, Default)]
struct RecentEvents(VecDeque<f64>);

impl RecentEvents {
    fn push(&mut self, at_ms: f64) {
        self.0.push_back(at_ms);
    }

    /// The number of events after `since_ms`. Drops all others.
    fn count_after(&mut self, since_ms: f64) -> f64 {
        while self.0.front().is_some_and(|&at_ms| at_ms <= since_ms) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}
