//! The registry's interface to the guard: before an attempt begins, passes the state of its query to the guard, and
//! records refusals and violations.

use super::{Query, QueryRegistry};
use crate::guard::{AttemptFacts, BeginPermit, BeginRefusal, EndpointFacts, QueryFacts, Violation};
use crate::ids::{ConnectionId, EngineId};
use crate::trace::TraceEvent;
use tansymux::events::EndReason;

/// Maximum number of trace events that are printed when an invariant is violated.
const MAX_TRACE_LINES: usize = 64;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptKey {
    /// The query.
    pub query_id: u64,
    /// Index of the attempt among the query's attempts, from 0.
    pub attempt: usize,
    /// The engine.
    pub engine_id: u64,
}

/// An attempt that is about to begin. Times are milliseconds on the program's clock.
#[derive(Debug, Clone, Copy)]
pub struct AttemptBegin {
    /// The connection that carries the attempt.
    pub connection: ConnectionId,
    /// Time at which the attempt is abandoned.
    pub deadline_ms: f64,
    /// Time before which the attempt must begin.
    pub start_by_ms: f64,
}

impl QueryRegistry {
    /// Returns the permit to write the first byte of an attempt's request now.
    ///
    /// # Errors
    /// The attempt may not begin: see [`Guard::may_begin`](crate::guard::Guard::may_begin).
    pub fn may_begin(
        &self,
        key: &AttemptKey,
        begin: &AttemptBegin,
        endpoint: Option<EndpointFacts>,
        now_ms: f64,
    ) -> Result<BeginPermit, BeginRefusal> {
        let check_facts = |query: Option<QueryFacts>| {
            let facts = AttemptFacts {
                query,
                attempt: key.attempt,
                deadline_ms: begin.deadline_ms,
                start_by_ms: begin.start_by_ms,
                endpoint,
            };
            self.guard.may_begin(&facts, now_ms)
        };
        let check_query = |query: &Query| {
            check_facts(Some(QueryFacts {
                is_over: query.is_over(),
                attempt_in_flight: query.attempt_number_in_flight(),
                is_connection_used: query.used_connections.contains(&begin.connection),
                client: query.client.presence(),
                resource_group: &query.resource_group,
            }))
        };
        let permit = self.queries.with(key.query_id, check_query);
        permit.unwrap_or_else(|| check_facts(None))
    }

    /// Records that the first byte of an attempt's request was written on a connection.
    pub fn on_attempt_begun(&self, key: &AttemptKey, connection: ConnectionId, now_ms: f64) {
        self.guard.on_attempt_begun(key.attempt, now_ms);
        self.queries.with_mut(key.query_id, |query| {
            query.used_connections.push(connection);
        });
        let connection = connection.0 as u32;
        self.trace_attempt(key, TraceEvent::Begun { connection });
    }

    /// Records that the guard refused an attempt: counts it by reason, ends the query of a client that has disconnected,
    /// and reports a violation if the rest of the program should not have requested the attempt.
    pub fn on_begin_refused(&self, key: &AttemptKey, refusal: BeginRefusal) {
        self.counters.count_begin_refusal(refusal);
        self.trace_attempt(key, TraceEvent::NotBegun(refusal));
        tracing::info!(
            query_id = key.query_id,
            attempt = key.attempt,
            engine_id = %EngineId(key.engine_id),
            reason = %refusal,
            "attempt not begun"
        );
        if refusal == BeginRefusal::ClientDisconnected {
            self.client_disconnected(key.query_id);
        }
        if let Some(rule) = refusal.violated_rule() {
            let violation = Violation {
                rule,
                description: "an attempt that may not begin was submitted to its connection",
            };
            self.report_violation(violation, Some(key.query_id));
        }
    }

    /// Records an event of an attempt.
    pub fn trace_attempt(&self, key: &AttemptKey, event: TraceEvent) {
        self.trace
            .record_attempt(key.query_id, key.attempt, key.engine_id, event);
    }

    /// Records that the admission controller ends a query without a result.
    pub fn on_end_reason(&self, query_id: u64, reason: EndReason) {
        if self.is_over(query_id) {
            return;
        }
        self.counters.count_end_reason(reason);
        self.trace.record(query_id, TraceEvent::Ends(reason));
        tracing::debug!(
            query_id,
            reason = reason.name(),
            "query ended without a result"
        );
    }

    /// Checks that the process may exit.
    ///
    /// # Errors
    /// Some queries are still owed an answer.
    pub fn may_end(&self) -> Result<(), Violation> {
        self.guard.may_end(self.queries.unanswered())
    }

    /// Counts and logs a violation; a debug build panics.
    pub fn report_violation(&self, violation: Violation, query_id: Option<u64>) {
        self.counters.count_violation(violation.rule);
        tracing::error!(
            rule = violation.rule.number(),
            query_id,
            reason = violation.description,
            "invariant violated"
        );
        for line in self.trace.lines(query_id, MAX_TRACE_LINES) {
            eprintln!("trace: {line}");
        }
        debug_assert!(false, "{violation}, query {query_id:?}");
    }
}
