//! The words of the wire, as enums.

use crate::error::LineError;
use tansymux::events::{EndpointListKind, EndpointState, NoteKind, Outcome};

/// What an event line is about: its first word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// An instance starts.
    Enlist,
    /// An endpoint list, or word that none comes.
    Update,
    /// A query.
    Inbound,
    /// An answer has begun.
    First,
    /// A health check ended.
    PingResult,
    /// A query's client left.
    Vanished,
    /// An instance stops.
    PowerOff,
    /// A note on an attempt.
    StatusNote,
    /// A message from another dispatcher.
    Peer,
    /// A timer is due.
    DeadlineHit,
    /// An attempt ended.
    ClosedAttempt,
}

impl EventKind {
    /// The event that a word stands for.
    pub fn parse(word: &str) -> Result<Self, LineError> {
        Ok(match word {
            "enlist" => EventKind::Enlist,
            "update" => EventKind::Update,
            "inbound" => EventKind::Inbound,
            "first" => EventKind::First,
            "ping_result" => EventKind::PingResult,
            "vanished" => EventKind::Vanished,
            "power_off" => EventKind::PowerOff,
            "status_note" => EventKind::StatusNote,
            "peer" => EventKind::Peer,
            "deadline_hit" => EventKind::DeadlineHit,
            "closed_attempt" => EventKind::ClosedAttempt,
            other => return Err(LineError::unknown_token("event", other)),
        })
    }
}

/// The kind of endpoint list that a word stands for.
pub fn parse_list_kind(word: &str) -> Result<EndpointListKind, LineError> {
    match word {
        "D" => Ok(EndpointListKind::Delta),
        "F" => Ok(EndpointListKind::Snapshot),
        "C" => Ok(EndpointListKind::Cached),
        "X" => Ok(EndpointListKind::Failed),
        other => Err(LineError::unknown_token("list form", other)),
    }
}

/// The endpoint state that a word stands for.
pub fn parse_state(word: &str) -> Result<EndpointState, LineError> {
    match word {
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        other => Err(LineError::unknown_token("engine status", other)),
    }
}

/// The outcome that a word stands for.
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

/// The kind of note that a number stands for.
pub fn parse_note_kind(number: i32) -> Result<NoteKind, LineError> {
    match number {
        1 => Ok(NoteKind::Progress),
        2 => Ok(NoteKind::Spilling),
        3 => Ok(NoteKind::Waiting),
        number => Err(LineError::UnknownNote { number }),
    }
}
