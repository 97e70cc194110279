//! Slow start, rule 4: what may be sent to an engine that is warming up.

use crate::model::{Control, EngineIndex, GroupIndex};

const BUDGET_FRACTION: f64 = 0.8; // Of what the rule allows all; the rest is for dispatchers that restart.
const LOTTERY_FRACTION: f64 = 0.25; // Of a budget below one query, handed out by lottery on average.
const CAPACITY_FRACTION: f64 = 0.85; // Of an engine's cores; counts as its capacity.

impl Control {
    /// Whether slow start lets a query of this group go to an engine. A budget below one query goes to one
    /// query a span by lottery: otherwise nobody would use the engine until it is warm.
    pub(super) fn slow_start_admits(&self, engine: EngineIndex, group: GroupIndex) -> bool {
        let Some(budget_ms) = self.warm_up_budget_ms(engine) else {
            return true;
        };
        let slow_start = &self.engines[engine].slow_start;
        let sent_ms = slow_start.sent_ms();
        let usual_work_ms = self.groups[group].usual_work_ms();
        let wins_lottery = slow_start.lottery * usual_work_ms < LOTTERY_FRACTION * budget_ms;
        sent_ms + usual_work_ms <= budget_ms || sent_ms <= 0.0 && wins_lottery
    }

    /// The work (ms) that this dispatcher may send within the rule's span, if the engine is warming up.
    pub(super) fn warm_up_budget_ms(&self, engine: EngineIndex) -> Option<f64> {
        let rule = self.settings.warm_up?;
        let engine = &self.engines[engine];
        let started_ms = engine.endpoint.started_ms;
        if self.now_ms - started_ms >= rule.warm_after_ms + rule.span_ms {
            return None;
        }
        let all_ms =
            rule.multiple * rule.initial_capacity * engine.cores * CAPACITY_FRACTION * rule.span_ms;
        // One that died in this dispatcher's place may have sent its share in this span: the rest is left.
        let is_in_first_span = self.now_ms - self.first_round_ms < rule.span_ms;
        let mut fraction = BUDGET_FRACTION;
        if started_ms < self.first_round_ms && is_in_first_span {
            fraction = 1.0 - BUDGET_FRACTION;
        }
        Some(fraction * all_ms / self.settings.dispatchers)
    }
}
