//! Runs of several real dispatchers with stand-in engines in two zones. The engines of one zone stop answering for a
//! quarter of the run and then restart cold. Each seed runs with and without tiers.
//!
//! Start reading at [`run`].

use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::engine::{Engine, EngineSpec, Fault, RunContext};
use crate::invariants::{find_violations, Rules, Violation};
use crate::plot::{plot, Line};
use crate::program::{free_address, free_udp_address, Config, Program, TempFile};
use crate::setup::{self, TrafficClass};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;

/// Number of dispatchers, assigned to the zones round-robin.
const DISPATCHERS: usize = 3;
/// Names of the zones. The first zone is cut.
const ZONES: [&str; 2] = ["east", "west"];
/// Number of engines in each zone.
const ENGINES_PER_ZONE: usize = 3;
/// Cores of each engine.
const CORES: f64 = 8.0;
/// Operators' file that defines the tiers.
const OPERATOR_FILE: &str = include_str!("../../../deploy/zones.textproto");
/// Start of the cut, as a fraction of the run.
const CUT_BEGIN: f64 = 0.25;
/// End of the cut, as a fraction of the run.
const CUT_END: f64 = 0.5;
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Standard deviation of the logarithm of a query's work.
const WORK_LOG_DEVIATION: f64 = 0.4;
/// Time from the start of the run to the start of the clients (s).
const CLIENT_START_DELAY_S: f64 = 0.2;
/// Maximum violations that the table shows per run.
const MAX_SHOWN_VIOLATIONS: usize = 3;

/// A traffic class and its arrival rate.
struct ClassLoad {
    traffic: TrafficClass,
    queries_per_s: f64,
}

/// Traffic classes of these runs: look-ups, reports and loads.
const CLASSES: [ClassLoad; 3] = [
    ClassLoad {
        traffic: setup::LOOKUPS,
        queries_per_s: 420.0,
    },
    ClassLoad {
        traffic: setup::REPORTS,
        queries_per_s: 22.0,
    },
    ClassLoad {
        traffic: setup::LOADS,
        queries_per_s: 5.0,
    },
];

/// The value of the answers, and its maximum if all queries are answered in time.
#[derive(Debug, Default, Clone, Copy)]
struct Value {
    achieved: f64,
    max: f64,
}

/// The state of a run at one time, with the value and the rejections since the previous sample.
#[derive(Debug, Clone)]
struct Sample {
    at_s: f64,
    /// Running threads of each engine.
    threads: Vec<f64>,
    value: Value,
    rejected: f64,
}

/// The results of a run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Value before, during and after the cut.
    value: [Value; 3],
    sent: u64,
    rejected: u64,
    failed: u64,
    unanswered: u64,
    violations: Vec<Violation>,
    samples: Vec<Sample>,
}

