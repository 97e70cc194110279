//! Dispatch: checks each attempt of a query against rules 1 to 7 and submits it.
//!
//! Uses the resource groups, the retry budget, slow start, the key queues, the zone plan, the load and health of
//! engines, the peer load and the service level.

use crate::control::Control;
use crate::events::{AttemptLimits, DecisionSink, EndReason};
use crate::model::{Attempt, EngineIndex, GroupIndex, Lane, QueryIndex, TableLock};
use crate::settings::Effect;

/// Memory grant as a multiple of the needed memory, for engines on which unused grants cost nothing.
const AMPLE_GRANT_FACTOR: f64 = 2.0;
/// Priority weight of the fast lane on the platform's scale, for engines that support priorities.
const FAST_PRIORITY: u8 = 3;
/// Priority weight of the low lane.
const LOW_PRIORITY: u8 = 1;

impl Control {
    /// Returns whether rules 1 to 7 allow an attempt of a query on an engine now.
    pub(super) fn may_submit(&mut self, query: QueryIndex, engine: EngineIndex) -> bool {
        // Rule 7: retry budgets, in total and across zones. A service level may withhold retries of low work.
        if self.queries[query].attempts.count() > 0 && !self.may_retry_on(query, engine) {
            return false;
        }
        let state = &self.queries[query];
        let group = state.group;
        !state.is_over // Rule 1: no attempt after the final answer or after the client has disconnected.
            && self.now_ms < state.deadline_ms // Rule 1: no attempt after the deadline.
            && state.in_flight().is_none() // Rule 2: at most one attempt in flight.
            && state.attempts.count() < self.settings.max_attempts // Rule 2: no more attempts than the settings allow.
            && self.engines[engine].endpoint.ready // Rule 3: no attempt on an engine that is draining or gone.
            && self.may_repeat(query, Some(engine)) // Rule 2: an effect takes place at most once.
            && self.slow_start_admits(engine, group) // Rule 4: slow start of an engine that is warming up.
            && self.is_first_of_key(query) // Rule 5: queries of an ordering key run one at a time, in order.
            && self.groups[group].may_use(&self.engines[engine]) // Rule 6: the group's zones and kinds of engines.
    }

    /// Returns the time by which a new attempt must have started (ms): the deadline (rule 1), or for a retry with an
    /// idempotency key the end of the dedup window if that is earlier (rule 2).
    fn start_by_ms(&self, query: QueryIndex) -> f64 {
        let query = &self.queries[query];
        let window_ms = self.group_of(query).settings.dedup_window_ms;
        match query.first_attempt_that_may_have_run() {
            Some(first) if query.effect == Effect::IdempotencyKey => {
                query.deadline_ms.min(first.sent_ms + window_ms)
            }
            _ => query.deadline_ms,
        }
    }

    /// Rule 2: returns whether a query may run again, on `engine` or, if `engine` is `None`, on any engine that a retry
    /// by its client or a migration may reach.
    pub(super) fn may_repeat(&self, query: QueryIndex, engine: Option<EngineIndex>) -> bool {
        let query = &self.queries[query];
        let group = self.group_of(query);
        let Some(first) = query.first_attempt_that_may_have_run() else {
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

    /// Rule 4: returns whether slow start admits a query of this group to an engine.
    fn slow_start_admits(&self, engine: EngineIndex, group: GroupIndex) -> bool {
        let engine = &self.engines[engine];
        self.slow_start
            .admits(engine, &self.groups[group], self.now_ms)
    }

    /// Rule 5: returns whether a query is the first in its ordering key's queue and, before its first attempt, the key
    /// has cooled down.
    pub(super) fn is_first_of_key(&self, index: QueryIndex) -> bool {
        let query = &self.queries[index];
        let Some(key) = query.key else {
            return true;
        };
        let has_cooled_down = self.key_queues.has_cooled_down(key, self.now_ms);
        self.key_queues.first(key) == Some(index) && (has_cooled_down || query.attempts.count() > 0)
    }

    /// Rule 7: returns whether a retry of a query may be sent to an engine.
    fn may_retry_on(&mut self, query: QueryIndex, engine: EngineIndex) -> bool {
        !self.is_retry_withheld(query)
            && self.may_cross_zones(query, engine)
            && self.retry_budget.allows_retry(self.now_ms)
    }

    /// Rule 7: returns whether a query's attempt may be cancelled and the query sent to another engine.
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

    /// Returns whether the zone plan allows a retry on an engine, which may be in another zone than the last attempt.
    fn may_cross_zones(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let zone = self.engines[engine].zone;
        self.zone_plan.allows_retry(self.last_zone(query), zone)
    }

    fn last_zone(&self, query: QueryIndex) -> Option<u32> {
        let last = self.queries[query].attempts.all().last()?;
        Some(self.engines[last.engine].zone)
    }

    /// Submits a query to an engine, or ends the query if the rules no longer allow the attempt.
    pub(super) fn submit(
        &mut self,
        index: QueryIndex,
        engine: EngineIndex,
        out: &mut dyn DecisionSink,
    ) {
        if !self.may_submit(index, engine) {
            return self.reject_or_fail(index, EndReason::NotAllowed, out);
        }
        let start_by_ms = self.start_by_ms(index);
        let memory_mb = self.record_attempt(index, engine);
        self.grant(index, memory_mb, out);
        let query = &self.queries[index];
        let limits = AttemptLimits {
            deadline_ms: query.deadline_ms,
            start_by_ms,
            side_effect_free: query.is_read_only(),
        };
        out.submit(query.id, self.engines[engine].engine_id, limits);
    }

    /// Records a new attempt in all components, and returns the memory that it needs (MB).
    fn record_attempt(&mut self, index: QueryIndex, engine_index: EngineIndex) -> f64 {
        let demand = self.zone_plan.is_active().then(|| self.demand_of(index));
        let location = self.location_of(engine_index);
        let last_zone = self.last_zone(index);
        let query = &mut self.queries[index];
        let group = &self.groups[query.group];
        let engine = &mut self.engines[engine_index];
        if query.attempts.count() > 0 {
            self.retry_budget.record_retry(self.now_ms);
        }
        self.slow_start
            .record_sent(engine, group.usual_work_ms(), self.now_ms);
        let memory_mb = group.memory_mb(query.cost);
        let mut attempt = Attempt::new(engine_index, self.now_ms, query.cost.work_ms, memory_mb);
        if let Some(demand) = demand {
            attempt.reservation = self
                .zone_plan
                .reserve(&demand, location, last_zone, self.now_ms);
        }
        attempt.is_trial = engine.health.begin_attempt(self.now_ms);
        let lock = group.settings.is_load.then_some(TableLock {
            tables: query.tables,
            until_ms: query.deadline_ms,
        });
        engine.load.add(&attempt, query.lane, group.threads(), lock);
        query.attempts.push(attempt);
        if query.lane == Lane::Low {
            self.peer_load.record_change();
        }
        memory_mb
    }

    /// Sets the priority weight and memory grant of the query's next attempt, if engines support them.
    fn grant(&self, query: QueryIndex, memory_mb: f64, out: &mut dyn DecisionSink) {
        let features = self.settings.engine_features;
        let query = &self.queries[query];
        let priority = match query.lane {
            Lane::Fast => FAST_PRIORITY,
            Lane::Low => LOW_PRIORITY,
        };
        if features.pages_memory {
            let factor = (AMPLE_GRANT_FACTOR * self.level.grant_factor).max(1.0);
            out.grant(query.id, priority, factor * memory_mb);
        } else if features.priorities {
            out.grant(query.id, priority, 0.0);
        }
    }
}
