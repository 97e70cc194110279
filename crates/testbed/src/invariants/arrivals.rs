//! The checks when an attempt arrives at an engine.

use super::history::{Arrival, Attempt};
use super::{Checker, ClassRules, DedupScope, Effect};

/// Factor by which the retry budget is wider, in addition to one retry: on sockets, delays shift retries between spans.
const BUDGET_TOLERANCE: f64 = 1.15;

/// What the violation of two attempts at once says, before the engine of the other attempt.
pub const ANOTHER_ATTEMPT: &str = "while another attempt was out";

/// How long after its client left an attempt may still begin (ms; operators' page).
const AFTER_LEAVING_MS: f64 = 100.0;
/// How much more than the client's remaining time an engine may be given (ms; operators' page).
const DEADLINE_SLACK_MS: f64 = 150.0;

impl Checker<'_> {
    /// Records an attempt's arrival and checks all rules that apply to it.
    pub(super) fn on_arrival(&mut self, engine: &str, id: &str, work_ms: f64, at_ms: f64) {
        let known = self.engines.entry(engine.to_owned()).or_default();
        known.arrivals.push(Arrival { at_ms, work_ms });
        self.check_closed(engine, id, at_ms);
        self.check_warm_up(engine, at_ms);
        let Some(query) = self.queries.get(id) else {
            let description = format!("{engine} was sent {id}, which nobody asked");
            return self.add_violation(1, at_ms, description);
        };
        let left_ms = query.left_ms;
        let first_answer_ms = query.answered_ms.first().copied();
        let is_retry = !query.attempts.is_empty();
        let key = query.key.clone();
        if let Some(class) = self.class_of(id) {
            self.check_placement(engine, id, class, at_ms);
            if is_retry {
                self.check_retry(id, engine, class, at_ms);
            }
            if let Some(key) = key.filter(|_| class.in_order) {
                self.check_order(&key, id, is_retry, at_ms);
            }
        }
        if first_answer_ms.is_some_and(|answered_ms| at_ms > answered_ms + self.rules.slack_ms) {
            let description = format!("{id} was sent to {engine} after its answer");
            self.add_violation(1, at_ms, description);
        }
        self.check_client_present(engine, id, left_ms, at_ms);
        if is_retry {
            self.retries_ms.push(at_ms);
            self.check_retry_budget(at_ms);
        }
        if let Some(query) = self.queries.get_mut(id) {
            query.attempts.push(Attempt {
                engine: engine.to_owned(),
                arrived_ms: at_ms,
                end: None,
            });
        }
    }

    /// Rule 1: no attempt begins after the query's client left.
    fn check_client_present(&mut self, engine: &str, id: &str, left_ms: Option<f64>, at_ms: f64) {
        if left_ms.is_some_and(|left_ms| at_ms > left_ms + AFTER_LEAVING_MS + self.rules.slack_ms) {
            let since_ms = at_ms - left_ms.unwrap_or(at_ms);
            let description =
                format!("{id} was sent to {engine} {since_ms:.0} ms after its client left");
            self.add_violation(1, at_ms, description);
        }
    }

    /// Rule 1: the limit that an engine is given is at most the client's remaining time.
    pub(super) fn check_passed_deadline(
        &mut self,
        engine: &str,
        id: &str,
        limit_ms: f64,
        at_ms: f64,
    ) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let left_ms = query.asked_ms + query.max_wait_ms - at_ms;
        if limit_ms > left_ms.max(0.0) + DEADLINE_SLACK_MS + self.rules.slack_ms {
            let description =
                format!("{engine} was told {limit_ms:.0} ms for {id} with {left_ms:.0} ms left");
            self.add_violation(1, at_ms, description);
        }
    }

    /// Rule 3: nothing to a closed engine past the grace.
    fn check_closed(&mut self, engine: &str, id: &str, at_ms: f64) {
        let rules = self.rules;
        let closed_ms = self.engines.get(engine).and_then(|known| known.closed_ms);
        if let Some(closed_ms) =
            closed_ms.filter(|closed_ms| at_ms > closed_ms + rules.grace_ms + rules.slack_ms)
        {
            let since_ms = at_ms - closed_ms;
            let description =
                format!("{id} was sent to {engine}, which was closed {since_ms:.0} ms before");
            self.add_violation(3, at_ms, description);
        }
    }

    /// Rule 4: what all dispatchers together send to an engine that warms up, in any span. A single query never breaks it,
    /// however large its work is.
    fn check_warm_up(&mut self, engine: &str, at_ms: f64) {
        let (Some(rule), Some(known)) = (self.rules.warm_up, self.engines.get(engine)) else {
            return;
        };
        let Some(start) = known
            .start
            .filter(|start| at_ms - start.at_ms < rule.warm_after_ms)
        else {
            return;
        };
        let in_span = || {
            known
                .arrivals
                .iter()
                .filter(|arrival| arrival.at_ms > at_ms - rule.span_ms)
        };
        let sent_ms: f64 = in_span()
            .filter(|arrival| arrival.at_ms >= start.at_ms)
            .map(|arrival| arrival.work_ms)
            .sum();
        let is_single = in_span().count() < 2;
        let bearable_ms = rule.multiple * rule.initial_fraction * start.cores * rule.span_ms;
        if sent_ms > bearable_ms && !is_single {
            self.add_violation(
                4,
                at_ms,
                format!("{engine} is warming up and was sent {sent_ms:.0} ms of work in a span that bears {bearable_ms:.0}"),
            );
        }
    }

    /// Rule 6: the class may run in this zone and on this kind of engine.
    fn check_placement(&mut self, engine: &str, id: &str, class: &ClassRules, at_ms: f64) {
        let Some(known) = self.engines.get(engine) else {
            return;
        };
        let allows = |allowed: &Option<Vec<String>>, value: &String| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(value))
        };
        if !allows(&class.zones, &known.zone) || !allows(&class.kinds, &known.kind) {
            let class_name = self.queries.get(id).map_or("", |query| &query.class);
            let description = format!(
                "{id} of {class_name} was sent to {engine} in {}, a {}",
                known.zone, known.kind
            );
            self.add_violation(6, at_ms, description);
        }
    }

    /// Rule 2: a retry must be harmless.
    fn check_retry(&mut self, id: &str, engine: &str, class: &ClassRules, at_ms: f64) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let mut descriptions = Vec::new();
        if let Some(first) = query.first_that_may_have_run() {
            match class.effect {
                Effect::ReadOnly => {}
                Effect::NonIdempotent => descriptions.push(format!(
                    "{id} was sent to {engine} again though it may have run"
                )),
                Effect::IdempotencyKey => {
                    if !self.is_in_dedup_scope(class.dedup_scope, &first.engine, engine) {
                        descriptions.push(format!(
                            "{id} was sent to {engine} again, outside its dedup group"
                        ));
                    }
                    if at_ms - first.arrived_ms > class.dedup_window_ms + self.rules.slack_ms {
                        descriptions
                            .push(format!("{id} was sent to {engine} again, past its window"));
                    }
                }
            }
        }
        // Two attempts out at once are two effects at worst, whatever their ends say later; without an effect, they are a
        // copy that nobody allowed.
        if let Some(other) = query.open_attempt() {
            descriptions.push(format!(
                "{id} was sent to {engine} {ANOTHER_ATTEMPT} at {}",
                other.engine
            ));
        }
        for description in descriptions {
            self.add_violation(2, at_ms, description);
        }
    }

    /// Whether a retry at `engine` is recognised by its key as a repeat of what `first` was sent.
    fn is_in_dedup_scope(&self, scope: DedupScope, first: &str, engine: &str) -> bool {
        let first = self.engines.get(first);
        let engine = self.engines.get(engine);
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.map(|known| &known.zone) == engine.map(|known| &known.zone),
            DedupScope::Cell => first.map(|known| known.cell) == engine.map(|known| known.cell),
        }
    }

    /// Rule 5: only the first query of a key that is not over is sent, and a later one not before the key has rested.
    fn check_order(&mut self, key: &str, id: &str, is_retry: bool, at_ms: f64) {
        let Some(ids) = self.queries_by_key.get(key) else {
            return;
        };
        let mut description = None;
        for earlier_id in ids.iter().take_while(|earlier_id| *earlier_id != id) {
            let Some(earlier) = self.queries.get(earlier_id) else {
                continue;
            };
            let rested_ms = earlier
                .attempts
                .iter()
                .filter_map(|attempt| attempt.end.filter(|end| end.is_uncertain))
                .map(|end| end.at_ms + self.rules.cooldown_ms)
                .fold(f64::NEG_INFINITY, f64::max);
            if !earlier.is_over() || earlier.has_open_attempt() {
                description = Some(format!(
                    "{id} was sent before {earlier_id} of its key was over"
                ));
            } else if !is_retry && at_ms + self.rules.slack_ms < rested_ms {
                description = Some(format!(
                    "{id} was sent before its key had rested after {earlier_id}"
                ));
            }
        }
        if let Some(description) = description {
            self.add_violation(5, at_ms, description);
        }
    }

    /// Rule 7: retries in the span that ends now.
    fn check_retry_budget(&mut self, at_ms: f64) {
        let Some(budget) = self.rules.retry_budget else {
            return;
        };
        let count_in_span = |times_ms: &[f64]| {
            times_ms
                .iter()
                .rev()
                .take_while(|time_ms| **time_ms > at_ms - budget.span_ms)
                .count() as f64
        };
        let retries = count_in_span(&self.retries_ms);
        let asked = count_in_span(&self.asked_ms);
        let allowed = BUDGET_TOLERANCE * (budget.free + budget.query_fraction * asked) + 1.0;
        if retries > allowed {
            let description = format!("{retries} retries in a span that allows {allowed:.1}");
            self.add_violation(7, at_ms, description);
        }
    }
}
