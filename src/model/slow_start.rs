//! Slow start, rule 4: what may be sent to an engine that is warming up.

use crate::model::{Engine, ResourceGroup, LONG_AGO};
use crate::pcg::Pcg;
use crate::settings::{Settings, WarmUpRule};
use std::collections::VecDeque;

/// Fraction of the rule's budget that is used; the remainder is for dispatchers that restart within a span.
const BUDGET_FRACTION: f64 = 0.8;
/// Fraction of a budget below one query that the lottery spends on average.
const LOTTERY_FRACTION: f64 = 0.25;
/// Fraction of an engine's cores that counts as its capacity.
const CAPACITY_FRACTION: f64 = 0.85;

/// Rule 4 as this dispatcher applies it.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    rule: Option<WarmUpRule>,
    /// How many dispatchers share the budget.
    dispatchers: f64,
    /// When this dispatcher ran its first round (ms).
    first_round_ms: f64,
}

impl SlowStart {
    /// The rule of these settings, before the first round.
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
    /// A budget below one query admits one query a span by lottery; without it the engine would stay unused until it
    /// is warm.
    pub(crate) fn admits(&self, engine: &Engine, group: &ResourceGroup, now_ms: f64) -> bool {
        let Some(budget_ms) = self.budget_ms(engine, now_ms) else {
            return true;
        };
        let sent_ms = engine.warm_up.sent_ms();
        let usual_work_ms = group.usual_work_ms();
        let wins_lottery = engine.warm_up.lottery * usual_work_ms < LOTTERY_FRACTION * budget_ms;
        sent_ms + usual_work_ms <= budget_ms || sent_ms <= 0.0 && wins_lottery
    }

    /// Whether the rule limits what may be sent to an engine now.
    pub(crate) fn limits(&self, engine: &Engine, now_ms: f64) -> bool {
        self.budget_ms(engine, now_ms).is_some()
    }

    /// Whether an engine is not warm yet.
    pub(crate) fn is_warming_up(&self, engine: &Engine, now_ms: f64) -> bool {
        let warm_after_ms = self.rule.map_or(0.0, |rule| rule.warm_after_ms);
        now_ms - engine.endpoint.started_ms < warm_after_ms
    }

    /// The work (ms) that this dispatcher may send an engine within the span, while the rule limits it.
    fn budget_ms(&self, engine: &Engine, now_ms: f64) -> Option<f64> {
        let rule = self.rule?;
        let started_ms = engine.endpoint.started_ms;
        if now_ms - started_ms >= rule.warm_after_ms + rule.span_ms {
            return None;
        }
        let all_ms =
            rule.multiple * rule.initial_capacity * engine.cores * CAPACITY_FRACTION * rule.span_ms;
        // This dispatcher's previous process may have used its fraction in this span: only the remainder is left.
        let is_in_first_span = now_ms - self.first_round_ms < rule.span_ms;
        let mut fraction = BUDGET_FRACTION;
        if started_ms < self.first_round_ms && is_in_first_span {
            fraction = 1.0 - BUDGET_FRACTION;
        }
        Some(fraction * all_ms / self.dispatchers)
    }

    /// Forgets what was sent to an engine before the current span, and draws its lottery number for each new span.
    pub(crate) fn advance(&self, state: &mut WarmUpState, now_ms: f64, rng: &mut Pcg) {
        let span_ms = self.rule.map_or(0.0, |rule| rule.span_ms);
        state.advance(now_ms, span_ms, rng);
    }
}

/// What was sent to one engine while it warmed up.
#[derive(Debug, Clone)]
pub(crate) struct WarmUpState {
    sent: VecDeque<SentWork>,
    /// The lottery number of the span, from 0 to 1.
    lottery: f64,
    /// When the lottery number was drawn (ms).
    drawn_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct SentWork {
    sent_ms: f64,
    work_ms: f64,
}

impl Default for WarmUpState {
    fn default() -> Self {
        WarmUpState {
            sent: VecDeque::new(),
            lottery: 1.0,
            drawn_ms: LONG_AGO,
        }
    }
}

impl WarmUpState {
    /// Records work (ms) that is sent.
    pub(crate) fn record(&mut self, now_ms: f64, work_ms: f64) {
        let sent_ms = now_ms;
        self.sent.push_back(SentWork { sent_ms, work_ms });
    }

    /// The work (ms) that was sent within the span.
    fn sent_ms(&self) -> f64 {
        self.sent.iter().map(|sent| sent.work_ms).sum()
    }

    fn advance(&mut self, now_ms: f64, span_ms: f64, rng: &mut Pcg) {
        self.sent.retain(|sent| now_ms - sent.sent_ms <= span_ms);
        if now_ms - self.drawn_ms > span_ms {
            self.drawn_ms = now_ms;
            self.lottery = rng.next_unit();
        }
    }
}
