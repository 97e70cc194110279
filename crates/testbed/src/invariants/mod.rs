//! Checks a run's record against the seven rules. The checker uses only the rules' parameters and the record, and is
//! independent of the dispatcher's implementation.
//!
//! 1. Each query gets one final answer, in time, and no attempt begins after it.
//! 2. No effect is applied twice, and no query that may have run is answered by a rejection, which invites a retry.
//! 3. No attempt is sent to an engine that is draining or gone, except within a grace period.
//! 4. An engine that is warming up is not sent more work than it sustains.
//! 5. Queries of one ordering key run in the order in which they were sent, and a key cools down after an attempt whose
//!    outcome is unknown.
//! 6. Each attempt runs in a zone and on a kind of engine that its class allows.
//! 7. Retries stay within their budget.
//!
//! Start reading at [`find_violations`].

mod arrivals;
mod history;
mod rules;
mod slow_start;
#[cfg(test)]
mod tests;

pub use arrivals::CONCURRENT_ATTEMPT;
pub use rules::{ClassRules, DedupScope, Effect, RetryBudget, Rules, Violation, WarmUpRule};
pub use slow_start::{find_slow_start_violations, sustainable_requests};

use crate::record::{Entry, EventKind, Status};
use history::{AttemptEnd, EngineHistory, EngineStart, QueryHistory};
use std::collections::BTreeMap;

/// Returns all violations in a record, by time. Entries must be ordered by time. A query whose deadline is after the
/// record's end needs no answer in it.
pub fn find_violations(entries: &[Entry], rules: &Rules) -> Vec<Violation> {
    let mut checker = Checker::new(rules);
    for entry in entries {
        checker.observe(entry);
    }
    checker.check_unanswered(entries.last().map_or(0.0, |entry| entry.at_ms));
    let mut violations = checker.violations;
    violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    violations
}

