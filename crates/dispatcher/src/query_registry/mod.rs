//! The one place where client side and engine side meet: the queries in flight, the events that wait for the next round
//! of the decisions, and the commands that wait for the engine side. No I/O.
//!
//! It owns each query from its admission until its answer was given and its last attempt has ended, and enforces two
//! rules whatever the decisions say: a query gets one answer, and no attempt of it begins after that. Start reading at
//! [`QueryRegistry::admit`], [`QueryRegistry::submit`] and [`QueryRegistry::answer`].

mod completed_ids;
mod guarding;
mod messages;
mod query;

pub use guarding::AttemptKey;
pub use messages::{ArrivedQuery, EndpointEntry, EngineCommand, Event};
pub use query::{Answer, AnswerSlot, Grant, Pages, Query, QueryRequest, RequestKeys};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::guard::Guard;
use crate::notify::Notify;
use crate::trace::{EventTrace, TraceEvent};
use completed_ids::CompletedIds;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tansymux::events::AttemptLimits;

/// Queries in flight at most: a bound on memory. What comes beyond is rejected at admission.
pub const MAX_QUERIES: usize = 4096;

/// Why a query was not admitted.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    /// A query with the same id is in flight.
    #[error("a query with this id is in flight")]
    InFlight,
    /// A query with the same id was submitted to an engine before: it may have had its effect.
    #[error("a query with this id was submitted before")]
    AlreadySubmitted,
    /// There are too many queries, or too many bytes of statements, in flight.
    #[error("too many queries or bytes of statements in flight")]
    Overloaded,
}

/// The queries in flight, and what waits to be decided and carried out.
pub struct QueryRegistry {
    /// Wakes the driver: an event waits.
    pub notify: Rc<Notify>,
    /// The program's counters.
    pub counters: Counters,
    /// No query has a deadline later than this (ms): the program ends then.
    latest_deadline_ms: Cell<f64>,
    /// By query id.
    queries: RefCell<FxHashMap<u64, Query>>,
    /// Query ids by the ids that clients gave.
    query_by_client_id: RefCell<FxHashMap<Rc<str>, u64>>,
    completed_ids: RefCell<CompletedIds>,
    last_query_id: Cell<u64>,
    /// Bytes of statements in flight, and their bound.
    statement_bytes: Cell<usize>,
    max_statement_bytes: usize,
    events: RefCell<VecDeque<Event>>,
    commands: RefCell<VecDeque<EngineCommand>>,
    guard: Guard,
    /// The last events of queries.
    pub trace: EventTrace,
}

impl QueryRegistry {
    /// An empty registry that holds statements of `max_statement_bytes` at most, in sum.
    pub fn new(max_statement_bytes: usize, guard: Guard, clock: Clock) -> Self {
        QueryRegistry {
            notify: Rc::default(),
            counters: Counters::default(),
            latest_deadline_ms: Cell::new(f64::INFINITY),
            queries: RefCell::default(),
            query_by_client_id: RefCell::default(),
            completed_ids: RefCell::default(),
            last_query_id: Cell::default(),
            statement_bytes: Cell::default(),
            max_statement_bytes,
            events: RefCell::default(),
            commands: RefCell::default(),
            guard,
            trace: EventTrace::new(clock),
        }
    }

    // ---- Client side ----

    /// Admits a query. Returns its query id, and where its answer will come.
    ///
    /// # Errors
    /// Its id is in flight or was used before, or the registry is full; nothing has changed then.
    pub fn admit(&self, request: &QueryRequest) -> Result<(u64, Rc<AnswerSlot>), AdmissionError> {
        if self.query_by_client_id.borrow().contains_key(request.id) {
            return Err(AdmissionError::InFlight);
        }
        if self.completed_ids.borrow().contains(request.id) {
            return Err(AdmissionError::AlreadySubmitted);
        }
        let statement_bytes = self.statement_bytes.get() + request.statement.len();
        if self.in_flight() >= MAX_QUERIES || statement_bytes > self.max_statement_bytes {
            return Err(AdmissionError::Overloaded);
        }
        self.statement_bytes.set(statement_bytes);
        let query_id = self.last_query_id.get() + 1;
        self.last_query_id.set(query_id);
        let id: Rc<str> = request.id.into();
        let slot = Rc::new(AnswerSlot::default());
        let mut query = Query::new(request, id.clone(), slot.clone());
        query.deadline_ms = query.deadline_ms.min(self.latest_deadline_ms.get());
        self.queries.borrow_mut().insert(query_id, query);
        self.query_by_client_id.borrow_mut().insert(id, query_id);
        self.counters.admitted.increment();
        self.guard.on_query_admitted(request.received_ms);
        self.trace.record(query_id, TraceEvent::Admitted);
        self.push_event(Event::QueryArrived(ArrivedQuery {
            query_id,
            tenant: request.tenant.into(),
            key: request.keys.ordering_number(),
            estimated_cost_ms: request.estimated_cost_ms,
            memory_mb: request.memory_mb,
            tables: request.tables,
            statement: request.traits,
        }));
        Ok((query_id, slot))
    }

    /// The client has left: no answer is owed, and none will be given.
    pub fn client_left(&self, query_id: u64) {
        if self.complete(query_id).is_some() {
            self.counters.client_disconnects.increment();
            self.trace.record(query_id, TraceEvent::ClientLeft);
            tracing::debug!(query_id, "client left");
            self.push_event(Event::ClientLeft { query_id });
        }
    }

