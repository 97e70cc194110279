//! Maps the words of the simulator's wire protocol to the terms of the admission controller. All other modules use the
//! names defined here.

use crate::error::LineError;
use tansymux::events::{EndpointListKind, EndpointState, NoteKind, Outcome};

/// First words of lines that are not events.
pub mod line {
    /// Begins a batch and gives its time.
    pub const BATCH: &str = "batch";
    /// Ends a batch.
    pub const END: &str = "end";
    /// Begins an endpoint list.
    pub const ENDPOINT_LIST: &str = "census";
    /// An entry of an endpoint list.
    pub const ENDPOINT: &str = "m";
    /// Ends the reply to a batch.
    pub const FINISHED: &str = "finished";
    /// Reports a panic of the admission controller.
    pub const FAULT: &str = "fault";
}

/// Names of fields, used in error messages.
pub mod field {
    /// Time of a batch (us).
    pub const CLOCK: &str = "clock";
    /// Number of a dispatcher.
    pub const DISPATCHER: &str = "dispatcher";
    /// Seed of a dispatcher.
    pub const SEED: &str = "nonce64";
    /// Settings of a dispatcher.
    pub const SETTINGS: &str = "profile-data";
    /// Kind of an endpoint list.
    pub const LIST_KIND: &str = "form";
    /// Revision of an endpoint list.
    pub const REVISION: &str = "rev";
    /// Slot of an endpoint list.
    pub const SLOT: &str = "slot";
    /// Number of entries of an endpoint list.
    pub const ENTRIES: &str = "entries";
    /// Kind of an engine.
    pub const ENGINE_KIND: &str = "family-type";
    /// Zone of an engine.
    pub const ZONE: &str = "rack-zone";
    /// State of an engine.
    pub const ENGINE_STATE: &str = "status";
    /// Start time of an engine (us).
    pub const STARTED_US: &str = "start-time-us";
    /// Cell of an engine.
    pub const CELL: &str = "pod";
    /// Id of an engine.
    pub const ENGINE_ID: &str = "node";
    /// Capacity of an engine. It is validated and otherwise ignored.
    pub const CAPACITY_HINT: &str = "capacity-hint";
    /// Id of a query.
    pub const QUERY_ID: &str = "txn";
    /// Resource group of a query.
    pub const GROUP: &str = "cls";
    /// Tenant of a query.
    pub const TENANT: &str = "account";
    /// Ordering key of a query.
    pub const KEY: &str = "object";
    /// Deadline of a query (us).
    pub const DEADLINE_US: &str = "due-us";
    /// Estimated cost of a query (us on one core).
    pub const COST_US: &str = "plan-cost-us";
    /// Estimated memory of a query (MB).
    pub const MEMORY_MB: &str = "est-memory-mb";
    /// Number that identifies the set of tables that a query uses.
    pub const TABLES: &str = "tables";
    /// Flags of a query.
    pub const FLAGS: &str = "flags";
    /// Whether the client already has the result.
    pub const ANSWER_DELIVERED: &str = "complete";
    /// Number of an attempt.
    pub const ATTEMPT: &str = "round-no";
    /// Resource usage of an attempt.
    pub const USED: &str = "bill";
    /// Outcome of an attempt or a health check.
    pub const OUTCOME: &str = "state-code";
    /// Latency of an attempt or a health check (us).
    pub const LATENCY_US: &str = "latency-us";
    /// Amount of a progress note.
    pub const AMOUNT: &str = "amount";
    /// Kind of a progress note.
    pub const NOTE_KIND: &str = "sort";
    /// Dispatcher that sent a message.
    pub const PEER: &str = "origin-peer";
    /// Content of a message.
    pub const CONTENT: &str = "content";
    /// Handle of a timer.
    pub const HANDLE: &str = "handle";
    /// Load report of an engine.
    pub const REPORT: &str = "report";
}

