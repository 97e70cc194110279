//! The query registry connects the client side, the engine side and the admission controller. It owns the queries in
//! flight, the events for the controller's next round, and the commands for the engine side. It does no I/O.
//!
//! The registry owns each query from its admission until it is answered and no attempt is in flight. It enforces two
//! rules, whatever the controller requests: a query gets exactly one answer, and no attempt begins after the answer.
//! Start reading at [`QueryRegistry::admit`], [`QueryRegistry::submit`] and [`QueryRegistry::answer`].

mod answer_memory;
mod completed_ids;
mod guarding;
mod messages;
mod query;
mod query_table;

pub use answer_memory::AnswerMemory;
pub use guarding::{AttemptBegin, AttemptKey};
pub use messages::{ArrivedQuery, EndpointEntry, EngineCommand, Event};
pub use query::{
    AdmittedQuery, Answer, AnswerSlot, Grant, Pages, Query, QueryRequest, RequestKeys,
};
pub use query_table::AdmissionError;

use crate::attempt_end::EndCause;
use crate::client_presence::ClientHandle;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::guard::Guard;
use crate::ids::{AttemptId, EngineId};
use crate::notify::Notify;
use crate::trace::{EventTrace, TraceEvent};
use query_table::QueryTable;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tansymux::events::AttemptLimits;

/// The queries in flight, and the queues of events and commands.
pub struct QueryRegistry {
    /// Wakes the driver when an event is queued.
    pub notify: Rc<Notify>,
    /// The program's counters.
    pub counters: Counters,
    queries: QueryTable,
    events: RefCell<VecDeque<Event>>,
    commands: RefCell<VecDeque<EngineCommand>>,
    guard: Guard,
    /// The most recent trace events of queries and attempts.
    pub trace: EventTrace,
    /// The memory of results that wait to be written.
    pub answer_memory: Rc<AnswerMemory>,
}

/// Limits on the memory of queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryMemoryLimits {
    /// Maximum bytes of statements in flight.
    pub max_statement_bytes: usize,
    /// Maximum bytes of results that wait to be written.
    pub max_answer_bytes: usize,
}

impl QueryRegistry {
    /// An empty registry within `limits`.
    pub fn new(limits: QueryMemoryLimits, guard: Guard, clock: Clock) -> Self {
        QueryRegistry {
            notify: Rc::default(),
            counters: Counters::default(),
            queries: QueryTable::new(limits.max_statement_bytes),
            events: RefCell::default(),
            commands: RefCell::default(),
            guard,
            trace: EventTrace::new(clock),
            answer_memory: AnswerMemory::new(limits.max_answer_bytes),
        }
    }

    // ---- Client side ----

    /// Admits a query.
    ///
    /// # Errors
    /// The client is not known to be connected, a query with the same id is in flight or was submitted to an engine
    /// before, or the registry is full. The registry is then unchanged.
    pub fn admit(
        &self,
        request: &QueryRequest,
        client: ClientHandle,
    ) -> Result<AdmittedQuery, AdmissionError> {
        let admitted = self.queries.insert(request, client)?;
        let query_id = admitted.query_id;
        self.counters.admitted.increment();
        self.guard.on_query_admitted(request.received_ms);
        self.trace.record(query_id, TraceEvent::Admitted);
        self.push_event(Event::QueryArrived(ArrivedQuery {
            query_id,
            tenant: request.tenant.into(),
            ordering_key: request.keys.ordering_number(),
            estimated_cost_ms: request.estimated_cost_ms,
            memory_mb: request.memory_mb,
            tables: request.tables,
            traits: request.traits,
        }));
        Ok(admitted)
    }

    /// Records that the client has disconnected: no answer is owed any more, and none is written.
    pub fn client_disconnected(&self, query_id: u64) {
        if self.end_query(query_id).is_some() {
            self.counters.client_disconnects.increment();
            self.trace.record(query_id, TraceEvent::ClientLeft);
            tracing::debug!(query_id, "client left");
            self.push_event(Event::ClientDisconnected { query_id });
        }
    }

    // ---- All sides ----

    /// Queues an event for the next round of the admission controller, and wakes the driver.
    pub fn push_event(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        self.notify.notify();
    }

    /// Number of queries that are owed an answer or have an attempt in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// The id that the client chose for a query, by which clients and engines know it; `None` if it is not in flight.
    pub fn client_id(&self, query_id: u64) -> Option<Rc<str>> {
        self.with_query(query_id, |query| query.id.clone())
    }

    /// Reads a query; `None` if it is not in flight.
    pub fn with_query<T>(&self, query_id: u64, read: impl FnOnce(&Query) -> T) -> Option<T> {
        self.queries.with(query_id, read)
    }

    // ---- Driver ----

    /// Limits the deadlines of all queries, including those admitted later, to `latest_ms`.
    pub fn limit_deadlines(&self, latest_ms: f64) {
        self.queries.limit_deadlines(latest_ms);
    }

    /// Takes the oldest queued event.
    pub fn next_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    /// Takes the oldest queued command.
    pub fn next_command(&self) -> Option<EngineCommand> {
        self.commands.borrow_mut().pop_front()
    }

    /// Gives a query its result as the final answer. If the memory of results has no room for it, the query fails.
    /// Returns false, and changes nothing, if no answer is owed.
    pub fn complete(&self, query_id: u64, pages: Pages) -> bool {
        if self.is_over(query_id) {
            return false;
        }
        let Some(pages) = self.answer_memory.hold(pages) else {
            self.counters.results_without_memory.increment();
            tracing::warn!(query_id, "query failed: no memory for its result");
            return self.answer(query_id, Answer::Failed);
        };
        self.answer(query_id, Answer::Completed(pages))
    }

