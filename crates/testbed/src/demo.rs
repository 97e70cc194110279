//! Half a minute of a quarter start: stand-in engines, one that fails and one that drains, and the real program.

use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, Fault, QueryWork, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, RetryBudget, Rules, Violation};
use crate::name_service::{Endpoint, NameService};
use crate::program::{class, free_address, Config, Program};
use crate::record::{EventKind, Status};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A class of the demo's traffic.
struct Kind {
    name: &'static str,
    /// Queries a second when calm, and how many times that at the height.
    rate: f64,
    height: f64,
    work: f64,
    threads: f64,
    wait: f64,
    changes: bool,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "look",
        rate: 90.0,
        height: 2.0,
        work: 12.0,
        threads: 1.0,
        wait: 1500.0,
        changes: false,
    },
    Kind {
        name: "report",
        rate: 9.0,
        height: 4.0,
        work: 700.0,
        threads: 4.0,
        wait: 3000.0,
        changes: false,
    },
    Kind {
        name: "load",
        rate: 2.0,
        height: 3.0,
        work: 500.0,
        threads: 2.0,
        wait: 3000.0,
        changes: true,
    },
];

/// What became of a class's queries.
#[derive(Debug)]
struct Outcome {
    asked: u64,
    finished: u64,
    deferred: u64,
    killed: u64,
    took: Histogram<u64>,
}

/// What a run ended with: a table, and the rules that were broken.
#[derive(Debug)]
pub struct Report {
    pub table: String,
    pub broken: Vec<Violation>,
}

/// Rules with the figures of the configuration below.
fn rules() -> Rules {
    let retry_budget = Some(RetryBudget {
        span_ms: 10_000.0,
        free: 10.0,
        query_fraction: 0.2,
    });
    let effect = |kind: &Kind| {
        if kind.changes {
            Effect::NonIdempotent
        } else {
            Effect::ReadOnly
        }
    };
    let classes = KINDS
        .iter()
        .map(|kind| (kind.name.to_owned(), ClassRules::of(effect(kind))))
        .collect();
    Rules {
        slack_ms: 50.0,
        grace_ms: 1000.0,
        warm_up: None,
        rest_ms: 0.0,
        retry_budget,
        classes,
    }
}

fn configuration(engines: &[Engine], names: &NameService) -> Config {
    let known: Vec<(String, std::net::SocketAddr)> =
        engines.iter().map(|e| (e.id.clone(), e.address)).collect();
    let effect = |kind: &Kind| {
        if kind.changes {
            "non_idempotent"
        } else {
            "read_like"
        }
    };
    let classes: Vec<_> = KINDS
        .iter()
        .map(|k| class(k.name, k.wait / 3.0, k.wait, effect(k)))
        .collect();
    let threads: Vec<u32> = KINDS.iter().map(|kind| kind.threads as u32).collect();
    Config::new(free_address(), &known, &classes, &threads)
        .with("resolver", names.address.to_string())
        .with("settings.limits.probes", true)
        .with("settings.family-info.tells-every-us", 100_000)
        .with(
            "settings.family-info.class-load",
            serde_json::json!([false, false, true]),
        )
        .with(
            "settings.rules",
            serde_json::json!({
                "ratio-span-us": 10_000_000, "extra-free": 10, "repeat-ratio": 0.2
            }),
        )
}

