//! Quorum records, restart leases and the disruption budget: a fleet agrees which units may be unavailable at a time.
//!
//! # What it owns
//! - [`QuorumNode`]: replication of a small table of records ([`RecordValue`]) among a few voters, and leader election.
//! - [`disruption_budget`]: whether the limits allow one more restart, drain or ejection.
//! - [`codec`]: the datagrams that voters exchange.
//!
//! It does no I/O and reads no clock: messages and times come in, messages go out. It is never on the path of a query:
//! without a majority no further unit becomes unavailable, and all others continue to serve.
//!
//! # Sources, and what differs
//! - L. Lamport, "The Part-Time Parliament" (1998) and "Paxos Made Simple" (2001): ballots, prepare and promise, accept
//!   and accepted, values chosen by a majority. Each record is a register of its own, which the leader overwrites. There
//!   is no log, so there is nothing to compact. Promises are stored in memory only: a voter that may have lost them takes
//!   no part for [`QuorumConfig::quarantine_ms`].
//! - M. Burrows, "The Chubby lock service" (2006): leases that expire, and sessions that distinguish two runs of a
//!   process. Holder and leader allow for clocks whose rates differ by [`QuorumConfig::max_clock_skew`].
//! - Disruption budgets as in Kubernetes (PodDisruptionBudget), with limits for each zone and version, a minimum interval
//!   and a check that the remaining capacity carries the load.
//!
//! docs/design/fleet.md weighs this against a replicated log and lists what the model check found.
//!
//! # Invariants, checked in `tests/`
//! - Every later leader knows all records that a majority accepted, in any order of message loss, crashes and stops.
//! - A lease has ended for its holder before the leader counts it as free.
//! - A voter that lost its memory takes no part until all that it may have promised has ended.
//! - Every message fits [`codec::MAX_DATAGRAM_BYTES`], every table [`MAX_RECORDS`].
//!
//! Start reading at [`QuorumNode::handle`] and [`QuorumNode::poll`].

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