    /// Gives a query its final answer. Returns false, and changes nothing, if no answer is owed.
    pub fn answer(&self, query_id: u64, answer: Answer) -> bool {
        let Some(slot) = self.end_query(query_id) else {
            return false;
        };
        let (counter, outcome, status) = match answer {
            Answer::Completed(_) => (&self.counters.completed, "completed", 200),
            Answer::Rejected { .. } => (&self.counters.rejected, "rejected", 429),
            Answer::Failed => (&self.counters.failed, "failed", 500),
        };
        counter.increment();
        self.trace.record(query_id, TraceEvent::Answered(status));
        tracing::debug!(query_id, outcome, "query answered");
        slot.fill(answer);
        self.remove_if_over(query_id);
        true
    }

    /// Ends a query. Returns the slot for its answer, or `None` if no answer is owed.
    ///
    /// Every query ends here exactly once, whether it is answered or its client disconnects. An attempt whose request
    /// is not yet written completely is withdrawn, even if the settings forbid cancels.
    fn end_query(&self, query_id: u64) -> Option<Rc<AnswerSlot>> {
        let ended = self.queries.with_mut(query_id, |query| {
            let slot = query.slot.take()?;
            Some((slot, query.attempt_in_flight))
        });
        let (slot, attempt_in_flight) = ended.flatten()?;
        if attempt_in_flight {
            self.push_command(EngineCommand::Withdraw { query_id });
        }
        Some(slot)
    }

    fn push_command(&self, command: EngineCommand) {
        self.commands.borrow_mut().push_back(command);
    }

    /// Whether no answer is owed for the query: it is answered, or the client has disconnected.
    pub fn is_over(&self, query_id: u64) -> bool {
        let is_over = self.queries.with(query_id, Query::is_over);
        is_over.unwrap_or(true)
    }

    /// Starts an attempt. If the query is over or has an attempt in flight, the attempt is refused, and logged as an
    /// internal error.
    pub fn submit(&self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        let attempt = self
            .queries
            .with_mut(query_id, |query| query.begin_attempt(engine_id));
        let Some(attempt) = attempt.flatten() else {
            tracing::error!(
                query_id,
                engine_id = %EngineId(engine_id),
                reason = "the query is over or has an attempt in flight",
                "attempt refused"
            );
            return;
        };
        self.counters.attempts.increment();
        self.log_attempt_submitted(&AttemptKey {
            query_id,
            attempt,
            engine_id,
        });
        self.push_command(EngineCommand::Submit {
            query_id,
            attempt,
            engine_id,
            limits,
        });
    }

    /// Logs that an attempt was submitted. A retry is logged with the cause that ended the previous attempt.
    fn log_attempt_submitted(&self, key: &AttemptKey) {
        self.trace_attempt(key, TraceEvent::Submitted);
        let last_end = self.with_query(key.query_id, |query| query.last_end);
        let engine_id = EngineId(key.engine_id);
        let (query_id, attempt) = (key.query_id, key.attempt);
        let Some(after) = last_end.flatten() else {
            tracing::debug!(query_id, attempt, %engine_id, "attempt submitted");
            return;
        };
        self.counters.count_retry_after(after);
        let client_id = self.client_id(query_id);
        let client_id = client_id.as_deref();
        tracing::info!(query_id, client_id, attempt, %engine_id, %after, "retry submitted");
    }

    /// Whether `attempt` is in flight.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        let in_flight = self.with_query(attempt.query_id, Query::attempt_number_in_flight);
        in_flight.flatten() == Some(attempt.number)
    }

    /// Records that an attempt waits for a lock.
    pub fn record_wait(&self, attempt: AttemptId) {
        if self.is_in_flight(attempt) {
            self.queries
                .with_mut(attempt.query_id, |query| query.waited = true);
        }
    }

    /// Cancels an attempt.
    pub fn cancel(&self, query_id: u64, attempt: usize) {
        self.push_command(EngineCommand::Cancel { query_id, attempt });
    }

    /// Starts a health check of an engine.
    pub fn health_check(&self, engine_id: u64) {
        self.counters.health_checks.increment();
        self.push_command(EngineCommand::HealthCheck { engine_id });
    }

    /// Sets the grant of the query's next attempts. If an attempt is in flight, a changed priority is also sent to its
    /// engine.
    pub fn grant(&self, query_id: u64, grant: Grant) {
        let priority = grant.priority;
        let must_send_priority = self.queries.with_mut(query_id, |query| {
            let previous = query.grant.replace(grant);
            let is_changed = previous.is_some_and(|previous| previous.priority != priority);
            query.attempt_in_flight && is_changed
        });
        if must_send_priority == Some(true) {
            self.push_command(EngineCommand::SetPriority { query_id, priority });
        }
    }

    /// Records that the outcome of an attempt was delivered to the admission controller. Ignored unless the attempt is
    /// in flight.
    pub fn attempt_ended(&self, attempt: AttemptId, cause: EndCause) {
        if !self.is_in_flight(attempt) {
            return;
        }
        let query_id = attempt.query_id;
        self.queries.with_mut(query_id, |query| {
            query.attempt_in_flight = false;
            query.last_end = Some(cause);
        });
        self.remove_if_over(query_id);
    }

    /// Removes a query that is over and has no attempt in flight. If it ever had an attempt, its id is remembered.
    pub fn remove_if_over(&self, query_id: u64) {
        self.queries.remove_if_over(query_id);
    }
}

#[cfg(test)]
impl Default for QueryRegistry {
    fn default() -> Self {
        let limits = QueryMemoryLimits {
            max_statement_bytes: 1 << 20,
            max_answer_bytes: 1 << 20,
        };
        QueryRegistry::new(limits, Guard::default(), Clock::start())
    }
}

#[cfg(test)]
mod tests;
