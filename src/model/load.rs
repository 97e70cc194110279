//! Sums and predicates over what is in flight.

use crate::events::DecisionSink;
use crate::model::{Control, EngineIndex, QueryIndex};

impl Control {
    /// Whether an engine is in this dispatcher's zone.
    pub(crate) fn is_local(&self, engine: EngineIndex) -> bool {
        Some(self.engines[engine].zone) == self.local_zone
    }

    /// The work a core (ms) that an engine would have with a query.
    pub(crate) fn weight(&self, query: QueryIndex, engine: EngineIndex) -> f64 {
        let work_ms = self.queries[query].cost.work_ms;
        let peer_thread_ms = self.low_lane.mean_work_per_thread_ms();
        self.engines[engine].work_per_core_ms(work_ms, peer_thread_ms)
    }

    /// Low threads that the concurrency limit leaves this dispatcher on an engine; negative where it is exceeded.
    pub(crate) fn headroom(&self, engine: EngineIndex) -> f64 {
        let engine = &self.engines[engine];
        let limit = self.level.concurrency_factor * engine.limit.threads_per_core;
        engine.headroom(limit * engine.cores * self.pool_share())
    }

    /// The same on all ready engines.
    pub(crate) fn pool_headroom(&self) -> f64 {
        let is_ready = |&engine: &EngineIndex| self.engines[engine].endpoint.ready;
        let ready = self.engine_indices().filter(is_ready);
        ready.map(|engine| self.headroom(engine)).sum()
    }

    /// Whether a load on an engine locks tables that a query needs.
    pub(crate) fn is_locked_out(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let tables = self.queries[query].tables;
        let needs_tables = self.group_of(query).needs_unlocked_tables();
        needs_tables && self.engines[engine].load.has_lock(tables, self.now_ms)
    }

    /// Whether this dispatcher has low attempts in flight.
    pub(crate) fn has_low_attempts(&self) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.load.low_attempts > 0)
    }

    /// Cancels the attempt of a query that is in flight, where the platform allows that, and once only.
    pub(crate) fn cancel_in_flight(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        let query = &mut self.queries[query];
        let Some(number) = query.in_flight() else {
            return;
        };
        if self.settings.capabilities.cancellation && query.attempts.set_cancelled(number) {
            out.cancel(query.id, number);
        }
    }
}
