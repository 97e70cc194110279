//! One run: starts engines, links, name service and dispatchers, plays the plan's faults while clients ask, and ends all.

use super::clients::SoakClient;
use super::dispatcher::DispatcherPlace;
use super::lag::LagMonitor;
use super::link::Link;
use super::names::NamesLink;
use super::peers::PeerRelay;
use super::plan::SoakPlan;
use super::site::{config, own_address, CORES, PEER_PORT};
use super::{SoakOptions, SoakOutcome};
use crate::engine::{Engine, EngineSpec, RunContext};
use crate::fault_shim::FaultShim;
use crate::name_service::{Endpoint, NameService};
use crate::record::Status;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clients of each dispatcher.
const CLIENTS_PER_DISPATCHER: u64 = 3;
const POLL: Duration = Duration::from_millis(10);

/// An engine's place behind a link.
pub(super) struct EngineSlot {
    pub link: Link,
    pub engine: Engine,
    /// How many engines were at this place before.
    pub generation: u32,
}

/// A run.
pub(super) struct World {
    pub plan: SoakPlan,
    pub context: Arc<RunContext>,
    pub names: NameService,
    pub names_link: NamesLink,
    engines: Mutex<Vec<EngineSlot>>,
    pub places: Vec<Arc<DispatcherPlace>>,
    pub leave_generations: Vec<Arc<AtomicU64>>,
    is_over: Arc<AtomicBool>,
    _peers: PeerRelay,
}

/// Plays a plan.
pub(super) fn play(plan: SoakPlan, options: &SoakOptions) -> SoakOutcome {
    let lag = LagMonitor::start();
    let logs = options.keep.join(format!("logs-{}", plan.seed));
    let _ = std::fs::create_dir_all(&logs);
    let world = Arc::new(World::start(plan, options, &logs));
    thread::scope(|scope| {
        for place in &world.places {
            scope.spawn(|| place.start());
        }
    });
    let clients = world.start_clients();
    world.play_faults();
    world.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::scope(|scope| {
        for place in &world.places {
            scope.spawn(|| {
                place.check_alive();
                place.finish();
            });
        }
    });
    let mut outcome = world.outcome();
    outcome.max_lag_ms = lag.max_lag_ms();
    if outcome.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    outcome
}

impl World {
    fn start(plan: SoakPlan, options: &SoakOptions, logs: &Path) -> Self {
        let context = Arc::new(RunContext::default());
        let mut engines = Vec::new();
        for nth in 0..plan.engines {
            let engine = start_engine(&format!("s-{nth}"), &plan, &context);
            let link = Link::start(engine.address, plan.seed ^ nth as u64);
            engines.push(EngineSlot {
                link,
                engine,
                generation: 0,
            });
        }
        let endpoints = engines
            .iter()
            .map(|slot| endpoint(&slot.engine.id, slot.link.address, 0.0));
        let names = NameService::start(endpoints.collect(), context.record.clone());
        let names_link = NamesLink::start(names.address);
        let peer_listen: Vec<SocketAddr> = (0..plan.dispatchers)
            .map(|nth| own_address(plan.seed, nth, PEER_PORT))
            .collect();
        let peers = PeerRelay::start(&peer_listen, plan.seed);
        let known: Vec<(String, SocketAddr)> = engines
            .iter()
            .map(|slot| (slot.engine.id.clone(), slot.link.address))
            .collect();
        let mut places = Vec::new();
        for (nth, listen) in peer_listen.iter().enumerate() {
            let config = config(&plan, nth, &known, &names_link, *listen, &peers);
            places.push(Arc::new(DispatcherPlace::new(
                format!("n{nth}"),
                &options.exe,
                config,
                FaultShim::new(options.shim.clone()),
                logs,
                context.record.clone(),
            )));
        }
        World {
            leave_generations: places.iter().map(|_| Arc::default()).collect(),
            plan,
            context,
            names,
            names_link,
            engines: Mutex::new(engines),
            places,
            is_over: Arc::default(),
            _peers: peers,
        }
    }

    pub(super) fn engines(&self) -> MutexGuard<'_, Vec<EngineSlot>> {
        self.engines.lock().expect("no holder panics")
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (dispatcher, place) in self.places.iter().enumerate() {
            for number in 0..CLIENTS_PER_DISPATCHER {
                let client = SoakClient {
                    dispatcher,
                    number,
                    place: place.clone(),
                    context: self.context.clone(),
                    is_over: self.is_over.clone(),
                    leave_generation: self.leave_generations[dispatcher].clone(),
                    has_estimates: self.plan.settings.has_estimates,
                };
                let seed = self.plan.seed << 16 | (dispatcher as u64) << 8 | number;
                clients.push(thread::spawn(move || client.run(seed)));
            }
        }
        clients
    }

    /// Plays the faults at their times, each on a thread of its own, and waits for the run's end and theirs.
    fn play_faults(self: &Arc<Self>) {
        let from = Instant::now();
        let mut playing = Vec::new();
        for planned in self.plan.faults.clone() {
            self.sleep_until(from, planned.at_ms);
            let world = self.clone();
            playing.push(thread::spawn(move || world.play_fault(planned)));
        }
        self.sleep_until(from, self.plan.seconds * 1000.0);
        for fault in playing {
            let _ = fault.join();
        }
    }

    fn sleep_until(&self, from: Instant, at_ms: f64) {
        while from.elapsed().as_secs_f64() * 1000.0 < at_ms {
            self.places.iter().for_each(|place| place.check_alive());
            thread::sleep(POLL);
        }
    }
}

pub(super) fn unix_ms() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    (now.unwrap_or_default().as_secs_f64() * 1000.0).floor()
}

pub(super) fn start_engine(id: &str, plan: &SoakPlan, context: &Arc<RunContext>) -> Engine {
    let spec = EngineSpec {
        cores: CORES,
        progress_interval_ms: if plan.settings.has_notes { 100.0 } else { 1e9 },
        ..EngineSpec::default()
    };
    Engine::start(id, spec, plan.seed, context.clone())
}

pub(super) fn endpoint(id: &str, address: SocketAddr, started: f64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address,
        status: Status::Ready,
        started,
    }
}
