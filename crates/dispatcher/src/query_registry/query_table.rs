//! The queries in flight, indexed by their numbers and by the ids that clients chose, with limits on memory.

use super::completed_ids::CompletedIds;
use super::query::{AdmittedQuery, AnswerSlot, Query, QueryRequest};
use crate::client_presence::{ClientHandle, ClientPresence};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Maximum number of queries in flight: a bound on memory. Beyond it, queries are not admitted.
const MAX_QUERIES: usize = 4096;

/// Why a query was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// A query with the same id is in flight.
    #[error("a query with this id is in flight")]
    InFlight,
    /// A query with the same id was submitted to an engine before, and may have had its effect.
    #[error("a query with this id was submitted before")]
    AlreadySubmitted,
    /// The client has disconnected.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The client may have disconnected behind bytes that are not read.
    #[error("the client may have disconnected behind unread bytes")]
    ClientUnknown,
    /// Too many queries, or too many bytes of statements, are in flight.
    #[error("too many queries or bytes of statements in flight")]
    Overloaded,
}

/// The queries in flight.
pub(super) struct QueryTable {
    /// Upper limit (ms) of all deadlines: infinite until the program shuts down.
    latest_deadline_ms: Cell<f64>,
    queries: RefCell<FxHashMap<u64, Query>>,
    /// Numbers of the queries, by the ids that clients chose.
    query_by_client_id: RefCell<FxHashMap<Rc<str>, u64>>,
    completed_ids: RefCell<CompletedIds>,
    last_query_id: Cell<u64>,
    /// Total size of the statements in flight (bytes).
    statement_bytes: Cell<usize>,
    max_statement_bytes: usize,
}

impl QueryTable {
    /// An empty table that holds at most `max_statement_bytes` of statements in total.
    pub fn new(max_statement_bytes: usize) -> Self {
        QueryTable {
            latest_deadline_ms: Cell::new(f64::INFINITY),
            queries: RefCell::default(),
            query_by_client_id: RefCell::default(),
            completed_ids: RefCell::default(),
            last_query_id: Cell::default(),
            statement_bytes: Cell::default(),
            max_statement_bytes,
        }
    }

    /// Adds a query.
    ///
    /// # Errors
    /// The client is not known to be connected, a query with the same id is in flight or was submitted to an engine
    /// before, or the table is full. The table is then unchanged.
    pub fn insert(
        &self,
        request: &QueryRequest,
        client: ClientHandle,
    ) -> Result<AdmittedQuery, AdmissionError> {
        match client.presence() {
            ClientPresence::Connected => {}
            ClientPresence::Unknown => return Err(AdmissionError::ClientUnknown),
            ClientPresence::Disconnected => return Err(AdmissionError::ClientDisconnected),
        }
        if self.query_by_client_id.borrow().contains_key(request.id) {
            return Err(AdmissionError::InFlight);
        }
        if self.completed_ids.borrow().contains(request.id) {
            return Err(AdmissionError::AlreadySubmitted);
        }
        let statement_bytes = self.statement_bytes.get() + request.statement.len();
        if self.len() >= MAX_QUERIES || statement_bytes > self.max_statement_bytes {
            return Err(AdmissionError::Overloaded);
        }
        self.statement_bytes.set(statement_bytes);
        let query_id = self.last_query_id.get() + 1;
        self.last_query_id.set(query_id);
        let id: Rc<str> = request.id.into();
        let slot = Rc::new(AnswerSlot::default());
        let mut query = Query::new(request, id.clone(), client, slot.clone());
        query.deadline_ms = query.deadline_ms.min(self.latest_deadline_ms.get());
        self.queries.borrow_mut().insert(query_id, query);
        self.query_by_client_id.borrow_mut().insert(id, query_id);
        Ok(AdmittedQuery { query_id, slot })
    }

    /// Number of queries in flight.
    pub fn len(&self) -> usize {
        self.queries.borrow().len()
    }

    /// Number of queries that are owed an answer.
    pub fn unanswered(&self) -> usize {
        let queries = self.queries.borrow();
        queries.values().filter(|query| !query.is_over()).count()
    }

    /// Reads a query; `None` if it is not in flight.
    pub fn with<T>(&self, query_id: u64, read: impl FnOnce(&Query) -> T) -> Option<T> {
        self.queries.borrow().get(&query_id).map(read)
    }

    /// Changes a query; `None` if it is not in flight.
    pub fn with_mut<T>(&self, query_id: u64, change: impl FnOnce(&mut Query) -> T) -> Option<T> {
        self.queries.borrow_mut().get_mut(&query_id).map(change)
    }

    /// Limits the deadlines of all queries, including those admitted later, to `latest_ms`.
    pub fn limit_deadlines(&self, latest_ms: f64) {
        self.latest_deadline_ms.set(latest_ms);
        for query in self.queries.borrow_mut().values_mut() {
            query.deadline_ms = query.deadline_ms.min(latest_ms);
        }
    }

    /// Removes a query that is over and has no attempt in flight. If it ever had an attempt, its id is remembered.
    pub fn remove_if_over(&self, query_id: u64) {
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

    /// Remembers an id as that of a query that was submitted and is over.
    #[cfg(test)]
    pub fn remember_completed(&self, id: Rc<str>) {
        self.completed_ids.borrow_mut().remember(id);
    }
}
