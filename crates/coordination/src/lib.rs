//! Quorum records, restart leases and the disruption budget, by which a fleet agrees which units may be unavailable.
//!
//! # Contents
//! - [`QuorumNode`]: replication of a small table of records ([`RecordValue`]) among a few voters, and leader election.
//! - [`disruption_budget`]: checks whether the limits allow one more restart, drain or ejection.
//! - [`codec`]: wire format of the messages that voters exchange.
//!
//! The crate does no I/O and reads no clock: the caller supplies messages and times, and sends the messages that the
//! crate returns. No query waits for it: without a majority no further disruption is granted, and units continue
//! to serve.
//!
//! # Sources and differences
//! - L. Lamport, "The Part-Time Parliament" (1998) and "Paxos Made Simple" (2001): ballots, prepare and promise,
//!   accept and accepted, values chosen by a majority. Each record is a separate register, which the leader
//!   overwrites. There is no log and hence no compaction. Promises are stored in memory only: a voter that may have
//!   lost them is quarantined for [`QuorumConfig::quarantine_ms`].
//! - M. Burrows, "The Chubby lock service" (2006): leases that expire, and sessions that distinguish two runs of a
//!   process. Holder and leader allow for clocks whose rates differ by up to [`QuorumConfig::max_clock_skew`].
//! - Disruption budgets as in Kubernetes (PodDisruptionBudget), with limits for each zone and version, a minimum
//!   interval and a check that the remaining capacity carries the load.
//!
//! docs/design/fleet.md compares this design with a replicated log and lists the findings of the model check.
//!
//! # Invariants, checked in `tests/`
//! - Every later leader knows all records that a majority accepted, for any sequence of message losses, crashes and
//!   process stops.
//! - A lease ends at its holder before the leader treats it as free.
//! - A voter that lost its memory does not vote until every promise that it may have given has expired.
//! - Every message fits in [`codec::MAX_DATAGRAM_BYTES`], and a table has at most [`MAX_RECORDS`] records.
//!
//! Entry points: [`QuorumNode::handle`] and [`QuorumNode::poll`].

mod candidacy;
pub mod codec;
mod config;
pub mod disruption_budget;
mod event;
mod leadership;
mod message;
mod outbox;
mod quorum_node;
mod record;
mod record_table;
mod voter;

pub use config::QuorumConfig;
pub use event::{Action, Event, Proposal, ProposalId, ProposeError};
pub use message::{LeasedRecord, Message};
pub use outbox::Outbox;
pub use quorum_node::QuorumNode;
pub use record::{
    Ballot, DisruptionReason, Id, Record, RecordValue, ReleaseStage, Stamp, UnitKind, HALT_KEY,
    RELEASE_KEY,
};
pub use record_table::{digest, MAX_RECORDS};
pub use voter::{Role, VoterMemory, VoterStart};
