//! Settings of the failure detector.

use std::net::SocketAddr;

/// Settings of the failure detector; times in milliseconds. Their ranges are checked where the operators' file is read.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Protocol period: one member is probed in each.
    pub period_ms: f64,
    /// Timeout of a direct probe, after which indirect probes are requested.
    pub probe_timeout_ms: f64,
    /// Number of members from which indirect probes are requested at a time.
    pub indirect_probes: usize,
    /// Suspicion timeout, in protocol periods for each doubling of the size of the group.
    pub suspicion_multiplier: f64,
    /// Addresses of members from which a joining member requests the member table.
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
