//! Messages between the client side, the engine side and the driver.

use super::Pages;
use crate::attempt_end::EndCause;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::events::{
    AttemptLimits, EndpointListKind, EndpointState, NoteKind, Outcome, StatementTraits,
};

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Number of the engine, derived from its id in the endpoint list.
    pub engine_id: u64,
    /// Address of the engine, if the list contains it.
    pub address: Option<SocketAddr>,
    /// The name of its machine type.
    pub kind: String,
    /// The name of its zone.
    pub zone: String,
    /// Number of its cell.
    pub cell: u32,
    /// Whether the engine is ready, draining or gone.
    pub state: EndpointState,
    /// Time (ms) at which its process started, if the list contains it.
    pub started_ms: Option<f64>,
}

/// An admitted query, passed to the next round of the admission controller.
#[derive(Debug, Clone)]
pub struct ArrivedQuery {
    /// The query's number in the registry, which is unique, unlike the id that the client chose.
    pub query_id: u64,
    /// The tenant's name as in the settings; empty if the settings name no tenants.
    pub tenant: Rc<str>,
    /// The ordering key, if the client sent one.
    pub ordering_key: Option<u64>,
    /// Estimated thread time (ms); 0 without an estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB); 0 without an estimate.
    pub memory_mb: f64,
    /// A number that identifies the set of tables that the query uses.
    pub tables: u32,
    /// Traits of the statement, from its analysis.
    pub traits: StatementTraits,
}

/// An event for the next round of the admission controller.
#[derive(Debug, Clone)]
pub enum Event {
    /// A query was admitted.
    QueryArrived(ArrivedQuery),
    /// The client disconnected before its answer.
    ClientDisconnected {
        /// The query.
        query_id: u64,
    },
    /// An attempt completed, failed or was cancelled.
    AttemptEnded {
        /// The query.
        query_id: u64,
        /// Index of the attempt among the query's attempts, from 0.
        attempt: usize,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The cause of the outcome.
        cause: EndCause,
        /// The engine of the attempt.
        engine_id: u64,
        /// Time (ms) from the submission to the outcome.
        latency_ms: f64,
        /// The result of a completed attempt.
        pages: Pages,
    },
    /// An engine sent a progress note on a running attempt.
    ProgressReported {
        /// The query.
        query_id: u64,
        /// Index of the attempt among the query's attempts, from 0.
        attempt: usize,
        /// Kind of the note.
        kind: NoteKind,
        /// Amount, in the unit of the kind.
        amount: f64,
    },
    /// A health check succeeded or failed.
    HealthCheckEnded {
        /// The engine that was checked.
        engine_id: u64,
        /// The outcome: `Completed` if the engine is healthy.
        outcome: Outcome,
    },
    /// A new endpoint list, or a change to the current one.
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
        /// The message as received.
        content: Vec<u8>,
    },
}

/// A command from the admission controller to the engine side.
#[derive(Debug, PartialEq)]
pub enum EngineCommand {
    /// Start an attempt.
    Submit {
        /// The query.
        query_id: u64,
        /// Index of the attempt among the query's attempts, from 0.
        attempt: usize,
        /// The engine to which the attempt is sent.
        engine_id: u64,
        /// Its time limits.
        limits: AttemptLimits,
    },
    /// Withdraw the attempt of a query that is over. If the attempt's request is written completely, only keep no rows of
    /// its result.
    Withdraw {
        /// The query.
        query_id: u64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The query.
        query_id: u64,
        /// Index of the attempt among the query's attempts, from 0.
        attempt: usize,
    },
    /// Send the engine a new priority for the attempt in flight.
    SetPriority {
        /// The query.
        query_id: u64,
        /// The priority, on the engine's scale.
        priority: u8,
    },
    /// Check whether an engine answers.
    HealthCheck {
        /// The engine.
        engine_id: u64,
    },
}
