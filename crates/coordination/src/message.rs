//! The messages that voters exchange.

use crate::record::{Ballot, Record};

/// A record, and how long it still counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeasedRecord {
    /// The record.
    pub record: Record,
    /// Milliseconds until it ends by itself; none: it has no end.
    pub remaining_ms: Option<u32>,
}

/// A message between voters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// A candidate asks for a promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// Drawn for each candidacy.
        nonce: u64,
    },
    /// One fragment of a promise, with what the voter has accepted so far.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The candidate's nonce.
        nonce: u64,
        /// Number of this fragment, from 0.
        fragment: u16,
        /// Number of fragments.
        fragment_count: u16,
        /// Some of the voter's records.
        records: Vec<LeasedRecord>,
    },
    /// The leader asks to accept records; none: a heartbeat.
    Accept {
        /// The leader's ballot.
        ballot: Ballot,
        /// Tells one accept request of the leader from another.
        number: u32,
        /// The records.
        records: Vec<LeasedRecord>,
    },
    /// The voter accepted.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The number of the accept request.
        number: u32,
        /// Digest of all records that the voter holds, see [`crate::digest`].
        digest: u32,
    },
    /// The voter follows another leader, or is quarantined.
    Reject {
        /// The ballot that the voter promised.
        ballot: Ballot,
    },
}
