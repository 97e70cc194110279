//! What a run on processes is made of: engines, links, addresses, configurations and operators' files.

use super::member::Place;
use super::{FleetRun, ProcessOptions, OLD_VERSION};
use crate::engine::{Engine, EngineSpec, RunContext};
use crate::fleet::relay::{EngineLink, Relay};
use crate::fleet::scenario::Scenario;
use crate::fleet::{FleetReport, FLEET_KEY};
use crate::program::{class, free_address, Config, TempFile};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How long clients wait for an answer (ms).
pub(super) const QUERY_MAX_WAIT_MS: f64 = 1500.0;
/// The latency objective of their queries (ms).
const LATENCY_OBJECTIVE_MS: f64 = 300.0;
/// How many members each one is told to join by.
const MAX_JOIN_SEEDS: usize = 5;

pub(super) fn start_engines(count: usize) -> Vec<Engine> {
    let context = Arc::new(RunContext::default());
    (0..count)
        .map(|n| {
            let id = format!("s-{n}");
            Engine::start(&id, EngineSpec::default(), n as u64, context.clone())
        })
        .collect()
}

/// The operators' file of member `n`. `fresh`: a voter that starts has never promised anything.
fn operator_text(
    scenario: &Scenario,
    n: usize,
    relay: &Relay,
    version: &str,
    fresh: bool,
) -> String {
    let seeds: String = relay
        .public
        .iter()
        .take(MAX_JOIN_SEEDS)
        .map(|address| format!("seed: \"{address}\" "))
        .collect();
    let voters: String = (0..scenario.voters)
        .map(|n| format!("voter: \"n{n}\" "))
        .collect();
    format!(
        "fleet {{ name: \"n{n}\" listen: \"{}\" address: \"{}\" {seeds} {voters} key: \"{FLEET_KEY}\" version: \"{version}\"
           fresh: {fresh} timing {{ period_s: 0.4 timeout_s: 0.12 lead_s: 1 settle_s: 1.5 late_s: {} }}
           dispatchers {{ most: {} carry: 1 }} engines {{ most: {} carry: 1 }}
           turns {{ turn_s: {} canaries: 1 canary_s: 2 goes_on_untold: true lost: {} left_s: 20 window_s: 1 }} }}",
        relay.private[n],
        relay.public[n],
        scenario.late / 1000.0,
        scenario.max_out,
        scenario.max_engines,
        scenario.turn / 1000.0,
        scenario.members
    )
}

/// The configuration of member `n`, which knows each engine by the address of its own link.
fn member_config(
    scenario: &Scenario,
    n: usize,
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
        "read_like",
    )];
    Config::new(listen, &known, &classes, &[1])
        .with("seed", format!("{:x}", scenario.seed * 1000 + n as u64 + 1))
        .with("settings.balancers", scenario.members)
        .with("settings.zone", format!("h{}", n % scenario.zones))
}

impl FleetRun {
    pub(super) fn new(
        exe: &Path,
        scenario: Scenario,
        options: &ProcessOptions,
        engines: &[Engine],
    ) -> Self {
        let members = scenario.members;
        let relay = Relay::start(members, scenario.late, scenario.seed);
        let engine_links: Vec<Vec<EngineLink>> = (0..members)
            .map(|_| {
                engines
                    .iter()
                    .map(|engine| EngineLink::start(engine.address))
                    .collect()
            })
            .collect();
        let listen_addresses: Vec<SocketAddr> = (0..members).map(|_| free_address()).collect();
        let configs = (0..members)
            .map(|n| member_config(&scenario, n, listen_addresses[n], engines, &engine_links[n]))
            .collect();
        let operator_files = (0..members)
            .map(|n| operator_text(&scenario, n, &relay, OLD_VERSION, true))
            .map(|text| TempFile::new("fleet.textproto", &text))
            .collect();
        FleetRun {
            exe: exe.to_owned(),
            options: options.clone(),
            places: (0..members).map(|_| Mutex::new(Place::new())).collect(),
            out: Mutex::new(vec![false; members]),
            drained: Mutex::new(vec![false; scenario.engines]),
            relay,
            engine_links,
            configs,
            operator_files,
            log_files: (0..members).map(|_| TempFile::new("log", "")).collect(),
            listen_addresses,
            started: Instant::now(),
            over: AtomicBool::new(false),
            report: Mutex::new(FleetReport::of_scenario(&scenario)),
            unanswered: AtomicU64::new(0),
            address_taken: AtomicBool::new(false),
            requests_ok: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            scenario,
        }
    }

    /// The operators' file of member `n` once the fleet has begun.
    pub(super) fn operator_text(&self, n: usize, version: &str) -> String {
        operator_text(&self.scenario, n, &self.relay, version, false)
    }

    /// The same with another limit of dispatchers out.
    pub(super) fn operator_text_with_limit(
        &self,
        n: usize,
        version: &str,
        max_out: usize,
    ) -> String {
        let scenario = Scenario {
            max_out,
            ..self.scenario.clone()
        };
        operator_text(&scenario, n, &self.relay, version, false)
    }
}
