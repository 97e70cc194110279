//! Timing of the voters.

/// Timing of elections, leases and retransmission. It has to be the same at all voters of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuorumConfig {
    /// Leader lease (ms): a leader that no majority has answered for this long steps down, and a voter that received
    /// nothing from a leader for this long may become a candidate.
    pub leader_lease_ms: f64,
    /// Limit on the term of a restart lease or any other record that expires (ms).
    pub max_grant_ms: f64,
    /// Limit on the difference in rate between two clocks, as a fraction.
    pub max_clock_skew: f64,
    /// Retransmission interval of an unanswered message (ms).
    pub retransmit_ms: f64,
    /// Limit on the time that a datagram is in flight (ms).
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
    /// Time for which a voter that lost its memory takes no part (ms): afterwards all that it may have promised or
    /// accepted has ended, and no datagram of that time is still in flight.
    pub fn quarantine_ms(&self) -> f64 {
        let longest_promise_ms = self.max_grant_ms.max(self.leader_lease_ms);
        (longest_promise_ms + 2.0 * self.leader_lease_ms + self.max_datagram_delay_ms)
            * (1.0 + 2.0 * self.max_clock_skew)
    }
}
