//! Input and output of a quorum node: events, actions and proposals.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::message::Message;
use crate::record::{Ballot, Id, RecordValue};
use thiserror::Error;

/// An input of a voter.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message arrived.
    Received {
        /// The sender.
        from: Id,
        /// The message.
        message: Message,
    },
}

/// An output of a voter, which the caller executes.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: Id,
        /// The message.
        message: Message,
    },
}

/// A record for the leader to write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Proposal {
    /// The record's key.
    pub key: u64,
    /// The new value.
    pub value: RecordValue,
    /// Time until the record expires (ms); `None`: it does not expire.
    pub term_ms: Option<f64>,
}

impl Proposal {
    /// A record that does not expire.
    pub fn without_expiry(key: u64, value: RecordValue) -> Self {
        Proposal {
            key,
            value,
            term_ms: None,
        }
    }

    /// A tombstone, which ends the record of a key.
    pub fn tombstone(key: u64) -> Self {
        Proposal::without_expiry(key, RecordValue::Tombstone)
    }
}

/// Identifies an accept request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProposalId {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// Sequence number of the accept request under this ballot.
    pub number: u32,
}

/// The reason why a call's proposals were rejected. None of them was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This voter is not the leader.
    #[error("this voter is not the leader")]
    NotLeader,
    /// There were no proposals, or more than fit in one message.
    #[error("got {count} proposals, expected 1 to {MAX_RECORDS_PER_MESSAGE}")]
    ProposalCount {
        /// Number of proposals.
        count: usize,
    },
    /// Too many accept requests are in flight.
    #[error("too many accept requests are in flight")]
    TooManyInFlight,
    /// The record table has no capacity for the new keys.
    #[error("the record table is full")]
    TableFull,
}