/// The state of a check: the history up to the current entry, and the violations in it.
struct Checker<'a> {
    rules: &'a Rules,
    queries: BTreeMap<String, QueryHistory>,
    engines: BTreeMap<String, EngineHistory>,
    /// The times at which clients sent queries.
    asked_ms: Vec<f64>,
    /// The times at which retries arrived at engines.
    retries_ms: Vec<f64>,
    /// For each ordering key, its queries in the order in which they were sent.
    queries_by_key: BTreeMap<String, Vec<String>>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn new(rules: &'a Rules) -> Self {
        Checker {
            rules,
            queries: BTreeMap::new(),
            engines: BTreeMap::new(),
            asked_ms: Vec::new(),
            retries_ms: Vec::new(),
            queries_by_key: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn add_violation(&mut self, rule: u8, at_ms: f64, description: impl Into<String>) {
        self.violations.push(Violation {
            rule,
            at_ms,
            description: description.into(),
        });
    }

    fn observe(&mut self, entry: &Entry) {
        let at_ms = entry.at_ms;
        match &entry.event {
            EventKind::Asked {
                id,
                class,
                max_wait_ms,
                key,
            } => self.on_query(id, class, *max_wait_ms, key.as_deref(), at_ms),
            EventKind::Answered { id, status, .. } => self.on_answer(id, *status, at_ms),
            EventKind::Left { .. }
            | EventKind::Excluded { .. }
            | EventKind::Lost { .. }
            | EventKind::WrongRows { .. }
            | EventKind::Told { .. }
            | EventKind::DispatcherFailed { .. }
            | EventKind::Stalled { .. } => self.observe_queries_and_dispatchers(entry),
            EventKind::Arrived {
                engine,
                id,
                work_ms,
            } => self.on_arrival(engine, id, *work_ms, at_ms),
            EventKind::Applied { engine, id } => self.on_effect_applied(engine, id, at_ms),
            EventKind::Ended {
                engine, id, ran, ..
            } => self.on_attempt_ended(engine, id, AttemptEnd::certain(at_ms, *ran)),
            EventKind::GivenUp { engine, id } => {
                self.on_attempt_ended(engine, id, AttemptEnd::uncertain(at_ms));
            }
            EventKind::Listed { .. } | EventKind::Started { .. } | EventKind::Fault { .. } => {
                self.observe_engine(entry);
            }
        }
    }

    /// Records a query that a client sent.
    fn on_query(&mut self, id: &str, class: &str, max_wait_ms: f64, key: Option<&str>, at_ms: f64) {
        self.asked_ms.push(at_ms);
        if let Some(key) = key {
            self.queries_by_key
                .entry(key.to_owned())
                .or_default()
                .push(id.to_owned());
        }
        let query = self.queries.entry(id.to_owned()).or_default();
        query.class = class.to_owned();
        query.asked_ms = at_ms;
        query.max_wait_ms = max_wait_ms;
        query.key = key.map(str::to_owned);
    }

    /// Records disconnected clients and excluded queries, and reports lost queries, wrong results, time limits that are
    /// too long and failures of dispatcher processes.
    fn observe_queries_and_dispatchers(&mut self, entry: &Entry) {
        let at_ms = entry.at_ms;
        match &entry.event {
            EventKind::Left { id } => {
                if let Some(query) = self.queries.get_mut(id) {
                    query.abandoned = true;
                    query.disconnected_ms = query.disconnected_ms.or(Some(at_ms));
                }
            }
            EventKind::Excluded { id } => {
                if let Some(query) = self.queries.get_mut(id) {
                    query.abandoned = true;
                }
            }
            EventKind::Lost { id, how } => {
                if let Some(query) = self.queries.get_mut(id) {
                    query.abandoned = true;
                }
                self.add_violation(1, at_ms, format!("{id} was lost: {how}"));
            }
            EventKind::WrongRows { id, rows } => {
                let description =
                    format!("the rows of the answer to {id} differ from its result: {rows}");
                self.add_violation(1, at_ms, description);
            }
            EventKind::Told {
                engine,
                id,
                limit_ms,
            } => self.check_time_limit(engine, id, *limit_ms, at_ms),
            EventKind::DispatcherFailed { dispatcher, how } => {
                self.add_violation(1, at_ms, format!("dispatcher {dispatcher} {how}"));
            }
            _ => {}
        }
    }

    fn observe_engine(&mut self, entry: &Entry) {
        match &entry.event {
            EventKind::Listed {
                engine,
                status,
                zone,
                kind,
                cell,
            } => {
                let engine_history = self.engines.entry(engine.clone()).or_default();
                engine_history.zone.clone_from(zone);
                engine_history.kind.clone_from(kind);
                engine_history.cell = *cell;
                engine_history.closed_ms = match status {
                    Status::Ready => None,
                    Status::Draining | Status::Gone => {
                        engine_history.closed_ms.or(Some(entry.at_ms))
                    }
                };
            }
            EventKind::Started { engine, cores } => {
                let start = EngineStart {
                    at_ms: entry.at_ms,
                    cores: *cores,
                };
                self.engines.entry(engine.clone()).or_default().start = Some(start);
            }
            _ => {}
        }
    }

    fn class_of(&self, query_id: &str) -> Option<&'a ClassRules> {
        let query = self.queries.get(query_id)?;
        self.rules.classes.get(&query.class)
    }

    fn effect_of(&self, query_id: &str) -> Option<Effect> {
        self.class_of(query_id).map(|class| class.effect)
    }

    /// Rule 1: one final answer, in time. Rule 2: a query with an effect that may have run is not rejected, because a
    /// rejection invites a retry.
    fn on_answer(&mut self, id: &str, status: u16, at_ms: f64) {
        let Some(query) = self.queries.get_mut(id) else {
            return self.add_violation(
                1,
                at_ms,
                format!("{id} was answered although no client sent it"),
            );
        };
        query.answered_ms.push(at_ms);
        let count = query.answered_ms.len();
        let late_ms = at_ms - query.asked_ms - query.max_wait_ms;
        let may_have_run = query.first_possible_execution().is_some();
        if count > 1 {
            self.add_violation(1, at_ms, format!("{id} was answered {count} times"));
        }
        if late_ms > self.rules.slack_ms.max(self.rules.late_answer_ms) {
            let description = format!("the answer to {id} came {late_ms:.0} ms late");
            self.add_violation(1, at_ms, description);
        }
        let rejected = matches!(status, 429 | 503);
        if rejected && may_have_run && self.effect_of(id) == Some(Effect::NonIdempotent) {
            let description = format!("{id} was rejected although an attempt may have run");
            self.add_violation(2, at_ms, description);
        }
    }

    /// Rule 2: no second effect. Only classes without an idempotency key are checked, as stand-in engines do not
    /// deduplicate by key.
    fn on_effect_applied(&mut self, engine: &str, id: &str, at_ms: f64) {
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        query.effects_applied += 1;
        if query.effects_applied > 1 && self.effect_of(id) == Some(Effect::NonIdempotent) {
            let description = format!("the effect of {id} was applied a second time, on {engine}");
            self.add_violation(2, at_ms, description);
        }
    }

    fn on_attempt_ended(&mut self, engine: &str, id: &str, end: AttemptEnd) {
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        let in_flight = query
            .attempts
            .iter_mut()
            .rev()
            .find(|attempt| attempt.engine == engine && attempt.end.is_none());
        if let Some(attempt) = in_flight {
            attempt.end = Some(end);
        }
    }

    /// Rule 1: at the record's end, all queries whose deadline has passed have an answer.
    fn check_unanswered(&mut self, end_ms: f64) {
        let mut unanswered = Vec::new();
        for (id, query) in &self.queries {
            let due_ms = query.asked_ms + query.max_wait_ms;
            if !query.is_finished()
                && end_ms > due_ms + self.rules.slack_ms.max(self.rules.late_answer_ms)
            {
                unanswered.push((id.clone(), due_ms));
            }
        }
        for (id, due_ms) in unanswered {
            self.add_violation(1, due_ms, format!("{id} was not answered"));
        }
    }
}