    // ---- All sides ----

    /// Queues an event for the next round of the decisions, and wakes the driver.
    pub fn push_event(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        self.notify.notify();
    }

    /// Queries that have no answer yet, or an attempt in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.borrow().len()
    }

    /// Reads a query in flight; `None` where there is none of this id.
    pub fn with_query<T>(&self, query_id: u64, read: impl FnOnce(&Query) -> T) -> Option<T> {
        self.queries.borrow().get(&query_id).map(read)
    }

    // ---- Driver ----

    /// Cuts the deadlines of all queries, and of those still to come, to `latest_ms`.
    pub fn limit_deadlines(&self, latest_ms: f64) {
        self.latest_deadline_ms.set(latest_ms);
        for query in self.queries.borrow_mut().values_mut() {
            query.deadline_ms = query.deadline_ms.min(latest_ms);
        }
    }

    /// The oldest event that waits.
    pub fn next_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    /// The oldest command that waits.
    pub fn next_command(&self) -> Option<EngineCommand> {
        self.commands.borrow_mut().pop_front()
    }

    /// Gives a query its final answer. Returns false, and gives none, if one was given or none is owed.
    pub fn answer(&self, query_id: u64, answer: Answer) -> bool {
        let Some(slot) = self.complete(query_id) else {
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
        self.forget_if_over(query_id);
        true
    }

    /// Every end of a query passes here once, from whichever side. Its slot, if an answer was still owed. What waits to
    /// be written of it is withdrawn, whether or not the settings allow cancels.
    fn complete(&self, query_id: u64) -> Option<Rc<AnswerSlot>> {
        let mut queries = self.queries.borrow_mut();
        let query = queries.get_mut(&query_id)?;
        let slot = query.slot.take()?;
        if query.attempt_in_flight {
            self.push_command(EngineCommand::Withdraw { query_id });
        }
        Some(slot)
    }

    fn push_command(&self, command: EngineCommand) {
        self.commands.borrow_mut().push_back(command);
    }

    /// Whether the query's final answer was given, or none is owed.
    pub fn is_over(&self, query_id: u64) -> bool {
        let queries = self.queries.borrow();
        queries.get(&query_id).is_none_or(Query::is_over)
    }

    /// Starts an attempt. Refused, and logged as an error of this program, where the query is over or has an attempt
    /// in flight.
    pub fn submit(&self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        let mut queries = self.queries.borrow_mut();
        let query = queries
            .get_mut(&query_id)
            .filter(|query| !query.is_over() && !query.attempt_in_flight);
        let Some(query) = query else {
            tracing::error!(
                query_id,
                engine_id = %format_args!("{engine_id:08x}"),
                reason = "the query is over or has an attempt in flight",
                "attempt refused"
            );
            return;
        };
        let attempt = query.attempts;
        query.attempts += 1;
        query.attempt_in_flight = true;
        query.waited = false;
        query.engine_id = engine_id;
        self.counters.attempts.increment();
        self.trace
            .record_attempt(query_id, attempt, engine_id, TraceEvent::Submitted);
        tracing::debug!(
            query_id,
            attempt,
            engine_id = %format_args!("{engine_id:08x}"),
            "attempt submitted"
        );
        self.push_command(EngineCommand::Submit {
            query_id,
            attempt,
            engine_id,
            limits,
        });
    }

    /// The attempt in flight waits for a lock.
    pub fn record_wait(&self, query_id: u64) {
        if let Some(query) = self.queries.borrow_mut().get_mut(&query_id) {
            query.waited = true;
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

    /// Sets what the next attempts are granted; a new priority is sent to the engine of an attempt in flight.
    pub fn grant(&self, query_id: u64, grant: Grant) {
        let mut queries = self.queries.borrow_mut();
        let Some(query) = queries.get_mut(&query_id) else {
            return;
        };
        let priority = grant.priority;
        let before = query.grant.replace(grant);
        let is_new = before.is_some_and(|before| before.priority != priority);
        if query.attempt_in_flight && is_new {
            self.push_command(EngineCommand::SetPriority { query_id, priority });
        }
    }

    /// The end of the attempt in flight was delivered to the decisions.
    pub fn attempt_ended(&self, query_id: u64) {
        if let Some(query) = self.queries.borrow_mut().get_mut(&query_id) {
            query.attempt_in_flight = false;
        }
        self.forget_if_over(query_id);
    }

    /// Forgets a query that is over and has no attempt in flight. Its id is remembered if it ever had an attempt.
    pub fn forget_if_over(&self, query_id: u64) {
        let mut queries = self.queries.borrow_mut();
        let is_over = |query: &Query| query.is_over() && !query.attempt_in_flight;
        if !queries.get(&query_id).is_some_and(is_over) {
            return;
        }
        let Some(query) = queries.remove(&query_id) else {
            return;
        };
        self.query_by_client_id.borrow_mut().remove(&query.id);
        let statement_bytes = self.statement_bytes.get();
        self.statement_bytes
            .set(statement_bytes.saturating_sub(query.statement.len()));
        if query.attempts > 0 {
            self.completed_ids.borrow_mut().remember(query.id);
        }
    }
}

#[cfg(test)]
impl Default for QueryRegistry {
    fn default() -> Self {
        QueryRegistry::new(1 << 20, Guard::default(), Clock::start())
    }
}

#[cfg(test)]
mod tests;
