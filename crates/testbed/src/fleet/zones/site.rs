//! The dispatchers and engines of a run and the links between them, in zones of which one can be cut off.

use super::{Variant, ZoneCutPlan, ZONES};
use crate::engine::{Engine, EngineSpec, RunContext};
use crate::fleet::dispatcher_setup::DispatcherSetup;
use crate::fleet::links::LinkConditions;
use crate::fleet::relay::{start_engine_links, EngineLink, Relay};
use crate::fleet::FLEET_KEY;
use crate::program::{free_address, Config, Program, TempFile};
use crate::setup;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tansymux::settings::keys;

/// Number of engines, which are assigned to zones round-robin.
const ENGINES: usize = 2 * ZONES;
/// Capacity and timing of each engine.
const ENGINE_SPEC: EngineSpec = EngineSpec {
    cores: 8.0,
    max_threads_per_core: 16.0,
    progress_interval_ms: 100.0,
    cold_speed_fraction: 0.25,
    warm_up_ms: 15_000.0,
};
/// Delay between the start of the engines and that of the dispatchers.
const DISPATCHER_START_DELAY: Duration = Duration::from_millis(10);
/// Delay of a late datagram between dispatchers (ms).
const LATE_MS: f64 = 500.0;
/// Maximum delay of other datagrams between dispatchers (ms).
const RELAY_DELAY_MS: f64 = 1.0;
/// Maximum number of join seeds in a dispatcher's file.
const MAX_JOIN_SEEDS: usize = 3;

/// The text of a dispatcher's operators' file.
fn operator_text(variant: Variant, dispatcher: usize, relay: &Relay) -> String {
    let zones = "halls { route { tier { hall: \"h0\" hall: \"h1\" hall: \"h2\" } } cut { quiet_s: 0.6 } climb { first: 0.1 over_s: 8 whole: 2 } }";
    let seeds: String = relay
        .public
        .iter()
        .take(MAX_JOIN_SEEDS)
        .map(|address| format!("seed: \"{address}\" "))
        .collect();
    let fleet = format!(
        "fleet {{ name: \"n{dispatcher}\" listen: \"{}\" address: \"{}\" {seeds} voter: \"n0\" voter: \"n1\" voter: \"n2\"
           key: \"{FLEET_KEY}\" fresh: true version: \"v1\"
           timing {{ period_s: 0.4 timeout_s: 0.12 lead_s: 1 settle_s: 1 late_s: 0.3 }}
           zones {{ sure_s: 0.5 step_s: 1 hold_s: 1 term_s: 2 }} }}",
        relay.private[dispatcher], relay.public[dispatcher]
    );
    match variant {
        Variant::Agreed => format!("{zones}\n{fleet}"),
        Variant::Alone => zones.into(),
        Variant::Neither => String::new(),
    }
}

/// The configuration of a dispatcher with health checks and progress notes, which knows the engines' zones.
fn configuration(setup: &DispatcherSetup) -> Config {
    let mut config = setup
        .config()
        .with_setting(keys::HEALTH_CHECKS, true)
        .with_setting(keys::PROGRESS_INTERVAL_US, 100_000);
    for engine in 0..setup.engines.len() {
        config = config.with(
            &format!("known.cmds.0.nodes.instances.{engine}.zone"),
            format!("h{}", engine % ZONES),
        );
    }
    config
}

/// Starts a dispatcher with its operators' file, without waiting until it is healthy.
fn launch(exe: &Path, setup: &DispatcherSetup, operator_file: &TempFile) -> Program {
    let path = operator_file.0.display().to_string();
    let arguments = ["--operator", path.as_str()];
    Program::launch(exe, &configuration(setup), &arguments, Stdio::null())
}

/// Starts the links between dispatchers, with the plan's loss.
fn start_relay(plan: &ZoneCutPlan) -> Relay {
    let relay = Relay::start(plan.dispatchers, LATE_MS, plan.seed);
    relay.set_conditions(LinkConditions {
        loss: plan.loss,
        delay: RELAY_DELAY_MS,
        ..LinkConditions::GOOD
    });
    relay
}

/// The processes, stand-ins and links of one run.
pub(super) struct Site {
    pub plan: ZoneCutPlan,
    programs: Vec<Program>,
    _operator_files: Vec<TempFile>,
    pub listen_addresses: Vec<SocketAddr>,
    engines: Vec<Engine>,
    /// For each dispatcher, its links to the engines.
    engine_links: Vec<Vec<EngineLink>>,
    relay: Relay,
    pub operator_texts: Vec<String>,
    pub context: Arc<RunContext>,
}

impl Site {
    /// Starts the engines, their links and the dispatchers, and waits until all dispatchers are healthy.
    pub fn start(exe: &Path, plan: ZoneCutPlan, variant: Variant) -> Self {
        let context = Arc::new(RunContext::default());
        let engines = setup::start_engines(ENGINES, ENGINE_SPEC, plan.seed * 100, &context);
        thread::sleep(DISPATCHER_START_DELAY);
        let relay = start_relay(&plan);
        let engine_links = start_engine_links(plan.dispatchers, &engines);
        let listen_addresses: Vec<SocketAddr> =
            (0..plan.dispatchers).map(|_| free_address()).collect();
        let operator_texts: Vec<String> = (0..plan.dispatchers)
            .map(|dispatcher| operator_text(variant, dispatcher, &relay))
            .collect();
        let operator_files: Vec<TempFile> = operator_texts
            .iter()
            .map(|text| TempFile::new("zones.textproto", text))
            .collect();
        let setup_of = |index| DispatcherSetup {
            index,
            seed: plan.seed,
            dispatchers: plan.dispatchers,
            zones: ZONES,
            listen: listen_addresses[index],
            engines: &engines,
            links: &engine_links[index],
        };
        let programs: Vec<Program> = (0..plan.dispatchers)
            .map(|index| launch(exe, &setup_of(index), &operator_files[index]))
            .collect();
        programs.iter().for_each(Program::wait_until_healthy);
        Site {
            plan,
            programs,
            _operator_files: operator_files,
            listen_addresses,
            engines,
            engine_links,
            relay,
            operator_texts,
            context,
        }
    }

    /// Cuts or heals all links between the first zone and the others, both to engines and between dispatchers.
    pub fn set_cut(&self, cut: bool) {
        for (dispatcher, links) in self.engine_links.iter().enumerate() {
            for (engine, link) in links.iter().enumerate() {
                let dispatcher_inside = dispatcher % ZONES == 0;
                let engine_inside = engine % ZONES == 0;
                if dispatcher_inside != engine_inside {
                    link.set_cut(cut);
                }
            }
        }
        if cut {
            let inside: Vec<usize> = (0..self.engine_links.len()).step_by(ZONES).collect();
            self.relay.cut(&inside, false);
        } else {
            self.relay.heal();
        }
    }

    /// The engines of the zone that is cut off.
    pub fn engines_inside(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().step_by(ZONES)
    }

    /// Whether all dispatchers outside the cut zone report that `evacuated` zones are evacuated.
    pub fn all_outside_report(&self, evacuated: u64) -> bool {
        self.plan.outside().iter().all(|dispatcher| {
            self.programs[*dispatcher].counter("fleet_zones_out") == Some(evacuated)
        })
    }

    /// Stops the links between dispatchers and engines, then the engines.
    pub fn stop(&self) {
        for link in self.engine_links.iter().flatten() {
            link.stop();
        }
        self.engines.iter().for_each(Engine::stop);
    }
}
