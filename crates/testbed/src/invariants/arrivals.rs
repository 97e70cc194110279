//! The checks of an attempt's arrival at an engine.

use super::history::{Arrival, Attempt};
use super::{Checker, ClassRules, DedupScope, Effect};

/// Factor by which retries may exceed the budget, in addition to one retry: socket delays can move retries from one
/// span to the next.
const RETRY_BUDGET_TOLERANCE: f64 = 1.15;

/// Text in the description of a violation by two concurrent attempts. The engine of the earlier attempt follows it, as
/// ` at ENGINE`.
pub const CONCURRENT_ATTEMPT: &str = "while another attempt was in flight";

/// Time after a client's disconnection within which an attempt may still begin (ms; set by the operators).
const DISCONNECT_GRACE_MS: f64 = 100.0;
/// Time by which an engine's time limit may exceed the client's remaining time (ms; set by the operators).
const DEADLINE_SLACK_MS: f64 = 150.0;

impl Checker<'_> {
    /// Records an attempt's arrival and checks all rules that apply to it.
    pub(super) fn on_arrival(&mut self, engine: &str, id: &str, work_ms: f64, at_ms: f64) {
        let engine_history = self.engines.entry(engine.to_owned()).or_default();
        engine_history.arrivals.push(Arrival { at_ms, work_ms });
        self.check_closed(engine, id, at_ms);
        self.check_warm_up(engine, at_ms);
        let Some(query) = self.queries.get(id) else {
            let description = format!("{engine} was sent {id} although no client sent it");
            return self.add_violation(1, at_ms, description);
        };
        let disconnected_ms = query.disconnected_ms;
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
        self.check_client_connected(engine, id, disconnected_ms, at_ms);
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

    /// Rule 1: no attempt begins after the query's client disconnected.
    fn check_client_connected(
        &mut self,
        engine: &str,
        id: &str,
        disconnected_ms: Option<f64>,
        at_ms: f64,
    ) {
        if disconnected_ms.is_some_and(|disconnected_ms| {
            at_ms > disconnected_ms + DISCONNECT_GRACE_MS + self.rules.slack_ms
        }) {
            let since_ms = at_ms - disconnected_ms.unwrap_or(at_ms);
            let description =
                format!("{id} was sent to {engine} {since_ms:.0} ms after its client disconnected");
            self.add_violation(1, at_ms, description);
        }
    }

    /// Rule 1: an engine's time limit for a query is at most the client's remaining time.
    pub(super) fn check_time_limit(&mut self, engine: &str, id: &str, limit_ms: f64, at_ms: f64) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let remaining_ms = query.asked_ms + query.max_wait_ms - at_ms;
        if limit_ms > remaining_ms.max(0.0) + DEADLINE_SLACK_MS + self.rules.slack_ms {
            let description = format!(
                "{engine} was given {limit_ms:.0} ms for {id} with {remaining_ms:.0} ms left"
            );
            self.add_violation(1, at_ms, description);
        }
    }

    /// Rule 3: no attempt is sent to an engine later than the grace period after it was listed as draining or gone.
    fn check_closed(&mut self, engine: &str, id: &str, at_ms: f64) {
        let rules = self.rules;
        let closed_ms = self
            .engines
            .get(engine)
            .and_then(|engine_history| engine_history.closed_ms);
        if let Some(closed_ms) =
            closed_ms.filter(|closed_ms| at_ms > closed_ms + rules.grace_ms + rules.slack_ms)
        {
            let since_ms = at_ms - closed_ms;
            let description = format!(
                "{id} was sent to {engine}, which had been draining or gone for {since_ms:.0} ms"
            );
            self.add_violation(3, at_ms, description);
        }
    }

    /// Rule 4: the work that all dispatchers together send to an engine that is warming up is bounded in every span. A
    /// single query in a span never violates the rule, however large its work is.
    fn check_warm_up(&mut self, engine: &str, at_ms: f64) {
        let (Some(rule), Some(engine_history)) = (self.rules.warm_up, self.engines.get(engine))
        else {
            return;
        };
        let Some(start) = engine_history
            .start
            .filter(|start| at_ms - start.at_ms < rule.warm_after_ms)
        else {
            return;
        };
        let in_span = || {
            engine_history
                .arrivals
                .iter()
                .filter(|arrival| arrival.at_ms > at_ms - rule.span_ms)
        };
        let sent_ms: f64 = in_span()
            .filter(|arrival| arrival.at_ms >= start.at_ms)
            .map(|arrival| arrival.work_ms)
            .sum();
        let is_single = in_span().count() < 2;
        let sustainable_ms = rule.multiple * rule.initial_fraction * start.cores * rule.span_ms;
        if sent_ms > sustainable_ms && !is_single {
            self.add_violation(
                4,
                at_ms,
                format!("{engine} is warming up and was sent {sent_ms:.0} ms of work in a span in which it sustains {sustainable_ms:.0} ms"),
            );
        }
    }

    /// Rule 6: the query's class may run in the engine's zone and on its kind.
    fn check_placement(&mut self, engine: &str, id: &str, class: &ClassRules, at_ms: f64) {
        let Some(engine_history) = self.engines.get(engine) else {
            return;
        };
        let allows = |allowed: &Option<Vec<String>>, value: &String| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(value))
        };
        if !allows(&class.zones, &engine_history.zone)
            || !allows(&class.kinds, &engine_history.kind)
        {
            let class_name = self.queries.get(id).map_or("", |query| &query.class);
            let description = format!(
                "{id} of class {class_name} was sent to {engine} in zone {} of kind {}, where the class may not run",
                engine_history.zone, engine_history.kind
            );
            self.add_violation(6, at_ms, description);
        }
    }

    /// Rule 2: a retry cannot apply an effect twice, and no two attempts of a query are in flight at once.
    fn check_retry(&mut self, id: &str, engine: &str, class: &ClassRules, at_ms: f64) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let mut descriptions = Vec::new();
        if let Some(first) = query.first_possible_execution() {
            match class.effect {
                Effect::ReadOnly => {}
                Effect::NonIdempotent => descriptions.push(format!(
                    "{id} was sent to {engine} again although it may have run"
                )),
                Effect::IdempotencyKey => {
                    if !self.is_in_dedup_scope(class.dedup_scope, &first.engine, engine) {
                        descriptions.push(format!(
                            "{id} was sent to {engine} again, outside its dedup scope"
                        ));
                    }
                    if at_ms - first.arrived_ms > class.dedup_window_ms + self.rules.slack_ms {
                        descriptions.push(format!(
                            "{id} was sent to {engine} again, after its dedup window"
                        ));
                    }
                }
            }
        }
        // Two concurrent attempts may apply two effects, whatever they report later. A read-only query has no effect,
        // but the second attempt is an extra copy, which the rules forbid.
        if let Some(other) = query.attempt_in_flight() {
            descriptions.push(format!(
                "{id} was sent to {engine} {CONCURRENT_ATTEMPT} at {}",
                other.engine
            ));
        }
        for description in descriptions {
            self.add_violation(2, at_ms, description);
        }
    }

    /// Whether `engine` recognises by the idempotency key that the query was sent to `first` before.
    fn is_in_dedup_scope(&self, scope: DedupScope, first: &str, engine: &str) -> bool {
        let first = self.engines.get(first);
        let engine = self.engines.get(engine);
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => {
                first.map(|engine_history| &engine_history.zone)
                    == engine.map(|engine_history| &engine_history.zone)
            }
            DedupScope::Cell => {
                first.map(|engine_history| engine_history.cell)
                    == engine.map(|engine_history| engine_history.cell)
            }
        }
    }

    /// Rule 5: of the unfinished queries of an ordering key only the first is sent. A later query's first attempt
    /// additionally waits for the key's cooldown.
    fn check_order(&mut self, key: &str, id: &str, is_retry: bool, at_ms: f64) {
        let Some(ids) = self.queries_by_key.get(key) else {
            return;
        };
        let mut description = None;
        for earlier_id in ids.iter().take_while(|earlier_id| *earlier_id != id) {
            let Some(earlier) = self.queries.get(earlier_id) else {
                continue;
            };
            let cooled_down_ms = earlier
                .attempts
                .iter()
                .filter_map(|attempt| attempt.end.filter(|end| end.is_uncertain))
                .map(|end| end.at_ms + self.rules.cooldown_ms)
                .fold(f64::NEG_INFINITY, f64::max);
            if !earlier.is_finished() || earlier.has_attempt_in_flight() {
                description = Some(format!(
                    "{id} was sent before {earlier_id} of the same key had finished"
                ));
            } else if !is_retry && at_ms + self.rules.slack_ms < cooled_down_ms {
                description = Some(format!(
                    "{id} was sent before its key had cooled down after {earlier_id}"
                ));
            }
        }
        if let Some(description) = description {
            self.add_violation(5, at_ms, description);
        }
    }

    /// Rule 7: the retries in the span that ends at `at_ms` stay within the budget.
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
        let allowed = RETRY_BUDGET_TOLERANCE * (budget.free + budget.query_fraction * asked) + 1.0;
        if retries > allowed {
            let description = format!("{retries} retries in a span that allows {allowed:.1}");
            self.add_violation(7, at_ms, description);
        }
    }
}
