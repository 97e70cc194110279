//! A query in the registry: its request, the state of its attempts, and the slot for its answer.

use super::answer_memory::HeldPages;
use crate::attempt_end::EndCause;
use crate::client_presence::ClientHandle;
use crate::ids::ConnectionId;
use crate::notify::Notify;
use crate::statement_shape::StatementShape;
use std::cell::RefCell;
use std::rc::Rc;
use tansymux::events::StatementTraits;

/// The pages of a result: each holds rows in JSON.
pub type Pages = Vec<Vec<u8>>;

/// The final answer of a query, which gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// The query completed.
    Completed(HeldPages),
    /// The query was rejected: it did not run, or can safely run again. The client may retry.
    Rejected {
        /// Time (ms) that the client should wait before it retries.
        retry_after_ms: f64,
    },
    /// The query failed, and the client must not retry it unchanged.
    Failed,
}

/// A slot through which the task of a client connection receives a query's answer.
#[derive(Default)]
pub struct AnswerSlot {
    filled: Notify,
    answer: RefCell<Option<Answer>>,
}

impl AnswerSlot {
    /// Takes the answer, if there is one.
    pub fn take(&self) -> Option<Answer> {
        self.answer.borrow_mut().take()
    }

    /// Waits for the answer and takes it.
    pub async fn answered(&self) -> Answer {
        loop {
            if let Some(answer) = self.take() {
                return answer;
            }
            self.filled.notified().await;
        }
    }

    /// Stores the answer and wakes the connection's task.
    pub(super) fn fill(&self, answer: Answer) {
        *self.answer.borrow_mut() = Some(answer);
        self.filled.notify();
    }
}

/// The optional keys of a request, as hex digits.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestKeys<'a> {
    /// Idempotency key, by which engines detect duplicates.
    pub idempotency_key: Option<&'a str>,
    /// Ordering key: queries with the same key run one at a time.
    pub ordering_key: Option<&'a str>,
}

impl RequestKeys<'_> {
    /// The ordering key as a number.
    pub(super) fn ordering_number(&self) -> Option<u64> {
        let key = self.ordering_key?;
        u64::from_str_radix(key, 16).ok()
    }
}

/// A query as parsed by the client side. Times are milliseconds on the program's clock.
pub struct QueryRequest<'a> {
    /// The id that the client chose: 16 hex digits.
    pub id: &'a str,
    /// Name of its resource group.
    pub resource_group: &'a str,
    /// The tenant's name as in the settings; empty if the settings name no tenants.
    pub tenant: &'a str,
    /// Its SQL text.
    pub statement: &'a [u8],
    /// Time at which the last byte of the request arrived.
    pub received_ms: f64,
    /// Time by which the query must be answered.
    pub deadline_ms: f64,
    /// Estimated thread time (ms); 0 without an estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB); 0 without an estimate.
    pub memory_mb: f64,
    /// A number that identifies the set of tables that the query uses.
    pub tables: u32,
    /// Traits of the statement, from its analysis.
    pub traits: StatementTraits,
    /// The statement's shape, if it was analysed.
    pub shape: Option<StatementShape>,
    /// The optional keys of the request.
    pub keys: RequestKeys<'a>,
}

/// A query that was admitted to the registry.
pub struct AdmittedQuery {
    /// The query's number in the registry.
    pub query_id: u64,
    /// The slot for its answer.
    pub slot: Rc<AnswerSlot>,
}

/// The resources that an engine may use for the attempts of a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Priority on the engine's scale.
    pub priority: u8,
    /// Memory (MB); 0 leaves the choice to the engine.
    pub memory_mb: f64,
}

/// A query in flight. Times are milliseconds on the program's clock.
pub struct Query {
    /// The id that the client chose.
    pub id: Rc<str>,
    /// Name of its resource group.
    pub resource_group: Rc<str>,
    /// The connection of its client.
    pub client: ClientHandle,
    /// Its SQL text.
    pub statement: Rc<[u8]>,
    /// Its idempotency key, if the client sent one.
    pub idempotency_key: Option<Rc<str>>,
    /// Its ordering key, if the client sent one.
    pub ordering_key: Option<Rc<str>>,
    /// Time at which the last byte of the request arrived.
    pub received_ms: f64,
    /// Estimated thread time (ms); 0 without an estimate.
    pub estimated_cost_ms: f64,
    /// Time by which the query must be answered.
    pub deadline_ms: f64,
    /// The grant of the next attempts, once the admission controller has set it.
    pub grant: Option<Grant>,
    /// The statement's shape, if it was analysed.
    pub shape: Option<StatementShape>,
    /// Whether the attempt in flight, or else the last attempt, waited for a lock.
    pub waited: bool,
    /// The engine of the last attempt.
    pub engine_id: u64,
    /// The connections that have carried its attempts, at most one per attempt.
    pub used_connections: Vec<ConnectionId>,
    /// Number of attempts so far.
    pub(super) attempts: usize,
    /// Whether an attempt is in flight, or its outcome was not yet delivered to the admission controller.
    pub(super) attempt_in_flight: bool,
    /// The cause that ended the most recent completed, failed or cancelled attempt.
    pub(super) last_end: Option<EndCause>,
    /// The slot for the answer; `None` once the query is answered or the client has disconnected.
    pub(super) slot: Option<Rc<AnswerSlot>>,
}

impl Query {
    pub(super) fn new(
        request: &QueryRequest,
        id: Rc<str>,
        client: ClientHandle,
        slot: Rc<AnswerSlot>,
    ) -> Self {
        Query {
            id,
            client,
            resource_group: request.resource_group.into(),
            statement: request.statement.into(),
            idempotency_key: request.keys.idempotency_key.map(Rc::from),
            ordering_key: request.keys.ordering_key.map(Rc::from),
            received_ms: request.received_ms,
            estimated_cost_ms: request.estimated_cost_ms,
            deadline_ms: request.deadline_ms,
            grant: None,
            shape: request.shape,
            waited: false,
            engine_id: 0,
            used_connections: Vec::new(),
            attempts: 0,
            attempt_in_flight: false,
            last_end: None,
            slot: Some(slot),
        }
    }

    /// Begins an attempt on an engine and returns its index; `None` if the query is over or has an attempt in flight.
    pub(super) fn begin_attempt(&mut self, engine_id: u64) -> Option<usize> {
        if self.is_over() || self.attempt_in_flight {
            return None;
        }
        let attempt = self.attempts;
        self.attempts += 1;
        self.attempt_in_flight = true;
        self.waited = false;
        self.engine_id = engine_id;
        Some(attempt)
    }

    /// The index of the attempt in flight, if there is one.
    pub(super) fn attempt_number_in_flight(&self) -> Option<usize> {
        let last_attempt = self.attempts.checked_sub(1)?;
        self.attempt_in_flight.then_some(last_attempt)
    }

    /// Whether no answer is owed: the query is answered, or the client has disconnected.
    pub(super) fn is_over(&self) -> bool {
        self.slot.is_none()
    }
}
