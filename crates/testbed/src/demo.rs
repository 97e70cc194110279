//! Demo run: the real program under a load that rises to a peak and falls again, as at the start of a business quarter.
//! One of its stand-in engines fails and one drains.
//!
//! Start reading at [`run`].

use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, Fault, RunContext};
use crate::invariants::{find_violations, Violation};
use crate::name_service::NameService;
use crate::program::{free_address, Config, Program};
use crate::record::{Entry, EventKind, Status};
use crate::setup::{self, TrafficClass, RETRY_BUDGET};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of engines.
const ENGINES: usize = 5;
/// Cores of each engine.
const CORES: f64 = 8.0;
/// Index of the engine that fails.
const FAILING_ENGINE: usize = 1;
/// Id of the engine that drains.
const DRAINING_ENGINE: &str = "s-3";
/// Standard deviation of the logarithm of a query's work.
const WORK_LOG_DEVIATION: f64 = 0.5;

/// Interval at which the run checks for due faults and endpoint list changes.
const ACTION_POLL: Duration = Duration::from_millis(20);

/// A class of the demo's traffic.
struct DemoClass {
    traffic: TrafficClass,
    /// Queries per second at the start and the end of the run.
    base_queries_per_s: f64,
    /// Ratio of the rate at the peak to the rate at the start.
    peak_factor: f64,
}

/// Traffic classes of the demo: look-ups, reports and loads.
const CLASSES: [DemoClass; 3] = [
    DemoClass {
        traffic: TrafficClass {
            name: "look",
            work_ms: 12.0,
            threads: 1.0,
            objective_ms: 500.0,
            max_wait_ms: 1500.0,
            weight: 1.0,
            changes_tables: false,
        },
        base_queries_per_s: 90.0,
        peak_factor: 2.0,
    },
    DemoClass {
        traffic: TrafficClass {
            name: "report",
            work_ms: 700.0,
            threads: 4.0,
            objective_ms: 1000.0,
            max_wait_ms: 3000.0,
            weight: 1.0,
            changes_tables: false,
        },
        base_queries_per_s: 9.0,
        peak_factor: 4.0,
    },
    DemoClass {
        traffic: TrafficClass {
            name: "load",
            work_ms: 500.0,
            threads: 2.0,
            objective_ms: 1000.0,
            max_wait_ms: 3000.0,
            weight: 1.0,
            changes_tables: true,
        },
        base_queries_per_s: 2.0,
        peak_factor: 3.0,
    },
];

/// Counts and latencies of a class's queries.
#[derive(Debug)]
struct ClassOutcome {
    sent: u64,
    completed: u64,
    rejected: u64,
    failed: u64,
    latencies_ms: Histogram<u64>,
}

impl ClassOutcome {
    fn new() -> Self {
        ClassOutcome {
            sent: 0,
            completed: 0,
            rejected: 0,
            failed: 0,
            latencies_ms: Histogram::new_with_bounds(1, 60_000, 3)
                .expect("the bounds are in order"),
        }
    }
}

type Outcomes = Mutex<BTreeMap<&'static str, ClassOutcome>>;

/// The results of a run.
#[derive(Debug)]
pub struct Report {
    /// Human-readable table.
    pub table: String,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

/// A fault or a change of the endpoint list, executed at a fraction of the run.
struct TimedAction<'a> {
    at_fraction: f64,
    act: Box<dyn Fn() + 'a>,
}

fn timed_actions<'a>(engines: &'a [Engine], names: &'a NameService) -> Vec<TimedAction<'a>> {
    let failing = &engines[FAILING_ENGINE];
    let timed = |at_fraction, act: Box<dyn Fn() + 'a>| TimedAction { at_fraction, act };
    vec![
        timed(0.25, Box::new(|| failing.inject_fault(Fault::Errors(0.7)))),
        timed(0.40, Box::new(|| failing.inject_fault(Fault::Silent))),
        timed(
            0.50,
            Box::new(|| names.set_status(DRAINING_ENGINE, Status::Draining)),
        ),
        timed(0.60, Box::new(|| failing.inject_fault(Fault::None))),
        timed(
            0.75,
            Box::new(|| names.set_status(DRAINING_ENGINE, Status::Gone)),
        ),
    ]
}

fn traffic_classes() -> Vec<TrafficClass> {
    CLASSES.iter().map(|class| class.traffic).collect()
}

fn configuration(engines: &[Engine], names: &NameService) -> Config {
    let config = setup::traffic_config(free_address(), engines, &traffic_classes())
        .with("resolver", names.address.to_string());
    setup::with_retry_budget(config)
}