/// First words of actions in the reply.
pub mod action {
    /// Submits an attempt.
    pub const SUBMIT: &str = "try";
    /// Rejects a query.
    pub const REJECT: &str = "not_now";
    /// Fails a query.
    pub const FAIL: &str = "error";
    /// Cancels an attempt.
    pub const CANCEL: &str = "abort_attempt";
    /// Changes priority and memory grant of an attempt.
    pub const GRANT: &str = "allot";
    /// Checks an engine's health.
    pub const CHECK_HEALTH: &str = "sound_out";
    /// Sends a message to peers.
    pub const SEND_TO_PEER: &str = "share";
    /// Sets a timer.
    pub const SET_TIMER: &str = "notify_me";
    /// Requests endpoint lists.
    pub const WATCH_ENDPOINTS: &str = "track";
    /// Stands for all peers in [`SEND_TO_PEER`].
    pub const ALL_PEERS: &str = "all";
}

/// Text of a field without a value.
pub const NO_VALUE: &str = "-";
/// First word of an event that starts a dispatcher.
pub const START_EVENT: &str = "enlist";
/// First word of an event that stops a dispatcher.
pub const STOP_EVENT: &str = "power_off";
/// Kind of an update that reports a failed request for an endpoint list, and carries no list.
pub const FAILED_LIST: &str = "X";

/// The kind of an event, given by the first word of its line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A dispatcher starts.
    Start,
    /// An endpoint list was received, or a request for one failed.
    EndpointUpdate,
    /// A query arrives.
    QueryArrived,
    /// The first bytes of a result arrive.
    FirstBytes,
    /// A health check ends.
    HealthCheckEnded,
    /// The client of a query disconnects.
    ClientDisconnected,
    /// A dispatcher stops.
    Stop,
    /// A progress note for an attempt arrives.
    ProgressNote,
    /// A message from another dispatcher arrives.
    PeerMessage,
    /// A timer is due.
    TimerDue,
    /// An attempt ends.
    AttemptEnded,
}

impl EventKind {
    /// Parses the first word of an event line.
    pub fn parse(word: &str) -> Result<Self, LineError> {
        Ok(match word {
            START_EVENT => EventKind::Start,
            "update" => EventKind::EndpointUpdate,
            "inbound" => EventKind::QueryArrived,
            "first" => EventKind::FirstBytes,
            "ping_result" => EventKind::HealthCheckEnded,
            "vanished" => EventKind::ClientDisconnected,
            STOP_EVENT => EventKind::Stop,
            "status_note" => EventKind::ProgressNote,
            "peer" => EventKind::PeerMessage,
            "deadline_hit" => EventKind::TimerDue,
            "closed_attempt" => EventKind::AttemptEnded,
            other => return Err(LineError::unknown_token("event", other)),
        })
    }
}

/// Parses the kind of an endpoint list.
pub fn parse_list_kind(word: &str) -> Result<EndpointListKind, LineError> {
    match word {
        "D" => Ok(EndpointListKind::Delta),
        "F" => Ok(EndpointListKind::Snapshot),
        "C" => Ok(EndpointListKind::Cached),
        FAILED_LIST => Ok(EndpointListKind::Failed),
        other => Err(LineError::unknown_token("list form", other)),
    }
}

/// Parses the state of an endpoint.
pub fn parse_state(word: &str) -> Result<EndpointState, LineError> {
    match word {
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        other => Err(LineError::unknown_token("engine status", other)),
    }
}

/// Parses the outcome of an attempt or a health check.
pub fn parse_outcome(word: &str) -> Result<Outcome, LineError> {
    match word {
        "served" => Ok(Outcome::Completed),
        "server_error" => Ok(Outcome::Error),
        "turned_away" => Ok(Outcome::Full),
        "no_answer" => Ok(Outcome::Timeout),
        "no_connection" => Ok(Outcome::NoConnection),
        "connection_lost" => Ok(Outcome::Reset),
        "called_off" => Ok(Outcome::Cancelled),
        "not_sent" => Ok(Outcome::NotSent),
        other => Err(LineError::unknown_token("outcome", other)),
    }
}

/// Parses the kind of a progress note.
pub fn parse_note_kind(number: i32) -> Result<NoteKind, LineError> {
    match number {
        1 => Ok(NoteKind::Progress),
        2 => Ok(NoteKind::Spilling),
        3 => Ok(NoteKind::Waiting),
        number => Err(LineError::UnknownNoteKind { number }),
    }
}
