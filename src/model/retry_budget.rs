//! The retry budget (rule 7), which limits retries in proportion to the queries that arrived recently.

use crate::model::event_window::{EventWindow, MergedTime};
use crate::model::CHECK_INTERVAL_MS;
use crate::settings::RetryBudgetRule;

/// Arrivals and retries within the rule's span, and migrations that have not become retries yet.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// `None` if the settings have no rule: nothing is recorded then.
    recent: Option<RecentQueries>,
    /// Number of attempts that were cancelled so that their queries run elsewhere, and that are still in flight.
    pending_migrations: f64,
}

/// The arrivals and retries that a rule counts.
#[derive(Debug)]
struct RecentQueries {
    rule: RetryBudgetRule,
    arrivals: EventWindow,
    retries: EventWindow,
}

impl RetryBudget {
    /// An unused budget. Without a rule it allows every retry.
    pub(crate) fn new(rule: Option<RetryBudgetRule>) -> Self {
        let recent = rule.map(|rule| RecentQueries {
            rule,
            arrivals: EventWindow::new(MergedTime::Earliest),
            retries: EventWindow::new(MergedTime::Latest),
        });
        RetryBudget {
            recent,
            pending_migrations: 0.0,
        }
    }

    /// Records that a query arrived.
    pub(crate) fn record_arrival(&mut self, now_ms: f64) {
        if let Some(recent) = &mut self.recent {
            let span_ms = recent.rule.span_ms;
            recent.arrivals.record(now_ms, 1.0, span_ms);
        }
    }

    /// Records that a retry is sent.
    pub(crate) fn record_retry(&mut self, now_ms: f64) {
        if let Some(recent) = &mut self.recent {
            let span_ms = recent.retry_span_ms();
            recent.retries.record(now_ms, 1.0, span_ms);
        }
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
        let Some(recent) = &mut self.recent else {
            return true;
        };
        recent.drop_expired(now_ms);
        let rule = recent.rule;
        let allowed = rule.free + rule.ratio * recent.arrivals.total();
        recent.retries.total() + pending + 1.0 <= allowed
    }

    /// The number of entries in both windows.
    #[cfg(test)]
    pub(crate) fn entries(&self) -> usize {
        let recent = self.recent.as_ref();
        recent.map_or(0, |recent| recent.arrivals.len() + recent.retries.len())
    }
}

impl RecentQueries {
    /// The time (ms) for which a retry counts: one that is recorded now may be sent up to one check interval later.
    fn retry_span_ms(&self) -> f64 {
        self.rule.span_ms + CHECK_INTERVAL_MS
    }

    fn drop_expired(&mut self, now_ms: f64) {
        let since_ms = now_ms - self.rule.span_ms;
        self.arrivals.drop_expired(|at_ms| at_ms <= since_ms);
        let retries_since_ms = since_ms - CHECK_INTERVAL_MS;
        self.retries.drop_expired(|at_ms| at_ms <= retries_since_ms);
    }
}
