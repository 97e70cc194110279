//! One run: starts engines, links, the name service and dispatchers, injects the plan's faults while clients send
//! queries, and stops everything.

use super::clients::SoakClient;
use super::deployment::{config, dispatcher_address, CORES, PEER_PORT};
use super::dispatcher::DispatcherSlot;
use super::lag::LagMonitor;
use super::link::Link;
use super::name_service_proxy::NameServiceProxy;
use super::peers::PeerRelay;
use super::plan::SoakPlan;
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

/// Number of clients of each dispatcher.
const CLIENTS_PER_DISPATCHER: u64 = 3;
/// Interval at which dispatchers' processes are checked while the run waits.
const POLL: Duration = Duration::from_millis(10);

/// The slot of an engine, which dispatchers reach through a link.
pub(super) struct EngineSlot {
    pub link: Link,
    pub engine: Engine,
    /// The number of engines that ran in this slot before.
    pub generation: u32,
}

/// The processes, stand-ins and links of a run.
pub(super) struct Environment {
    pub plan: SoakPlan,
    pub context: Arc<RunContext>,
    pub name_service: NameService,
    pub name_service_proxy: NameServiceProxy,
    engines: Mutex<Vec<EngineSlot>>,
    pub slots: Vec<Arc<DispatcherSlot>>,
    pub disconnect_generations: Vec<Arc<AtomicU64>>,
    is_finished: Arc<AtomicBool>,
    _peer_relay: PeerRelay,
}

/// Runs a plan and evaluates its record. Keeps the dispatchers' logs if there are violations.
pub(super) fn run(plan: SoakPlan, options: &SoakOptions) -> SoakOutcome {
    let lag = LagMonitor::start();
    let logs = options.artifact_dir.join(format!("logs-{}", plan.seed));
    let _ = std::fs::create_dir_all(&logs);
    let environment = Arc::new(Environment::start(plan, options, &logs));
    thread::scope(|scope| {
        for slot in &environment.slots {
            scope.spawn(|| slot.start());
        }
    });
    let clients = environment.start_clients();
    environment.inject_faults();
    environment.is_finished.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::scope(|scope| {
        for slot in &environment.slots {
            scope.spawn(|| {
                slot.check_alive();
                slot.finish();
            });
        }
    });
    let mut outcome = environment.outcome();
    outcome.max_lag_ms = lag.max_lag_ms();
    if outcome.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    outcome
}

impl EngineSlot {
    /// Starts an engine and the link through which dispatchers reach it.
    pub fn start(index: usize, plan: &SoakPlan, context: &Arc<RunContext>) -> Self {
        let engine = start_engine(&format!("s-{index}"), plan, context);
        EngineSlot {
            link: Link::start(engine.address, plan.seed ^ index as u64),
            engine,
            generation: 0,
        }
    }

    /// The engine's id and the address of its link, as a configuration lists them.
    fn configured(&self) -> (String, SocketAddr) {
        (self.engine.id.clone(), self.link.address)
    }
}

impl Environment {
    fn start(plan: SoakPlan, options: &SoakOptions, logs: &Path) -> Self {
        let context = Arc::new(RunContext::default());
        let engines: Vec<EngineSlot> = (0..plan.engines)
            .map(|index| EngineSlot::start(index, &plan, &context))
            .collect();
        let endpoints = engines
            .iter()
            .map(|slot| endpoint(&slot.engine.id, slot.link.address, 0.0));
        let name_service = NameService::start(endpoints.collect(), context.record.clone());
        let name_service_proxy = NameServiceProxy::start(name_service.address);
        let peer_listen: Vec<SocketAddr> = (0..plan.dispatchers)
            .map(|nth| dispatcher_address(plan.seed, nth, PEER_PORT))
            .collect();
        let peer_relay = PeerRelay::start(&peer_listen, plan.seed);
        let configured: Vec<(String, SocketAddr)> =
            engines.iter().map(EngineSlot::configured).collect();
        let mut slots = Vec::new();
        for (nth, listen) in peer_listen.iter().enumerate() {
            let config = config(
                &plan,
                nth,
                &configured,
                &name_service_proxy,
                *listen,
                &peer_relay,
            );
            slots.push(Arc::new(DispatcherSlot::new(
                format!("n{nth}"),
                &options.exe,
                config,
                FaultShim::new(options.shim.clone()),
                logs,
                context.record.clone(),
                Duration::from_secs_f64(plan.settings.max_deadline_ms / 1000.0),
            )));
        }
        Environment {
            disconnect_generations: slots.iter().map(|_| Arc::default()).collect(),
            plan,
            context,
            name_service,
            name_service_proxy,
            engines: Mutex::new(engines),
            slots,
            is_finished: Arc::default(),
            _peer_relay: peer_relay,
        }
    }

    pub(super) fn engines(&self) -> MutexGuard<'_, Vec<EngineSlot>> {
        self.engines.lock().expect("the lock is not poisoned")
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (dispatcher, slot) in self.slots.iter().enumerate() {
            for number in 0..CLIENTS_PER_DISPATCHER {
                let client = SoakClient {
                    dispatcher,
                    number,
                    slot: slot.clone(),
                    context: self.context.clone(),
                    is_finished: self.is_finished.clone(),
                    disconnect_generation: self.disconnect_generations[dispatcher].clone(),
                    has_estimates: self.plan.settings.has_estimates,
                    max_deadline_ms: self.plan.settings.max_deadline_ms,
                };
                let seed = self.plan.seed << 16 | (dispatcher as u64) << 8 | number;
                clients.push(thread::spawn(move || client.run(seed)));
            }
        }
        clients
    }

    /// Injects each fault at its time on a separate thread, and waits until the run and all faults have ended.
    fn inject_faults(self: &Arc<Self>) {
        let start = Instant::now();
        let mut injections = Vec::new();
        for planned in self.plan.faults.clone() {
            self.sleep_until(start, planned.at_ms);
            let environment = self.clone();
            injections.push(thread::spawn(move || environment.inject(planned)));
        }
        self.sleep_until(start, self.plan.seconds * 1000.0);
        for injection in injections {
            let _ = injection.join();
        }
    }

    fn sleep_until(&self, start: Instant, at_ms: f64) {
        while start.elapsed().as_secs_f64() * 1000.0 < at_ms {
            self.slots.iter().for_each(|slot| slot.check_alive());
            thread::sleep(POLL);
        }
    }
}

/// The current Unix time, in whole milliseconds.
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

pub(super) fn endpoint(id: &str, address: SocketAddr, started_ms: f64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address,
        status: Status::Ready,
        started_ms,
    }
}