impl Outcome {
    fn record(&mut self, class: &TrafficClass, phase: usize, response: Option<ClientResponse>) {
        self.sent += 1;
        self.value[phase].max += class.weight;
        let Some(response) = response else {
            self.unanswered += 1;
            return;
        };
        match response.status {
            200 => self.value[phase].achieved += class.value_of(response.latency_ms),
            429 | 503 => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

fn traffic_classes() -> Vec<TrafficClass> {
    CLASSES.iter().map(|class| class.traffic).collect()
}

fn configuration(dispatcher: usize, engines: &[Engine], peers: &[SocketAddr]) -> Config {
    let peer_names: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let config = setup::traffic_config(free_address(), engines, &traffic_classes())
        .with("name", format!("n{dispatcher}"))
        .with("seed", format!("{}", dispatcher + 1))
        .with_setting(keys::LOCAL_ZONE, ZONES[dispatcher % 2])
        .with_setting(keys::DISPATCHERS, DISPATCHERS)
        .with_setting(keys::DISPATCHER_INDEX, dispatcher)
        .with_setting(keys::MAX_RETRY_AFTER_US, 4_000_000)
        .with("peer_listen", peers[dispatcher].to_string())
        .with("peers", json!(peer_names));
    let mut config = setup::with_retry_budget(config);
    for engine in 0..engines.len() {
        config = config.with(
            &format!("known.cmds.0.nodes.instances.{engine}.zone"),
            ZONES[engine / ENGINES_PER_ZONE],
        );
    }
    config
}

fn start_dispatchers(exe: &Path, engines: &[Engine], operator_file: &TempFile) -> Vec<Program> {
    let peers: Vec<SocketAddr> = (0..DISPATCHERS).map(|_| free_udp_address()).collect();
    let programs: Vec<Program> = (0..DISPATCHERS)
        .map(|dispatcher| {
            let config = configuration(dispatcher, engines, &peers);
            setup::launch_with_operator(exe, &config, operator_file)
        })
        .collect();
    programs.iter().for_each(Program::wait_until_healthy);
    programs
}

/// Capacity and warm-up of each engine.
fn engine_spec() -> EngineSpec {
    EngineSpec {
        cores: CORES,
        cold_speed_fraction: 0.25,
        warm_up_ms: 8000.0,
        ..EngineSpec::default()
    }
}

/// Runs once, with the first zone cut from `CUT_BEGIN` to `CUT_END`.
pub fn run_once(exe: &Path, seconds: f64, seed: u64, tiers: bool) -> Outcome {
    let context = Arc::new(RunContext::default());
    let engine_count = ZONES.len() * ENGINES_PER_ZONE;
    let engines = setup::start_engines(engine_count, engine_spec(), seed, &context);
    let operator_file = TempFile::new("operator.textproto", if tiers { OPERATOR_FILE } else { "" });
    let mut programs = start_dispatchers(exe, &engines, &operator_file);
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let start = Instant::now();
    thread::sleep(Duration::from_secs_f64(CLIENT_START_DELAY_S));
    let dispatchers: Vec<SocketAddr> = programs.iter().map(|program| program.listen).collect();
    let traffic_of = |class_index| ClassTraffic {
        class_index,
        dispatchers: dispatchers.clone(),
        seconds,
        start,
        context: context.clone(),
        outcome: outcome.clone(),
    };
    let clients: Vec<_> = (0..CLASSES.len())
        .map(traffic_of)
        .map(|traffic| thread::spawn(move || traffic.run(seed)))
        .collect();
    let mut monitor = RunMonitor::default();
    while start.elapsed().as_secs_f64() < seconds {
        thread::sleep(SAMPLE_INTERVAL);
        let at_s = start.elapsed().as_secs_f64();
        monitor.cut_zone(at_s / seconds, &engines[..ENGINES_PER_ZONE]);
        let mut outcome = outcome.lock().expect("the lock is not poisoned");
        monitor.sample(at_s, &engines, &mut outcome);
    }
    setup::join_all(clients);
    programs.iter().for_each(Program::terminate);
    for program in &mut programs {
        let _ = program.wait_for_exit();
    }
    let outcome = outcome.lock().expect("the lock is not poisoned").clone();
    Outcome {
        violations: find_violations(&context.record.entries(), &rules()),
        ..outcome
    }
}

fn rules() -> Rules {
    setup::rules(&traffic_classes(), None)
}

/// Cuts and restores the first zone, and samples the run.
#[derive(Default)]
struct RunMonitor {
    is_cut: bool,
    is_restored: bool,
    last_value: Value,
    last_rejected: f64,
}

impl RunMonitor {
    /// Makes the engines of the cut zone stop answering at [`CUT_BEGIN`], and restarts them cold at [`CUT_END`].
    fn cut_zone(&mut self, fraction: f64, engines: &[Engine]) {
        if fraction >= CUT_BEGIN && !self.is_cut {
            self.is_cut = true;
            for engine in engines {
                engine.inject_fault(Fault::Silent);
            }
        }
        if fraction >= CUT_END && !self.is_restored {
            self.is_restored = true;
            for engine in engines {
                engine.inject_fault(Fault::None);
                engine.restart_cold();
            }
        }
    }

    fn sample(&mut self, at_s: f64, engines: &[Engine], outcome: &mut Outcome) {
        let mut total = Value::default();
        for phase in &outcome.value {
            total.achieved += phase.achieved;
            total.max += phase.max;
        }
        let rejected = outcome.rejected as f64;
        outcome.samples.push(Sample {
            at_s,
            threads: engines.iter().map(Engine::running_threads).collect(),
            value: Value {
                achieved: total.achieved - self.last_value.achieved,
                max: total.max - self.last_value.max,
            },
            rejected: rejected - self.last_rejected,
        });
        self.last_value = total;
        self.last_rejected = rejected;
    }
}

/// The traffic of one class.
struct ClassTraffic {
    /// Index of the class in [`CLASSES`], part of its seed and of its queries' ids.
    class_index: usize,
    dispatchers: Vec<SocketAddr>,
    seconds: f64,
    start: Instant,
    context: Arc<RunContext>,
    outcome: Arc<Mutex<Outcome>>,
}

impl ClassTraffic {
    fn run(&self, seed: u64) {
        let class = &CLASSES[self.class_index];
        let traffic = class.traffic;
        let mut rng = Pcg64::seed_from_u64(seed ^ (self.class_index as u64) << 40);
        let works = LogNormal::new(traffic.work_ms.ln(), WORK_LOG_DEVIATION)
            .expect("the deviation is finite");
        let mut at_s = CLIENT_START_DELAY_S;
        let mut query_index = 0_u64;
        let mut query_threads = Vec::new();
        while at_s < self.seconds {
            at_s += Exp::new(class.queries_per_s)
                .expect("the rate is positive")
                .sample(&mut rng);
            query_index += 1;
            let work_ms: f64 = works.sample(&mut rng);
            let tables = rng.random_range(1..30_u32);
            let mut query = ClientQuery::new(
                (self.class_index as u64 + 1) << 48 | query_index,
                &format!("/invoke/{}", traffic.name),
                traffic.name,
                &format!("select a from sales_{tables}.t where id = {query_index}"),
                traffic.max_wait_ms,
            );
            query.cost = Some(work_ms * rng.random_range(0.8..1.25));
            let true_work = traffic.query_work(work_ms, tables);
            self.context.register(query.id(), true_work);
            let dispatcher = self.dispatchers[rng.random_range(0..self.dispatchers.len())];
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(self.start.elapsed()));
            let context = self.context.clone();
            let outcome = self.outcome.clone();
            let phase = self.phase(at_s);
            query_threads.push(thread::spawn(move || {
                let response = send_query(dispatcher, &query, &context.record);
                let mut outcome = outcome.lock().expect("the lock is not poisoned");
                outcome.record(&traffic, phase, response);
            }));
            query_threads.retain(|thread| !thread.is_finished());
        }
        setup::join_all(query_threads);
    }

    /// Returns 0 before the cut, 1 during the cut and 2 after it, as an index into [`Outcome::value`].
    fn phase(&self, at_s: f64) -> usize {
        if at_s < self.seconds * CUT_BEGIN {
            0
        } else if at_s < self.seconds * CUT_END {
            1
        } else {
            2
        }
    }
}

/// Runs all seeds with and without tiers. Returns a table, and whether a rule was violated. Plots the run of the first
/// seed with tiers to the file `svg`.
pub fn run(exe: &Path, seconds: f64, seeds: u64, svg: Option<&Path>) -> (String, bool) {
    let mut table = format!(
        "{:<7} {:>5} {:>8} {:>9} {:>7} {:>11} {:>8} {:>8} {:>8} {:>7}\n",
        "tiers",
        "seed",
        "received",
        "rejected",
        "failed",
        "unanswered",
        "before",
        "cut",
        "after",
        "broken"
    );
    let mut any_violation = false;
    for seed in 1..=seeds {
        for tiers in [false, true] {
            let outcome = run_once(exe, seconds, seed, tiers);
            let [before, cut, after] = outcome
                .value
                .map(|value| value.achieved / value.max.max(1e-9));
            let _ = writeln!(
                table,
                "{tiers:<7} {seed:>5} {:>8} {:>9} {:>7} {:>11} {before:>8.3} {cut:>8.3} {after:>8.3} {:>7}",
                outcome.sent,
                outcome.rejected,
                outcome.failed,
                outcome.unanswered,
                outcome.violations.len()
            );
            for violation in outcome.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
                let _ = writeln!(table, "  {violation}");
            }
            any_violation |= !outcome.violations.is_empty();
            if let Some(svg) = svg.filter(|_| seed == 1 && tiers) {
                if let Err(error) = plot_run(svg, &outcome.samples) {
                    let _ = writeln!(table, "could not write the plot: {error}");
                }
            }
        }
    }
    (table, any_violation)
}

fn plot_run(svg: &Path, samples: &[Sample]) -> Result<(), Box<dyn std::error::Error>> {
    let column = |value: &dyn Fn(&Sample) -> f64| -> Vec<(f64, f64)> {
        samples
            .iter()
            .map(|sample| (sample.at_s, value(sample)))
            .collect()
    };
    let threads_per_core = |zone: usize| {
        let engines = zone * ENGINES_PER_ZONE..(zone + 1) * ENGINES_PER_ZONE;
        column(&|sample| {
            let threads: f64 = sample.threads[engines.clone()].iter().sum();
            threads / (ENGINES_PER_ZONE as f64 * CORES)
        })
    };
    let lines = [
        Line {
            name: "value (fraction of the maximum)",
            points: column(&|sample| sample.value.achieved / sample.value.max.max(1e-9)),
        },
        Line {
            name: "rejected in 250 ms / 10",
            points: column(&|sample| sample.rejected / 10.0),
        },
        Line {
            name: "threads per core in east (cut)",
            points: threads_per_core(0),
        },
        Line {
            name: "threads per core in west",
            points: threads_per_core(1),
        },
    ];
    let title = "A zone is cut and returns cold; three real dispatchers, stand-in engines";
    plot(svg, title, "s", &lines)
}
