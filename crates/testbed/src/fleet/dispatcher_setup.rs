//! The look-ups that clients of a fleet send, and the configuration of a dispatcher that serves them.

use super::relay::EngineLink;
use crate::engine::Engine;
use crate::program::{class, Config};
use std::net::SocketAddr;
use tansymux::settings::keys;

/// How long clients wait for an answer (ms).
pub(super) const MAX_WAIT_MS: f64 = 1500.0;
/// The latency objective of look-ups (ms).
pub(super) const LATENCY_OBJECTIVE_MS: f64 = 300.0;

/// A dispatcher of a fleet.
pub(super) struct DispatcherSetup<'a> {
    /// The dispatcher's index.
    pub index: usize,
    /// The seed of the run.
    pub seed: u64,
    /// Dispatchers of the fleet.
    pub dispatchers: usize,
    /// Zones over which dispatchers are spread in turn.
    pub zones: usize,
    /// Where the dispatcher accepts queries.
    pub listen: SocketAddr,
    /// The engines, and the dispatcher's own link to each.
    pub engines: &'a [Engine],
    pub links: &'a [EngineLink],
}

impl DispatcherSetup<'_> {
    /// The dispatcher's configuration, which names each engine by the address of its link.
    pub fn config(&self) -> Config {
        let known: Vec<_> = self
            .engines
            .iter()
            .zip(self.links)
            .map(|(engine, link)| (engine.id.clone(), link.address))
            .collect();
        let classes = [class(
            "look",
            LATENCY_OBJECTIVE_MS,
            MAX_WAIT_MS,
            keys::effect::READ_ONLY,
        )];
        let seed = self.seed * 1000 + self.index as u64 + 1;
        let zone = format!("h{}", self.index % self.zones);
        Config::new(self.listen, &known, &classes, &[1])
            .with("seed", format!("{seed:x}"))
            .with_setting(keys::DISPATCHERS, self.dispatchers)
            .with_setting(keys::LOCAL_ZONE, zone)
    }
}