/// Runs the demo for `seconds` with random draws from `seed`. Prints progress to standard error unless `quiet` is set.
pub fn run(exe: &Path, seconds: f64, seed: u64, quiet: bool) -> Report {
    let context = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: CORES,
        ..EngineSpec::default()
    };
    let engines = setup::start_engines(ENGINES, spec, seed, &context);
    let names = setup::start_name_service(&engines, &context);
    let config = configuration(&engines, &names);
    let mut program = Program::launch(exe, &config, &["--log-level", "error"], Stdio::piped());
    program.wait_until_healthy();
    let new_outcome = |class: &DemoClass| (class.traffic.name, ClassOutcome::new());
    let outcomes: Arc<Outcomes> = Arc::new(Mutex::new(CLASSES.iter().map(new_outcome).collect()));
    let start = Instant::now();
    let clients = spawn_clients(program.listen, seconds, seed, &context, &outcomes);
    let mut last_progress_s = 0;
    let mut actions = timed_actions(&engines, &names).into_iter().peekable();
    while start.elapsed().as_secs_f64() < seconds {
        thread::sleep(ACTION_POLL);
        let fraction = start.elapsed().as_secs_f64() / seconds;
        while let Some(action) = actions.next_if(|action| fraction >= action.at_fraction) {
            (action.act)();
        }
        let elapsed_s = start.elapsed().as_secs();
        if elapsed_s > last_progress_s && !quiet {
            last_progress_s = elapsed_s;
            eprintln!("{}", progress(elapsed_s, &outcomes, &engines));
        }
    }
    setup::join_all(clients);
    program.terminate();
    let _ = program.wait_for_exit();
    let duration_ms = start.elapsed().as_secs_f64() * 1000.0;
    report(&context.record.entries(), &outcomes, &engines, duration_ms)
}

/// Checks the rules and returns the report on a run that took `duration_ms`.
fn report(entries: &[Entry], outcomes: &Outcomes, engines: &[Engine], duration_ms: f64) -> Report {
    let rules = setup::rules(&traffic_classes(), Some(RETRY_BUDGET));
    let violations = find_violations(entries, &rules);
    let mut table = class_table(outcomes);
    table += &engine_table(entries, engines, duration_ms);
    if violations.is_empty() {
        table += "rules: all seven kept\n";
    }
    for violation in &violations {
        let _ = writeln!(table, "violation: {violation}");
    }
    Report { table, violations }
}

/// Starts one thread per class. Each thread draws arrival times and starts one thread per query.
fn spawn_clients(
    dispatcher: SocketAddr,
    seconds: f64,
    seed: u64,
    context: &Arc<RunContext>,
    outcomes: &Arc<Outcomes>,
) -> Vec<thread::JoinHandle<()>> {
    let start = Instant::now();
    CLASSES
        .iter()
        .enumerate()
        .map(|(class_index, class)| {
            let traffic = ClassTraffic {
                class,
                class_index: class_index as u64,
                dispatcher,
                seconds,
                start,
                context: context.clone(),
                outcomes: outcomes.clone(),
            };
            thread::spawn(move || traffic.run(seed))
        })
        .collect()
}

/// The traffic of one class.
struct ClassTraffic {
    class: &'static DemoClass,
    /// Index of the class, part of its seed and of its queries' ids.
    class_index: u64,
    dispatcher: SocketAddr,
    seconds: f64,
    start: Instant,
    context: Arc<RunContext>,
    outcomes: Arc<Outcomes>,
}

