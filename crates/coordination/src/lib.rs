//! Quorum records, restart leases and the disruption budget: who may be unavailable at a time, agreed by a fleet.
//!
//! # What it owns
//! - [`QuorumNode`]: replication of a small table of records ([`RecordValue`]) among a few voters, and leader election.
//! - [`disruption_budget`]: the limits that one more restart, drain or ejection has to keep to.
//! - [`codec`]: the datagrams that voters exchange.
//!
//! It does no I/O and reads no clock: messages and times come in, messages go out. It is never on the path of a query:
//! without a majority nothing new becomes unavailable, and whatever serves goes on serving.
//!
//! # Sources, and what differs
//! - L. Lamport, "The Part-Time Parliament" (1998) and "Paxos Made Simple" (2001): ballots, prepare and promise, accept
//!   and accepted, values chosen by a majority. Each record is a register of its own that a long-lived leader
//!   overwrites. There is no log, so there is nothing to compact. Promises are kept in memory only: a voter that may
//!   have lost them takes no part for [`QuorumConfig::quarantine_ms`].
//! - M. Burrows, "The Chubby lock service" (2006): leases that end by themselves, and sessions that tell two lives of a
//!   process apart. Holder and leader allow for clocks that run [`QuorumConfig::max_clock_skew`] apart.
//! - Disruption budgets as in Kubernetes (PodDisruptionBudget), with limits for each zone and version, a minimum interval
//!   and a check that the remaining capacity carries the load.
//!
//! docs/design/fleet.md weighs this against a replicated log and lists what the model check found.
//!
//! # Invariants, checked in `tests/`
//! - Every later leader knows what a majority accepted, in any order of loss, crash and stop.
//! - A lease that the leader counts as free has ended before for its holder.
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

pub use config::QuorumConfig;
pub use event::{Action, Event, Proposal, ProposalId, ProposeError};
pub use message::{LeasedRecord, Message};
pub use outbox::Outbox;
pub use quorum_node::{QuorumNode, Role, VoterMemory, VoterStart};
pub use record::{
    Ballot, DisruptionReason, Id, Record, RecordValue, ReleaseStage, Stamp, UnitKind, HALT_KEY,
    RELEASE_KEY,
};
pub use record_table::{digest, MAX_RECORDS};
