//! Who may be out at a time: dispatchers that restart, engines that are drained or put out.
//!
//! Owns: the records of who is out, what is halted and which release runs ([`Value`]); agreement on them among a few
//! voters ([`QuorumNode`]); the limits that a further one must keep to ([`limits::decide`]); and the bytes of the messages
//! ([`wire`]). It does no I/O and reads no clock: messages and times come in, messages go out. It never stands on the
//! path of a query: without a majority nothing new goes out, and what serves goes on.
//!
//! Agreement: records are registers, each written by the one leader under its ballot and kept by a majority of voters,
//! after Paxos (Lamport, "The Part-Time Parliament", 1998) with a leader that lasts; docs/design/permits.md weighs it
//! against a log.
//!
//! Invariants, checked in `tests/`:
//! - what a majority keeps is known to every later leader, in any order of loss, crash and stop;
//! - a permit that is counted free was over before for whoever held it, with clocks that run [`Terms::skew`] apart;
//! - a voter that lost its memory takes no part until all that it may have promised is over;
//! - every message fits [`wire::MOST`], every table [`MAX_RECORDS`].
//!
//! Start reading at [`QuorumNode::poll`].

mod council;
pub mod limits;
mod record;
pub mod wire;

pub use council::{digest, QuorumNode, Stand, Terms};
pub use record::{Ballot, Id, Kind, Record, Stage, Stamp, Value, Why, HALT, RELEASE};

/// Records that are kept at most, with those that say that something is over.
pub const MAX_RECORDS: usize = 512;
