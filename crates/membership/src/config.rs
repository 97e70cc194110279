//! Settings of the failure detector.

use std::net::SocketAddr;

/// Settings of the failure detector. Times are in milliseconds. Ranges are checked when the operators' file is read.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Length of a protocol period. At most one member is probed in each period.
    pub period_ms: f64,
    /// Timeout of a direct probe, after which indirect probes are requested.
    pub probe_timeout_ms: f64,
    /// Number of members asked for an indirect probe in each retry of a probe.
    pub indirect_probes: usize,
    /// Suspicion timeout, in protocol periods per doubling of the group size.
    pub suspicion_multiplier: f64,
    /// Addresses of the members from which a joining member requests the member table.
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
