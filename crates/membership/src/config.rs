//! Settings of the failure detector.

use std::net::SocketAddr;

/// Settings of the failure detector; times in milliseconds. Their ranges are checked where they are read.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Protocol period: one member is probed in each.
    pub period_ms: f64,
    /// How long a direct probe may take before other members are asked to probe.
    pub probe_timeout_ms: f64,
    /// Number of members that are asked for an indirect probe each time.
    pub indirect_probes: usize,
    /// Protocol periods of suspicion for each doubling of the group.
    pub suspicion_multiplier: f64,
    /// Addresses that are asked for the member table on joining.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            period_ms: 1000.0,
            probe_timeout_ms: 300.0,
            indirect_probes: 3,
            suspicion_multiplier: 1.5,
            seeds: Vec::new(),
        }
    }
}
