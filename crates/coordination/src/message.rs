//! The messages that voters exchange.

use crate::record::{Ballot, Record};

/// A record and its remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeasedRecord {
    /// The record.
    pub record: Record,
    /// Time until the record expires (ms); `None`: it does not expire.
    pub remaining_ms: Option<u32>,
}

/// A message between voters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// A candidate requests a promise (phase 1a).
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// Random identifier of the candidacy.
        nonce: u64,
    },
    /// An acceptor promises a ballot and reports the records that it accepted (phase 1b), in one or more fragments.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The candidate's nonce.
        nonce: u64,
        /// Index of this fragment, from 0.
        fragment: u16,
        /// Number of fragments.
        fragment_count: u16,
        /// This fragment's part of the acceptor's records.
        records: Vec<LeasedRecord>,
    },
    /// The leader asks voters to accept records (phase 2a). Without records the message is a heartbeat.
    Accept {
        /// The leader's ballot.
        ballot: Ballot,
        /// Sequence number of the accept request under this ballot.
        number: u32,
        /// The records.
        records: Vec<LeasedRecord>,
    },
    /// An acceptor accepted the records (phase 2b).
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The number of the accept request.
        number: u32,
        /// Digest of all records of the acceptor, see [`crate::digest`].
        digest: u32,
    },
    /// An acceptor rejects a request: it promised a higher ballot, follows another leader or is quarantined.
    Reject {
        /// The ballot that the acceptor promised.
        ballot: Ballot,
    },
}
