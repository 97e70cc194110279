//! Retries and migrations: whether a query may run again, until when, and within which budget.

use crate::model::{Control, EngineIndex, Lane, QueryIndex};
use crate::settings::Effect;

impl Control {
    /// Rule 7: whether a retry may go to an engine.
    pub(super) fn may_retry_on(&mut self, query: QueryIndex, engine: EngineIndex) -> bool {
        !self.is_retry_withheld(query)
            && !self.lacks_cross_zone_retry(query, engine)
            && self.retry_budget.allows_retry(self.now_ms)
    }

    /// Whether an attempt may be cancelled to run elsewhere.
    pub(super) fn may_migrate(&mut self, query: QueryIndex) -> bool {
        !self.is_retry_withheld(query)
            && self.settings.capabilities.cancellation
            && self.queries[query].attempts.count() < self.settings.max_attempts
            && self.retry_budget.allows_migration(self.now_ms)
            && self.may_repeat(query, None)
    }

    fn is_retry_withheld(&self, query: QueryIndex) -> bool {
        self.level.withhold_low_retries && self.queries[query].lane == Lane::Low
    }

    /// Rule 2: whether the query may run again, on `engine` or, without one, by its client after a rejection.
    pub(super) fn may_repeat(&self, query: QueryIndex, engine: Option<EngineIndex>) -> bool {
        let group = self.group_of(query);
        let query = &self.queries[query];
        let Some(first) = query.first_that_ran() else {
            return true;
        };
        let first_engine = &self.engines[first.engine];
        let engine = engine.map(|engine| &self.engines[engine]);
        let is_in_window = self.now_ms - first.sent_ms < group.settings.dedup_window_ms;
        match query.effect {
            Effect::ReadOnly => true,
            Effect::IdempotencyKey => is_in_window && group.shares_dedup(first_engine, engine),
            Effect::NonIdempotent => false,
        }
    }

    /// Rules 1 and 2: by when an attempt has to be out. One that relies on an idempotency key: within its
    /// window; all: before the client leaves.
    pub(super) fn start_by_ms(&self, query: QueryIndex) -> f64 {
        let window_ms = self.group_of(query).settings.dedup_window_ms;
        let query = &self.queries[query];
        match query.first_that_ran() {
            Some(first) if query.effect == Effect::IdempotencyKey => {
                query.deadline_ms.min(first.sent_ms + window_ms)
            }
            _ => query.deadline_ms,
        }
    }
}
