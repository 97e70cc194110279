//! Timing of the quorum.

/// Timing of elections, leases and retransmission. All voters of a fleet must use the same values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuorumConfig {
    /// Leader lease (ms). A leader that a majority has not answered for this time steps down. A voter that has
    /// received no message from a leader for this time, extended by the clock skew, may become a candidate.
    pub leader_lease_ms: f64,
    /// Maximum term of a restart lease or any other record that expires (ms).
    pub max_grant_ms: f64,
    /// Maximum difference in rate between two clocks, as a fraction.
    pub max_clock_skew: f64,
    /// Retransmission interval of an unanswered message, and interval between two heartbeats of a leader (ms).
    pub retransmit_ms: f64,
    /// Maximum time that a datagram is in flight (ms).
    pub max_datagram_delay_ms: f64,
}

impl Default for QuorumConfig {
    fn default() -> Self {
        QuorumConfig {
            leader_lease_ms: 3000.0,
            max_grant_ms: 60_000.0,
            max_clock_skew: 0.02,
            retransmit_ms: 300.0,
            max_datagram_delay_ms: 10_000.0,
        }
    }
}

impl QuorumConfig {
    /// Duration of the quarantine of a voter that lost its memory (ms). After it, every promise and lease that the
    /// voter may have forgotten has expired, and no datagram from before the loss is still in flight.
    pub fn quarantine_ms(&self) -> f64 {
        let longest_promise_ms = self.max_grant_ms.max(self.leader_lease_ms);
        (longest_promise_ms + 2.0 * self.leader_lease_ms + self.max_datagram_delay_ms)
            * (1.0 + 2.0 * self.max_clock_skew)
    }
}
