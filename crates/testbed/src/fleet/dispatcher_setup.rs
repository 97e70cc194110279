//! The time limits of the look-ups that clients of a fleet send, and the configuration of a dispatcher
//! that serves them.

use super::relay::EngineLink;
use crate::engine::Engine;
use crate::program::{resource_group, Config};
use std::net::SocketAddr;
use tansymux::settings::keys;

/// Maximum time that a client waits for an answer (ms).
pub(super) const MAX_WAIT_MS: f64 = 1500.0;
/// The latency objective of look-ups (ms).
pub(super) const LATENCY_OBJECTIVE_MS: f64 = 300.0;

/// The parameters of one dispatcher's configuration.
pub(super) struct DispatcherSetup<'a> {
    /// Index of the dispatcher, which determines its seed and its zone.
    pub index: usize,
    /// The seed of the run.
    pub seed: u64,
    /// Number of dispatchers in the fleet.
    pub dispatchers: usize,
    /// Number of zones, to which dispatchers are assigned round-robin.
    pub zones: usize,
    /// The address at which the dispatcher accepts queries.
    pub listen: SocketAddr,
    pub engines: &'a [Engine],
    /// The dispatcher's link to each engine, in the order of `engines`.
    pub links: &'a [EngineLink],
}

impl DispatcherSetup<'_> {
    /// The dispatcher's configuration, which names each engine by the address of its link.
    pub fn config(&self) -> Config {
        let engine_addresses: Vec<_> = self
            .engines
            .iter()
            .zip(self.links)
            .map(|(engine, link)| (engine.id.clone(), link.address))
            .collect();
        let classes = [resource_group(
            "look",
            LATENCY_OBJECTIVE_MS,
            MAX_WAIT_MS,
            keys::effect::READ_ONLY,
        )];
        let seed = self.seed * 1000 + self.index as u64 + 1;
        let zone = format!("h{}", self.index % self.zones);
        Config::new(self.listen, &engine_addresses, &classes, &[1])
            .with("seed", format!("{seed:x}"))
            .with_setting(keys::DISPATCHERS, self.dispatchers)
            .with_setting(keys::LOCAL_ZONE, zone)
    }
}
