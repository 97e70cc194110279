//! Dispatch: every attempt passes here, and here the rules are kept.

use crate::events::{AttemptLimits, DecisionSink, EndReason};
use crate::model::{Control, EngineIndex, GroupIndex, Lane, QueryIndex};

const GENEROUS_GRANT: f64 = 2.0; // Times the memory needed, where what is not needed stays free.
const FAST_PRIORITY: u8 = 3; // Priorities of the lanes, where engines heed them (the platform's scale).
const LOW_PRIORITY: u8 = 1;

impl Control {
    /// Whether the rules let a query go to an engine now.
    pub(super) fn may_submit(&mut self, query: QueryIndex, engine: EngineIndex) -> bool {
        // Rule 7: the retry budget, also across zones; a service level may leave low work none.
        if self.queries[query].attempts.count() > 0 && !self.may_retry_on(query, engine) {
            return false;
        }
        let state = &self.queries[query];
        let group = state.group;
        !state.is_over // Rule 1: nothing after the final answer,
            && self.now_ms < state.deadline_ms // or once the client has left.
            && state.in_flight().is_none() // Rule 2: never two attempts at a time,
            && state.attempts.count() < self.settings.max_attempts // and no more than the settings allow.
            && self.engines[engine].endpoint.ready // Rule 3: nothing to an engine that drains or is gone.
            && self.may_repeat(query, Some(engine)) // Rule 2: an effect only once.
            && self.slow_start_admits(engine, group) // Rule 4: an engine that is warming up.
            && self.is_first_of_key(query) // Rule 5: the key's turn.
            && self.groups[group].may_use(&self.engines[engine]) // Rule 6: zones and kinds.
    }

    /// Rule 5: the first of its key, when earlier ones are over and the key has cooled down.
    pub(super) fn is_first_of_key(&self, index: QueryIndex) -> bool {
        let query = &self.queries[index];
        let Some(key) = query.key else {
            return true;
        };
        let is_cool = self.now_ms >= self.key_queues.cooldown_until_ms(key);
        self.key_queues.first(key) == Some(index) && (is_cool || query.attempts.count() > 0)
    }

    fn slow_start_admits(&self, engine: EngineIndex, group: GroupIndex) -> bool {
        let engine = &self.engines[engine];
        self.slow_start
            .admits(engine, &self.groups[group], self.now_ms)
    }

    pub(super) fn submit(
        &mut self,
        index: QueryIndex,
        engine: EngineIndex,
        out: &mut dyn DecisionSink,
    ) {
        if !self.may_submit(index, engine) {
            return self.finish(index, EndReason::NotAllowed, out);
        }
        let start_by_ms = self.start_by_ms(index);
        let reservation = self.reserve_zone_capacity(index, engine);
        let is_warming_up = self.slow_start.limits(&self.engines[engine], self.now_ms);
        let attempt = self.open_attempt(index, engine, reservation, is_warming_up);
        self.grant(index, attempt.memory_mb, out);
        let query = &self.queries[index];
        let limits = AttemptLimits {
            deadline_ms: query.deadline_ms,
            start_by_ms,
            side_effect_free: query.is_read_only(),
        };
        out.submit(query.id, self.engines[engine].engine_id, limits);
    }

    fn grant(&self, query: QueryIndex, memory_mb: f64, out: &mut dyn DecisionSink) {
        let features = self.settings.engine_features;
        let query = &self.queries[query];
        let is_low = query.lane == Lane::Low;
        let priority = if is_low { LOW_PRIORITY } else { FAST_PRIORITY };
        if features.pages_memory {
            let generous = (GENEROUS_GRANT * self.level.grant_factor).max(1.0);
            out.grant(query.id, priority, generous * memory_mb);
        } else if features.priorities {
            out.grant(query.id, priority, 0.0);
        }
    }
}
