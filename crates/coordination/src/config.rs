//! Timing of the voters.

/// Timing of elections, leases and retransmission. All voters of a fleet have to share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuorumConfig {
    /// Leader lease (ms): a leader that no majority has answered for this long steps down, and a voter that has not
    /// heard from a leader for this long may become a candidate.
    pub leader_lease_ms: f64,
    /// The longest term of any restart lease or other record that ends by itself (ms).
    pub max_grant_ms: f64,
    /// How far two clocks may run apart, as a fraction: 0.02 is two parts in a hundred.
    pub max_clock_skew: f64,
    /// An unanswered message is sent again after this long (ms).
    pub retransmit_ms: f64,
    /// The longest that a datagram may be under way (ms).
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
    /// How long a voter without memory takes no part (ms): everything that it may have promised or accepted before has
    /// ended by then, and no datagram of that time is still under way.
    pub fn quarantine_ms(&self) -> f64 {
        let longest_promise_ms = self.max_grant_ms.max(self.leader_lease_ms);
        (longest_promise_ms + 2.0 * self.leader_lease_ms + self.max_datagram_delay_ms)
            * (1.0 + 2.0 * self.max_clock_skew)
    }
}
