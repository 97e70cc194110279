//! Service levels on loopback: loads that swing around thresholds for minutes, and a quarter start with and without
//! levels on the same seeds.
//!
//! Start reading at [`run`]; [`swing`], [`reaction`] and [`quarters`] report on its results.

mod clients;
mod loads;
mod reports;

pub use reports::{quarters, reaction, swing};

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

/// The levels of these runs, and of the example for operators.
pub const LEVELS: &str = include_str!("../../../../deploy/levels.textproto");

/// Cores of each engine.
const CORES: f64 = 8.0;
/// Number of engines.
const ENGINES: usize = 4;
/// The engine that fails, where one does.
const FAILING_ENGINE: usize = 1;
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Samples a second, which follows from [`SAMPLE_INTERVAL`].
const SAMPLES_PER_S: f64 = 4.0;
/// Spread (log) of works about their median.
const WORK_SPREAD: f64 = 0.4;

/// A class of the traffic.
struct MixClass {
    traffic: TrafficClass,
    /// Its part of all queries.
    fraction: f64,
}

/// The traffic of these runs: look-ups, reports and loads.
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

/// Mean work of a query of the mix (ms).
fn mean_work_ms() -> f64 {
    let mean_of_median = f64::exp(WORK_SPREAD * WORK_SPREAD / 2.0);
    CLASSES
        .iter()
        .map(|class| class.fraction * class.traffic.work_ms * mean_of_median)
        .sum()
}

/// Queries a second that fill all engines.
fn capacity_per_s() -> f64 {
    ENGINES as f64 * CORES * 1000.0 / mean_work_ms()
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    /// Duration of the run (s).
    pub seconds: f64,
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether the operators' file defines levels.
    pub levels: bool,
    /// Whether one engine fails during the middle third of the run.
    pub failing: bool,
    /// Load, as a fraction of capacity, at a fraction of the run and with a peak.
    pub load: fn(f64, f64) -> f64,
    /// The peak that is passed to `load`.
    pub peak: f64,
}

/// A change of the level in force.
#[derive(Debug, Clone, Copy)]
pub struct LevelChange {
    /// Seconds since the run's begin.
    pub at_s: f64,
    /// The depth before.
    pub from: usize,
    /// The depth after.
    pub to: usize,
}

/// The state of a run at one moment, with the counts since the sample before.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Seconds since the run's begin.
    pub at_s: f64,
    /// Load as a fraction of capacity.
    pub load: f64,
    /// The depth of the level in force.
    pub depth: f64,
    /// Late answers as a fraction of all.
    pub late_fraction: f64,
    /// Value of answers, a second.
    pub value_per_s: f64,
}

/// The results of a run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Queries sent, each counted once.
    pub asked: u64,
    /// Answers in time.
    pub in_time: u64,
    /// Answers that came late.
    pub late: u64,
    /// Rejections.
    pub rejected: u64,
    /// Final errors.
    pub failed: u64,
    /// Value of all answers.
    pub value: f64,
    /// Value if all had been answered in time.
    pub max_value: f64,
    /// The 99th percentile of look-ups' latencies (ms).
    pub lookup_p99_ms: u64,
    /// Core time spent on queries that were not answered in time, as a fraction of all core time spent.
    pub waste: f64,
    /// Rejections after which clients retried.
    pub retried: u64,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Samples, in the order of their times.
    pub samples: Vec<Sample>,
    /// Changes of the level, in the order of their times.
    pub changes: Vec<LevelChange>,
}

fn configuration(engines: &[Engine], names: &NameService) -> Config {
    let config = setup::traffic_config(free_address(), engines, &traffic_classes())
        .with("resolver", names.address.to_string())
        .with_setting(keys::MAX_RETRY_AFTER_US, 4_000_000);
    setup::with_retry_budget(config)
}

/// The depth of the level in force, as the program reports it.
fn level_depth(dispatcher: SocketAddr) -> usize {
    get(dispatcher, "/_levels")
        .and_then(|response| serde_json::from_str::<Value>(&response.body).ok())
        .and_then(|shown| shown["depth"].as_u64())
        .unwrap_or(0) as usize
}

/// Runs the program once under the plan's load.
pub fn run(exe: &Path, plan: RunPlan) -> Outcome {
    let context = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: CORES,
        max_threads_a_core: 6.0,
        ..EngineSpec::default()
    };
    let engines = setup::start_engines(ENGINES, spec, plan.seed, &context);
    let names = setup::start_name_service(&engines, &context);
    let operator = TempFile::new("operator.textproto", if plan.levels { LEVELS } else { "" });
    let config = configuration(&engines, &names);
    let mut program = setup::start_with_operator(exe, &config, &operator);
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
    let mut watch = Watch::default();
    while start.elapsed().as_secs_f64() < plan.seconds {
        thread::sleep(SAMPLE_INTERVAL);
        watch.observe(&plan, start, &engines, program.listen, &tally);
    }
    let _ = clients.join();
    program.terminate();
    let _ = program.end();
    let spent_ms: f64 = engines.iter().map(Engine::busy).sum();
    let mut outcome = tally.lock().expect("no holder panics").finish(spent_ms);
    outcome.violations = find_violations(
        &context.record.entries(),
        &setup::rules(&traffic_classes(), Some(RETRY_BUDGET)),
    );
    outcome.samples = watch.samples;
    outcome.changes = watch.changes;
    outcome
}

/// Samples a run from outside, and injects its fault.
#[derive(Default)]
struct Watch {
    samples: Vec<Sample>,
    changes: Vec<LevelChange>,
    depth: usize,
    failing: bool,
}

impl Watch {
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
            engines[FAILING_ENGINE].fault(if self.failing {
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
        let since = tally.lock().expect("no holder panics").take_since_sample();
        self.samples.push(Sample {
            at_s,
            load: (plan.load)(fraction, plan.peak),
            depth: depth as f64,
            late_fraction: since.late / since.completed.max(1.0),
            value_per_s: since.value * SAMPLES_PER_S,
        });
    }
}
