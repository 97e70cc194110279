//! Runs of service levels on loopback: loads that oscillate across the levels' thresholds, a step of load, and a load
//! peak as at the start of a business quarter, with and without levels on the same seeds.
//!
//! Start reading at [`run`]; [`run_oscillating_load`], [`run_load_step`] and [`run_quarter_starts`] run it and report
//! the results.

mod clients;
mod loads;
mod reports;

pub use reports::{run_load_step, run_oscillating_load, run_quarter_starts};

use crate::engine::{Engine, EngineSpec, Fault, RunContext};
use crate::invariants::{find_violations, Violation};
use crate::name_service::NameService;
use crate::program::{free_address, get, Config, TempFile};
use crate::setup::{self, TrafficClass, RETRY_BUDGET};
use clients::{Clients, Tally};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;

/// Operators' file that defines the levels of these runs. It also serves operators as an example.
pub const OPERATOR_FILE: &str = include_str!("../../../../deploy/levels.textproto");

/// Cores of each engine.
const CORES: f64 = 8.0;
/// Number of engines.
const ENGINES: usize = 4;
/// Index of the engine that fails in runs with [`RunPlan::failing`].
const FAILING_ENGINE: usize = 1;
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Samples per second, the inverse of [`SAMPLE_INTERVAL`].
const SAMPLES_PER_S: f64 = 4.0;
/// Standard deviation of the logarithm of a query's work.
const WORK_LOG_DEVIATION: f64 = 0.4;

/// A traffic class and its share of the queries.
struct MixClass {
    traffic: TrafficClass,
    /// Fraction of all queries.
    fraction: f64,
}

/// Traffic classes of these runs: look-ups, reports and loads.
const CLASSES: [MixClass; 3] = [
    MixClass {
        traffic: setup::LOOKUPS,
        fraction: 0.90,
    },
    MixClass {
        traffic: setup::REPORTS,
        fraction: 0.08,
    },
    MixClass {
        traffic: setup::LOADS,
        fraction: 0.02,
    },
];

fn traffic_classes() -> Vec<TrafficClass> {
    CLASSES.iter().map(|class| class.traffic).collect()
}

/// Returns the mean work of a query over all classes (ms on one core).
fn mean_work_ms() -> f64 {
    let mean_to_median_ratio = f64::exp(WORK_LOG_DEVIATION * WORK_LOG_DEVIATION / 2.0);
    CLASSES
        .iter()
        .map(|class| class.fraction * class.traffic.work_ms * mean_to_median_ratio)
        .sum()
}

/// Returns the arrival rate (queries per second) that uses all cores of all engines.
fn capacity_per_s() -> f64 {
    ENGINES as f64 * CORES * 1000.0 / mean_work_ms()
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    /// Duration of the run (s).
    pub seconds: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Whether the operators' file defines levels.
    pub levels: bool,
    /// Whether one engine fails during the middle third of the run.
    pub failing: bool,
    /// Load profile: returns the load, as a fraction of capacity, for a fraction of the run and a peak.
    pub load: fn(f64, f64) -> f64,
    /// The peak that is passed to `load`.
    pub peak: f64,
}

/// A change of the service level.
#[derive(Debug, Clone, Copy)]
pub struct LevelChange {
    /// Time since the start of the run (s).
    pub at_s: f64,
    /// Depth before the change; 0 is full service.
    pub from: usize,
    /// Depth after the change.
    pub to: usize,
}

/// The state of a run at one time, with the counts since the previous sample.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time since the start of the run (s).
    pub at_s: f64,
    /// Load as a fraction of capacity.
    pub load: f64,
    /// Depth of the current level.
    pub depth: f64,
    /// Late answers as a fraction of all answers.
    pub late_fraction: f64,
    /// Value of the answers per second.
    pub value_per_s: f64,
}