/// Plays `seconds` of it with everything drawn from `seed`; progress goes to standard error.
pub fn run(exe: &Path, seconds: f64, seed: u64, quiet: bool) -> Report {
    let world = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: 8.0,
        ..EngineSpec::default()
    };
    let engines: Vec<Engine> = (0..5)
        .map(|n| Engine::start(&format!("s-{n}"), spec, seed + n, world.clone()))
        .collect();
    let listed = |e: &Engine| Endpoint {
        id: e.id.clone(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: e.address,
        status: Status::Ready,
        started: 0.0,
    };
    let names = NameService::start(engines.iter().map(listed).collect(), world.record.clone());
    let mut program = Program::launch(
        exe,
        &configuration(&engines, &names),
        &["--log-level", "error"],
        Stdio::piped(),
    );
    program.wait_until_healthy();
    let outcomes: Arc<Mutex<BTreeMap<&'static str, Outcome>>> = Arc::default();
    for kind in &KINDS {
        let took = Histogram::new_with_bounds(1, 60_000, 3).expect("bounds in order");
        let none = Outcome {
            asked: 0,
            finished: 0,
            deferred: 0,
            killed: 0,
            took,
        };
        outcomes
            .lock()
            .expect("no holder panics")
            .insert(kind.name, none);
    }
    let from = Instant::now();
    let clients = traffic(program.listen, seconds, seed, &world, &outcomes);
    let mut told = 0;
    let mut faults = vec![
        (
            0.25,
            Box::new(|| engines[1].fault(Fault::Errors(0.7))) as Box<dyn Fn()>,
        ),
        (0.40, Box::new(|| engines[1].fault(Fault::Silent))),
        (0.50, Box::new(|| names.set("s-3", Status::Draining))),
        (0.60, Box::new(|| engines[1].fault(Fault::None))),
        (0.75, Box::new(|| names.set("s-3", Status::Gone))),
    ];
    while from.elapsed().as_secs_f64() < seconds {
        thread::sleep(Duration::from_millis(20));
        let part = from.elapsed().as_secs_f64() / seconds;
        while faults.first().is_some_and(|(at, _)| part >= *at) {
            faults.remove(0).1();
        }
        let second = from.elapsed().as_secs();
        if second > told && !quiet {
            told = second;
            eprintln!("{}", progress(second, &outcomes, &engines));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    program.terminate();
    let _ = program.end();
    let entries = world.record.entries();
    let broken = find_violations(&entries, &rules());
    let mut table = by_class(&outcomes);
    table += &by_engine(&entries, &engines, from.elapsed().as_secs_f64() * 1000.0);
    if broken.is_empty() {
        table += "rules: all seven kept\n";
    }
    for broken in &broken {
        let _ = writeln!(table, "broken: {broken}");
    }
    Report { table, broken }
}

/// One thread for each class draws arrivals; one for each query waits for its answer.
fn traffic(
    to: std::net::SocketAddr,
    seconds: f64,
    seed: u64,
    world: &Arc<RunContext>,
    outcomes: &Arc<Mutex<BTreeMap<&'static str, Outcome>>>,
) -> Vec<thread::JoinHandle<()>> {
    let start = Instant::now();
    let sender = |(n, kind): (usize, &'static Kind)| {
        let (world, outcomes) = (world.clone(), outcomes.clone());
        thread::spawn(move || {
            let mut rng = Pcg64::seed_from_u64(seed ^ (n as u64) << 32);
            let works = LogNormal::new(kind.work.ln(), 0.5).expect("a finite spread");
            let (mut at, mut number, mut waiting) = (0.0, 0_u64, Vec::new());
            while at < seconds {
                // A quarter start: from calm to its height and halfway back.
                let height = (at / seconds * std::f64::consts::PI).sin().max(0.0);
                let rate = kind.rate * (1.0 + (kind.height - 1.0) * height);
                at += Exp::new(rate).expect("a rate above 0").sample(&mut rng);
                number += 1;
                let work: f64 = works.sample(&mut rng);
                let tables = rng.random_range(1..30_u32);
                let text = match kind.name {
                    "look" => format!("select rate from sales_{tables}.lanes where id = {number}"),
                    "report" => format!("select lane, sum(rate) from sales_{tables}.history where day > '{number}' group by lane"),
                    _ => format!("insert into sales_{tables}.lanes select * from staging.lanes where batch = {number}"),
                };
                let id = (n as u64 + 1) << 48 | number;
                let mut query = ClientQuery::new(
                    id,
                    &format!("/invoke/{}", kind.name),
                    kind.name,
                    &text,
                    kind.wait,
                );
                query.cost = Some(work * rng.random_range(0.7..1.4));
                let truth = QueryWork {
                    work,
                    threads: kind.threads,
                    changes: kind.changes,
                    tables,
                };
                world
                    .works
                    .lock()
                    .expect("no holder panics")
                    .insert(query.id(), truth);
                thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
                let (world, outcomes) = (world.clone(), outcomes.clone());
                waiting.push(thread::spawn(move || {
                    let got = send_query(to, &query, &world.record);
                    let mut outcomes = outcomes.lock().expect("no holder panics");
                    let Some(outcome) = outcomes.get_mut(kind.name) else {
                        return;
                    };
                    outcome.asked += 1;
                    match got.as_ref().map(|got| got.status) {
                        Some(200) => outcome.finished += 1,
                        Some(429 | 503) => outcome.deferred += 1,
                        _ => outcome.killed += 1,
                    }
                    if let Some(got) = got.filter(|got| got.status == 200) {
                        let _ = outcome.took.record(got.took.max(1.0) as u64);
                    }
                }));
                waiting.retain(|waiting| !waiting.is_finished());
            }
            waiting.into_iter().for_each(|waiting| drop(waiting.join()));
        })
    };
    KINDS.iter().enumerate().map(sender).collect()
}

fn progress(
    second: u64,
    outcomes: &Mutex<BTreeMap<&'static str, Outcome>>,
    engines: &[Engine],
) -> String {
    let outcomes = outcomes.lock().expect("no holder panics");
    let sum = |of: fn(&Outcome) -> u64| outcomes.values().map(of).sum::<u64>();
    let threads: Vec<String> = engines
        .iter()
        .map(|e| format!("{}:{:>2.0}", e.id, e.threads()))
        .collect();
    format!(
        "{second:>3} s  asked {:>5}  finished {:>5}  deferred {:>4}  killed {:>3}  threads {}",
        sum(|o| o.asked),
        sum(|o| o.finished),
        sum(|o| o.deferred),
        sum(|o| o.killed),
        threads.join(" ")
    )
}

fn by_class(outcomes: &Mutex<BTreeMap<&'static str, Outcome>>) -> String {
    let mut table = format!(
        "{:<8} {:>7} {:>9} {:>9} {:>7} {:>8} {:>8}\n",
        "class", "asked", "finished", "deferred", "killed", "p50 ms", "p99 ms"
    );
    for (name, o) in &*outcomes.lock().expect("no holder panics") {
        let (p50, p99) = (
            o.took.value_at_quantile(0.5),
            o.took.value_at_quantile(0.99),
        );
        let _ = writeln!(
            table,
            "{name:<8} {:>7} {:>9} {:>9} {:>7} {p50:>8} {p99:>8}",
            o.asked, o.finished, o.deferred, o.killed
        );
    }
    table
}

fn by_engine(entries: &[crate::record::Entry], engines: &[Engine], lasted: f64) -> String {
    let mut arrived: HashMap<&str, u64> = HashMap::new();
    for entry in entries {
        if let EventKind::Arrived { engine, .. } = &entry.event {
            *arrived.entry(engine).or_default() += 1;
        }
    }
    let mut table = format!("{:<8} {:>12} {:>12}\n", "engine", "submissions", "load");
    for engine in engines {
        let load = engine.busy() / (8.0 * lasted);
        let count = arrived.get(engine.id.as_str()).copied().unwrap_or(0);
        let _ = writeln!(
            table,
            "{:<8} {count:>12} {:>11.0}%",
            engine.id,
            load * 100.0
        );
    }
    table
}
