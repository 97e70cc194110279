//! Slow start (rule 4), which limits the work that is sent to an engine while it is warming up.

use crate::model::event_window::{EventWindow, MergedTime};
use crate::model::{Engine, ResourceGroup, LONG_AGO};
use crate::pcg::Pcg;
use crate::settings::{Settings, WarmUpRule};

/// Fraction of its part of the rule's budget that a dispatcher uses. The remainder is kept for dispatchers that restart
/// within a span.
const BUDGET_FRACTION: f64 = 0.8;
/// Fraction of a budget below one query that random admission spends on average.
const RANDOM_ADMISSION_FRACTION: f64 = 0.25;
/// An engine's capacity, as a fraction of its cores.
const CAPACITY_FRACTION: f64 = 0.85;

/// Rule 4, as applied by this dispatcher.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    rule: Option<WarmUpRule>,
    /// Number of dispatchers that share the budget.
    dispatchers: f64,
    /// When this dispatcher ran its first round (ms); infinite before that round.
    first_round_ms: f64,
}

impl SlowStart {
    /// Slow start by the rule in the settings, before the first round.
    pub(crate) fn new(settings: &Settings) -> Self {
        SlowStart {
            rule: settings.warm_up,
            dispatchers: settings.dispatchers,
            first_round_ms: f64::INFINITY,
        }
    }

    /// Records that a round runs at `now_ms`.
    pub(crate) fn begin_round(&mut self, now_ms: f64) {
        self.first_round_ms = self.first_round_ms.min(now_ms);
    }

    /// Whether a query of this group may be sent to an engine.
    ///
    /// A budget below one query admits at most one query per span, at random. Without random admission the engine would
    /// stay unused until it is warm.
    pub(crate) fn admits(&self, engine: &Engine, group: &ResourceGroup, now_ms: f64) -> bool {
        let Some(budget_ms) = self.budget_ms(engine, now_ms) else {
            return true;
        };
        let sent_work_ms = engine.warm_up.sent.total();
        let usual_work_ms = group.usual_work_ms();
        let is_drawn =
            engine.warm_up.random_draw * usual_work_ms < RANDOM_ADMISSION_FRACTION * budget_ms;
        sent_work_ms + usual_work_ms <= budget_ms || sent_work_ms <= 0.0 && is_drawn
    }

    /// Records work (ms) that is being sent to an engine, if the rule currently limits it.
    pub(crate) fn record_sent(&self, engine: &mut Engine, work_ms: f64, now_ms: f64) {
        let Some(rule) = self.rule.filter(|_| self.limits(engine, now_ms)) else {
            return;
        };
        engine.warm_up.sent.record(now_ms, work_ms, rule.span_ms);
    }

    /// Whether the rule currently limits the work that may be sent to an engine.
    pub(crate) fn limits(&self, engine: &Engine, now_ms: f64) -> bool {
        self.budget_ms(engine, now_ms).is_some()
    }

    /// Whether an engine is not warm yet.
    pub(crate) fn is_warming_up(&self, engine: &Engine, now_ms: f64) -> bool {
        let warm_after_ms = self.rule.map_or(0.0, |rule| rule.warm_after_ms);
        now_ms - engine.endpoint.started_ms < warm_after_ms
    }

    /// The work (ms) that this dispatcher may send to an engine within the span; `None` if the rule does not limit it.
    ///
    /// The budget is a multiple of the engine's initial capacity, the lowest that it has while it is warming up.
    fn budget_ms(&self, engine: &Engine, now_ms: f64) -> Option<f64> {
        let rule = self.rule?;
        let started_ms = engine.endpoint.started_ms;
        if now_ms - started_ms >= rule.warm_after_ms + rule.span_ms {
            return None;
        }
        let total_budget_ms =
            rule.multiple * rule.initial_capacity * engine.cores * CAPACITY_FRACTION * rule.span_ms;
        // The previous process of this dispatcher may have used its fraction within this span, so only the remainder is
        // left.
        let is_in_first_span = now_ms - self.first_round_ms < rule.span_ms;
        let mut fraction = BUDGET_FRACTION;
        if started_ms < self.first_round_ms && is_in_first_span {
            fraction = 1.0 - BUDGET_FRACTION;
        }
        Some(fraction * total_budget_ms / self.dispatchers)
    }

    /// Drops work that was sent to an engine before the current span, and draws the engine's random number once per
    /// span.
    pub(crate) fn advance(&self, state: &mut WarmUpState, now_ms: f64, rng: &mut Pcg) {
        let span_ms = self.rule.map_or(0.0, |rule| rule.span_ms);
        state.advance(now_ms, span_ms, rng);
    }
}

/// The work that was sent to one engine while it was warming up, and its random number for admission.
#[derive(Debug, Clone)]
pub(crate) struct WarmUpState {
    /// Work (ms) that was sent within the span.
    sent: EventWindow,
    /// The random number of the span, from 0 to 1.
    random_draw: f64,
    /// When the random number was drawn (ms).
    drawn_ms: f64,
}

impl Default for WarmUpState {
    fn default() -> Self {
        WarmUpState {
            sent: EventWindow::new(MergedTime::Latest),
            random_draw: 1.0,
            drawn_ms: LONG_AGO,
        }
    }
}

impl WarmUpState {
    /// The number of entries for the work that was sent.
    #[cfg(test)]
    pub(crate) fn sent_entries(&self) -> usize {
        self.sent.len()
    }

    fn advance(&mut self, now_ms: f64, span_ms: f64, rng: &mut Pcg) {
        self.sent.drop_expired(|sent_ms| now_ms - sent_ms > span_ms);
        if now_ms - self.drawn_ms > span_ms {
            self.drawn_ms = now_ms;
            self.random_draw = rng.next_unit();
        }
    }
}
