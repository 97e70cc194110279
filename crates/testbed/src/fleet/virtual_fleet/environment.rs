//! State shared by all parts of a virtual fleet: true time, the random generator, the network and the report.

use super::network::{Datagram, Network};
use super::settings::host_of;
use crate::fleet::scenario::Scenario;
use crate::fleet::FleetReport;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// The largest datagram that members may send (bytes).
const MAX_DATAGRAM_BYTES: usize = 256;

/// The environment of a virtual fleet's members, supervisors and operators.
pub(super) struct Environment {
    pub scenario: Scenario,
    /// True time since the start of the run (ms).
    pub now_ms: f64,
    /// The source of all random draws of the run.
    pub rng: Pcg32,
    pub network: Network,
    pub report: FleetReport,
}

impl Environment {
    /// The environment at true time 0, with good links.
    pub fn new(scenario: Scenario, rng: Pcg32) -> Self {
        Environment {
            now_ms: 0.0,
            rng,
            network: Network::default(),
            report: FleetReport::of_scenario(&scenario),
            scenario,
        }
    }

    /// Sends a datagram from the host of member `from`. A datagram that stays on its host is never lost.
    pub fn send_datagram(
        &mut self,
        from: usize,
        source: SocketAddr,
        destination: SocketAddr,
        bytes: Vec<u8>,
    ) {
        let Some(host) = host_of(destination).filter(|host| *host < self.scenario.members) else {
            return;
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.record_violation(format!("oversized datagram of {} bytes", bytes.len()));
        }
        let datagram = Datagram {
            host,
            source,
            destination,
            bytes,
        };
        if host == from {
            self.network.send_locally(datagram, self.now_ms);
        } else {
            let late_ms = self.scenario.late;
            self.network
                .send(from, &datagram, self.now_ms, late_ms, &mut self.rng);
        }
    }

    /// Adds a violation to the report.
    pub fn record_violation(&mut self, description: String) {
        self.report.violations.push(description);
    }
}
