//! Role and start of a voter.

use crate::record::Ballot;

/// The present role of a voter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Role {
    /// The voter may have lost its memory, and takes no part yet.
    Quarantined {
        /// When the voter takes part again (ms).
        until_ms: f64,
    },
    /// The voter follows the leader of this ballot.
    Follower(Ballot),
    /// The voter sent prepare messages and waits for promises.
    Candidate,
    /// The voter leads under this ballot.
    Leader(Ballot),
}

/// The state of a voter's memory of its past votes at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterMemory {
    /// The voter has never voted, as at the first start of an installation.
    NeverVoted,
    /// The voter may have voted and lost its memory: it takes no part for [`QuorumConfig::quarantine_ms`].
    ///
    /// [`QuorumConfig::quarantine_ms`]: crate::QuorumConfig::quarantine_ms
    MayBeLost,
}

/// The initial state of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterStart {
    /// Whether the memory of past votes may be lost.
    pub memory: VoterMemory,
    /// A round above all that the voter may have lost, as far as that can be known (the seconds of the wall clock).
    /// Leases do not depend on it. Records that do not expire do, if a majority lost its memory while the one voter that did
    /// not was cut off.
    pub round: u32,
    /// Seed of the random backoffs and nonces, drawn at each start.
    pub seed: u64,
}
