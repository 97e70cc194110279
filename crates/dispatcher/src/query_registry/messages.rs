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
    /// Number of the engine, a hash of its name.
    pub engine_id: u64,
    /// Where the engine listens, if the list has it.
    pub address: Option<SocketAddr>,
    /// The name of its machine type.
    pub kind: String,
    /// The name of its zone.
    pub zone: String,
    /// Number of its cell.
    pub cell: u32,
    /// Whether the engine takes queries.
    pub state: EndpointState,
    /// When its process started (ms), if the list has it.
    pub started_ms: Option<f64>,
}

/// An admitted query, for the next round of the decisions.
#[derive(Debug, Clone)]
pub struct ArrivedQuery {
    /// The query's number in the registry, which is unique, unlike the id that the client chose.
    pub query_id: u64,
    /// The tenant by the settings' name; empty if the settings name no tenants.
    pub tenant: Rc<str>,
    /// The ordering key, if the client sent one.
    pub key: Option<u64>,
    /// Estimated thread time (ms); 0 without an estimate.
    pub estimated_cost_ms: f64,
    /// Estimated memory (MB); 0 without an estimate.
    pub memory_mb: f64,
    /// A number that identifies the set of tables that the query uses.
    pub tables: u32,
    /// Traits of the statement, from its analysis.
    pub statement: StatementTraits,
}

/// An event for the next round of the decisions.
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
        /// What ended it.
        cause: EndCause,
        /// The engine of the attempt.
        engine_id: u64,
        /// Time from submission to the end (ms).
        latency_ms: f64,
        /// The result of a completed attempt.
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
        /// `Completed` if the engine is healthy.
        outcome: Outcome,
    },
    /// The endpoint list, or a change of it.
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

/// A command of the decisions to the engine side.
#[derive(Debug, PartialEq)]
pub enum EngineCommand {
    /// Start an attempt.
    Submit {
        /// The query.
        query_id: u64,
        /// Which of the query's attempts, counted from 0.
        attempt: usize,
        /// The engine to which the attempt is sent.
        engine_id: u64,
        /// Its time limits.
        limits: AttemptLimits,
    },
    /// Withdraw the attempt of a query that is over, unless its request was written completely.
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
