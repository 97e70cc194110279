//! What a run on processes is made of beside the processes: the links to engines and the members' configurations.

use crate::engine::Engine;
use crate::fleet::relay::EngineLink;
use crate::fleet::scenario::Scenario;
use crate::program::{class, Config};
use std::net::SocketAddr;
use tansymux::settings::keys;

/// How long clients wait for an answer (ms).
pub(super) const QUERY_MAX_WAIT_MS: f64 = 1500.0;
/// The latency objective of their queries (ms).
const LATENCY_OBJECTIVE_MS: f64 = 300.0;

/// The configuration of a member, which knows each engine by the address of its own link.
pub(super) fn member_config(
    scenario: &Scenario,
    member: usize,
    listen: SocketAddr,
    engines: &[Engine],
    links: &[EngineLink],
) -> Config {
    let known: Vec<_> = engines
        .iter()
        .zip(links)
        .map(|(engine, link)| (engine.id.clone(), link.address))
        .collect();
    let classes = [class(
        "look",
        LATENCY_OBJECTIVE_MS,
        QUERY_MAX_WAIT_MS,
        keys::effect::READ_ONLY,
    )];
    let seed = scenario.seed * 1000 + member as u64 + 1;
    let zone = format!("h{}", member % scenario.zones);
    Config::new(listen, &known, &classes, &[1])
        .with("seed", format!("{seed:x}"))
        .with_setting(keys::DISPATCHERS, scenario.members)
        .with_setting(keys::LOCAL_ZONE, zone)
}
