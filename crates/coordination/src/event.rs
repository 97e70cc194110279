//! What goes into a quorum node and comes out of it: events, actions and proposals.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::message::Message;
use crate::record::{Ballot, Id, RecordValue};
use thiserror::Error;

/// What happened to a voter.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message came.
    Received {
        /// The sender.
        from: Id,
        /// The message.
        message: Message,
    },
}

/// What a voter wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: Id,
        /// The message.
        message: Message,
    },
}

/// A record that the leader is to write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Proposal {
    /// The record's key.
    pub key: u64,
    /// Its new value.
    pub value: RecordValue,
    /// How long it counts (ms); none: without an end.
    pub term_ms: Option<f64>,
}

impl Proposal {
    /// A value without an end.
    pub fn lasting(key: u64, value: RecordValue) -> Self {
        Proposal {
            key,
            value,
            term_ms: None,
        }
    }

    /// Ends the record of a key.
    pub fn tombstone(key: u64) -> Self {
        Proposal::lasting(key, RecordValue::Tombstone)
    }
}

/// Tells one accept request of a leader from all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProposalId {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// Number of the accept request.
    pub number: u32,
}

/// Why proposals were not taken up. None of them was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This voter does not lead.
    #[error("this voter does not lead")]
    NotLeader,
    /// There was none, or more than fit in one message.
    #[error("{count} proposals: 1 to {MAX_RECORDS_PER_MESSAGE} are allowed")]
    ProposalCount {
        /// How many there were.
        count: usize,
    },
    /// Too many accept requests are in flight.
    #[error("too many accept requests are in flight")]
    TooManyInFlight,
    /// The table has no room for the new keys.
    #[error("the table of records is full")]
    TableFull,
}