impl ClassTraffic {
    fn run(&self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed ^ self.class_index << 32);
        let class = self.class;
        let works = LogNormal::new(class.traffic.work_ms.ln(), WORK_LOG_DEVIATION)
            .expect("the deviation is finite");
        let mut at_s = 0.0;
        let mut query_index = 0_u64;
        let mut query_threads = Vec::new();
        while at_s < self.seconds {
            at_s += Exp::new(self.queries_per_s(at_s))
                .expect("the rate is positive")
                .sample(&mut rng);
            query_index += 1;
            let work_ms: f64 = works.sample(&mut rng);
            let tables = rng.random_range(1..30_u32);
            let mut query = ClientQuery::new(
                (self.class_index + 1) << 48 | query_index,
                &format!("/invoke/{}", class.traffic.name),
                class.traffic.name,
                &statement(class.traffic.name, tables, query_index),
                class.traffic.max_wait_ms,
            );
            query.cost = Some(work_ms * rng.random_range(0.7..1.4));
            let true_work = class.traffic.query_work(work_ms, tables);
            self.context.register(query.id(), true_work);
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(self.start.elapsed()));
            query_threads.push(self.spawn_query(query));
            query_threads.retain(|thread| !thread.is_finished());
        }
        setup::join_all(query_threads);
    }

    /// Returns the arrival rate at a time: half a sine wave, from the base rate to the peak and back.
    fn queries_per_s(&self, at_s: f64) -> f64 {
        let ramp = (at_s / self.seconds * std::f64::consts::PI).sin().max(0.0);
        self.class.base_queries_per_s * (1.0 + (self.class.peak_factor - 1.0) * ramp)
    }

    fn spawn_query(&self, query: ClientQuery) -> thread::JoinHandle<()> {
        let context = self.context.clone();
        let outcomes = self.outcomes.clone();
        let dispatcher = self.dispatcher;
        let name = self.class.traffic.name;
        thread::spawn(move || {
            let response = send_query(dispatcher, &query, &context.record);
            let mut outcomes = outcomes.lock().expect("the lock is not poisoned");
            let Some(outcome) = outcomes.get_mut(name) else {
                return;
            };
            outcome.sent += 1;
            match response.as_ref().map(|response| response.status) {
                Some(200) => outcome.completed += 1,
                Some(429 | 503) => outcome.rejected += 1,
                _ => outcome.failed += 1,
            }
            if let Some(response) = response.filter(|response| response.status == 200) {
                let latency_ms = response.latency_ms.max(1.0) as u64;
                let _ = outcome.latencies_ms.record(latency_ms);
            }
        })
    }
}

fn statement(class: &str, tables: u32, index: u64) -> String {
    match class {
        "look" => format!("select rate from sales_{tables}.lanes where id = {index}"),
        "report" => format!(
            "select lane, sum(rate) from sales_{tables}.history where day > '{index}' group by lane"
        ),
        _ => format!(
            "insert into sales_{tables}.lanes select * from staging.lanes where batch = {index}"
        ),
    }
}

fn progress(elapsed_s: u64, outcomes: &Outcomes, engines: &[Engine]) -> String {
    let outcomes = outcomes.lock().expect("the lock is not poisoned");
    let sum = |count: fn(&ClassOutcome) -> u64| outcomes.values().map(count).sum::<u64>();
    let threads: Vec<String> = engines
        .iter()
        .map(|engine| format!("{}:{:>2.0}", engine.id, engine.running_threads()))
        .collect();
    format!(
        "{elapsed_s:>3} s  received {:>5}  completed {:>5}  rejected {:>4}  failed {:>3}  threads {}",
        sum(|outcome| outcome.sent),
        sum(|outcome| outcome.completed),
        sum(|outcome| outcome.rejected),
        sum(|outcome| outcome.failed),
        threads.join(" ")
    )
}

fn class_table(outcomes: &Outcomes) -> String {
    let mut table = format!(
        "{:<8} {:>7} {:>9} {:>9} {:>7} {:>8} {:>8}\n",
        "class", "received", "completed", "rejected", "failed", "p50 ms", "p99 ms"
    );
    for (name, outcome) in &*outcomes.lock().expect("the lock is not poisoned") {
        let p50 = outcome.latencies_ms.value_at_quantile(0.5);
        let p99 = outcome.latencies_ms.value_at_quantile(0.99);
        let _ = writeln!(
            table,
            "{name:<8} {:>7} {:>9} {:>9} {:>7} {p50:>8} {p99:>8}",
            outcome.sent, outcome.completed, outcome.rejected, outcome.failed
        );
    }
    table
}

fn engine_table(entries: &[Entry], engines: &[Engine], duration_ms: f64) -> String {
    let mut attempts: HashMap<&str, u64> = HashMap::new();
    for entry in entries {
        if let EventKind::Arrived { engine, .. } = &entry.event {
            *attempts.entry(engine).or_default() += 1;
        }
    }
    let mut table = format!("{:<8} {:>12} {:>12}\n", "engine", "attempts", "load");
    for engine in engines {
        let load = engine.used_core_ms() / (CORES * duration_ms);
        let count = attempts.get(engine.id.as_str()).copied().unwrap_or(0);
        let _ = writeln!(
            table,
            "{:<8} {count:>12} {:>11.0}%",
            engine.id,
            load * 100.0
        );
    }
    table
}
