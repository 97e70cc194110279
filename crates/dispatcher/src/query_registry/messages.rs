//! What the client side, the engine side and the driver pass to each other through the registry.

use super::Pages;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::{
    AttemptLimits, EndpointListKind, EndpointState, NoteKind, Outcome, StatementTraits,
};

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Number of the engine, by its name's hash.
    pub engine_id: u64,
    /// Where it listens, if the list has it.
    pub address: Option<SocketAddr>,
    /// Its machine type, by name.
    pub kind: String,
    /// Its zone, by name.
    pub zone: String,
    /// Number of its cell.
    pub cell: u32,
    /// Whether it takes queries.
    pub state: EndpointState,
    /// When its process started (ms), if the list has it.
    pub started_ms: Option<f64>,
}

/// A query that was admitted, as the next round of the decisions takes it.
#[derive(Debug, Clone)]
pub struct ArrivedQuery {
    /// Its query id: a number that the registry gives once, unlike the id that the client chose.
    pub query_id: u64,
    /// Its tenant by the settings' name; empty where the settings name none.
    pub tenant: Rc<str>,
    /// Its ordering key, where its client gave one.
    pub key: Option<u64>,
    /// Estimated thread time (ms); 0 where there is no estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB); 0 where there is no estimate.
    pub memory_mb: f64,
    /// The set of tables that it uses, as a number.
    pub tables: u32,
    /// What its text showed.
    pub statement: StatementTraits,
}

/// What came in since the last round of the decisions.
#[derive(Debug, Clone)]
pub enum Event {
    /// A query was admitted.
    QueryArrived(ArrivedQuery),
    /// The client left before its answer.
    ClientLeft {
        /// The query.
        query_id: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The query.
        query_id: u64,
        /// Which of the query's attempts, counted from 0.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// The engine that it went to.
        engine_id: u64,
        /// From submission to the end (ms).
        latency_ms: f64,
        /// Its result, where it completed.
        pages: Pages,
    },
    /// An engine sent a progress note on a running attempt.
    ProgressReported {
        /// The query.
        query_id: u64,
        /// Which of the query's attempts, counted from 0.
        attempt: usize,
        /// What the note is about.
        kind: NoteKind,
        /// Its amount, in the unit of its kind.
        amount: f64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The engine that was checked.
        engine_id: u64,
        /// `Completed` where it answered.
        outcome: Outcome,
    },
    /// The endpoint list, or what changed of it.
    EndpointList {
        /// Whether it is a full list or a change.
        kind: EndpointListKind,
        /// Its entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Number of the sender.
        peer: u32,
        /// Its bytes as they came.
        content: Vec<u8>,
    },
}

/// What was decided, for the engine side to carry out.
#[derive(Debug, PartialEq)]
pub enum EngineCommand {
    /// Start an attempt.
    Submit {
        /// The query.
        query_id: u64,
        /// Which of the query's attempts, counted from 0.
        attempt: usize,
        /// The engine that it goes to.
        engine_id: u64,
        /// Its time limits.
        limits: AttemptLimits,
    },
    /// The query is over: what of it was not yet written to an engine must not be.
    Withdraw {
        /// The query.
        query_id: u64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The query.
        query_id: u64,
        /// Which of the query's attempts, counted from 0.
        attempt: usize,
    },
    /// Tell the engine the new priority of the attempt in flight.
    SetPriority {
        /// The query.
        query_id: u64,
        /// Its priority on the engine's scale.
        priority: u8,
    },
    /// Check whether an engine answers.
    HealthCheck {
        /// The engine.
        engine_id: u64,
    },
}
