//! Role and initial state of a voter.

use crate::record::Ballot;

/// The current role of a voter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Role {
    /// The voter may have lost its memory, and does not vote yet.
    Quarantined {
        /// End of the quarantine (ms).
        until_ms: f64,
    },
    /// The voter follows the leader of this ballot.
    Follower(Ballot),
    /// The voter sent prepare messages and waits for promises.
    Candidate,
    /// The voter is the leader with this ballot.
    Leader(Ballot),
}

/// Whether a voter that starts may have lost its memory of past votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterMemory {
    /// The voter has never voted, as at the first start of an installation.
    NeverVoted,
    /// The voter may have voted and lost its memory: it is quarantined for [`QuorumConfig::quarantine_ms`].
    ///
    /// [`QuorumConfig::quarantine_ms`]: crate::QuorumConfig::quarantine_ms
    MayBeLost,
}

/// The initial state of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterStart {
    /// Whether the memory of past votes may be lost.
    pub memory: VoterMemory,
    /// The voter's first candidacy has a higher round than this. It should exceed every round that the voter may have
    /// forgotten; callers pass the wall clock in seconds. The safety of leases does not depend on it. Records without
    /// expiry depend on it in one case: if a majority lost its memory while the other voters were unreachable, a lower
    /// round would let the older records of those voters replace newer records.
    pub round: u32,
    /// Seed of the random backoffs and nonces. Each start draws a new seed.
    pub seed: u64,
}