/// The results of a run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Queries sent. Repeated requests for a query are not counted.
    pub sent: u64,
    /// Answers within the latency objective and the time limit.
    pub in_time: u64,
    /// Answers that were not in time.
    pub late: u64,
    /// Rejections, including those of repeated requests.
    pub rejected: u64,
    /// Queries that ended with an error or without a response.
    pub failed: u64,
    /// Value of all answers.
    pub value: f64,
    /// Value if all queries had been answered in time.
    pub max_value: f64,
    /// 99th percentile of the look-ups' latencies (ms).
    pub lookup_p99_ms: u64,
    /// Core time used for queries that were not answered in time, as a fraction of all core time used.
    pub waste: f64,
    /// Rejections after which clients retried.
    pub retried: u64,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Samples in chronological order.
    pub samples: Vec<Sample>,
    /// Level changes in chronological order.
    pub changes: Vec<LevelChange>,
}

fn configuration(engines: &[Engine], names: &NameService) -> Config {
    let config = setup::traffic_config(free_address(), engines, &traffic_classes())
        .with("resolver", names.address.to_string())
        .with_setting(keys::MAX_RETRY_AFTER_US, 4_000_000);
    setup::with_retry_budget(config)
}

/// Returns the depth of the current level that the program reports, or 0 if the request fails.
fn level_depth(dispatcher: SocketAddr) -> usize {
    get(dispatcher, "/_levels")
        .and_then(|response| serde_json::from_str::<Value>(&response.body).ok())
        .and_then(|levels| levels["depth"].as_u64())
        .unwrap_or(0) as usize
}

/// Runs the program once under the plan's load.
pub fn run(exe: &Path, plan: RunPlan) -> Outcome {
    let context = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: CORES,
        max_threads_per_core: 6.0,
        ..EngineSpec::default()
    };
    let engines = setup::start_engines(ENGINES, spec, plan.seed, &context);
    let names = setup::start_name_service(&engines, &context);
    let operator_file = TempFile::new(
        "operator.textproto",
        if plan.levels { OPERATOR_FILE } else { "" },
    );
    let config = configuration(&engines, &names);
    let mut program = setup::start_with_operator(exe, &config, &operator_file);
    let tally = Arc::new(Mutex::new(Tally::new()));
    let start = Instant::now();
    let clients = Clients {
        dispatcher: program.listen,
        plan,
        start,
        context: context.clone(),
        tally: tally.clone(),
    };
    let clients = thread::spawn(move || clients.run());
    let mut monitor = RunMonitor::default();
    while start.elapsed().as_secs_f64() < plan.seconds {
        thread::sleep(SAMPLE_INTERVAL);
        monitor.observe(&plan, start, &engines, program.listen, &tally);
    }
    let _ = clients.join();
    program.terminate();
    let _ = program.wait_for_exit();
    let used_core_ms: f64 = engines.iter().map(Engine::used_core_ms).sum();
    let mut outcome = tally
        .lock()
        .expect("the lock is not poisoned")
        .finish(used_core_ms);
    outcome.violations = find_violations(
        &context.record.entries(),
        &setup::rules(&traffic_classes(), Some(RETRY_BUDGET)),
    );
    outcome.samples = monitor.samples;
    outcome.changes = monitor.changes;
    outcome
}

/// Samples a run, records its level changes and injects the engine fault.
#[derive(Default)]
struct RunMonitor {
    samples: Vec<Sample>,
    changes: Vec<LevelChange>,
    depth: usize,
    failing: bool,
}

impl RunMonitor {
    fn observe(
        &mut self,
        plan: &RunPlan,
        start: Instant,
        engines: &[Engine],
        dispatcher: SocketAddr,
        tally: &Mutex<Tally>,
    ) {
        let at_s = start.elapsed().as_secs_f64();
        let fraction = at_s / plan.seconds;
        if plan.failing && self.failing != (0.33..0.66).contains(&fraction) {
            self.failing = !self.failing;
            engines[FAILING_ENGINE].inject_fault(if self.failing {
                Fault::Errors(0.6)
            } else {
                Fault::None
            });
        }
        let depth = level_depth(dispatcher);
        if depth != self.depth {
            self.changes.push(LevelChange {
                at_s,
                from: self.depth,
                to: depth,
            });
            self.depth = depth;
        }
        let interval = tally
            .lock()
            .expect("the lock is not poisoned")
            .take_interval();
        self.samples.push(Sample {
            at_s,
            load: (plan.load)(fraction, plan.peak),
            depth: depth as f64,
            late_fraction: interval.late / interval.completed.max(1.0),
            value_per_s: interval.value * SAMPLES_PER_S,
        });
    }
}
