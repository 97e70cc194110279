//! Service levels on loopback: loads that swing around thresholds for minutes, and a quarter start with and without
//! levels, on the same seeds.

use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, Fault, QueryWork, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, RetryBudget, Rules, Violation};
use crate::name_service::{Endpoint, NameService};
use crate::plot::{plot, Line};
use crate::program::{class, free_address, get, Config, Program, TempFile};
use crate::record::Status;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The levels of these runs, and of the example for operators.
pub const LEVELS: &str = include_str!("../../../deploy/levels.textproto");

const CORES: f64 = 8.0;
const ENGINES: u64 = 4;

/// A class of the traffic: its part of the queries, work (ms), threads, target and longest wait (ms), worth.
struct Kind {
    name: &'static str,
    part: f64,
    work: f64,
    threads: f64,
    target: f64,
    wait: f64,
    worth: f64,
    changes: bool,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "look",
        part: 0.90,
        work: 12.0,
        threads: 1.0,
        target: 120.0,
        wait: 1500.0,
        worth: 1.0,
        changes: false,
    },
    Kind {
        name: "report",
        part: 0.08,
        work: 500.0,
        threads: 4.0,
        target: 900.0,
        wait: 3000.0,
        worth: 2.0,
        changes: false,
    },
    Kind {
        name: "load",
        part: 0.02,
        work: 400.0,
        threads: 2.0,
        target: 1500.0,
        wait: 3000.0,
        worth: 3.0,
        changes: true,
    },
];

/// Scatter (log) of works about their middle.
const SPREAD: f64 = 0.4;

/// Mean work (ms) of a query of the mix.
fn mean_work() -> f64 {
    let stretch = f64::exp(SPREAD * SPREAD / 2.0);
    KINDS
        .iter()
        .map(|kind| kind.part * kind.work * stretch)
        .sum()
}

/// Queries a second that fill all engines.
fn capacity() -> f64 {
    ENGINES as f64 * CORES * 1000.0 / mean_work()
}

/// What a run is played with.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub seconds: f64,
    pub seed: u64,
    pub levels: bool,
    /// One engine fails for the middle third.
    pub failing: bool,
    /// Load, as a part of capacity, at a part of the run.
    pub load: fn(f64, f64) -> f64,
    pub height: f64,
}

/// What came of one.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub deferred: u64,
    pub killed: u64,
    pub value: f64,
    pub most: f64,
    pub look_p99: u64,
    /// Core time spent on what nobody got in time, as a part of all that was spent.
    pub waste: f64,
    /// Deferrals that clients came back from.
    pub repeated: u64,
    pub broken: Vec<Violation>,
    /// Each quarter of a second: seconds, load, depth, late part, value a second.
    pub samples: Vec<[f64; 5]>,
    /// Changes: seconds and depths.
    pub changes: Vec<(f64, usize, usize)>,
}

fn rules() -> Rules {
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
    let retry_budget = Some(RetryBudget {
        span_ms: 10_000.0,
        free: 10.0,
        query_fraction: 0.2,
    });
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
    let known: Vec<_> = engines.iter().map(|e| (e.id.clone(), e.address)).collect();
    let effect = |kind: &Kind| {
        if kind.changes {
            "non_idempotent"
        } else {
            "read_like"
        }
    };
    let classes: Vec<_> = KINDS
        .iter()
        .map(|k| class(k.name, k.target, k.wait, effect(k)))
        .collect();
    let threads: Vec<u32> = KINDS.iter().map(|kind| kind.threads as u32).collect();
    Config::new(free_address(), &known, &classes, &threads)
        .with("resolver", names.address.to_string())
        .with("settings.limits.probes", true)
        .with("settings.limits.max-retry-after-us", 4_000_000)
        .with("settings.family-info.tells-every-us", 100_000)
        .with(
            "settings.family-info.class-load",
            json!([false, false, true]),
        )
        .with(
            "settings.rules",
            json!({"ratio-span-us": 10_000_000, "extra-free": 10, "repeat-ratio": 0.2}),
        )
}

#[derive(Default)]
struct Tally {
    outcome: Outcome,
    took: Option<Histogram<u64>>,
    useful: f64,
    /// Ends since the last sample: finished, late, value.
    since: [f64; 3],
}

/// Plays one run.
pub fn play(exe: &Path, how: Play) -> Outcome {
    let world = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: CORES,
        max_threads_a_core: 6.0,
        ..EngineSpec::default()
    };
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|n| Engine::start(&format!("s-{n}"), spec, how.seed + n, world.clone()))
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
    let operator = TempFile::new("operator.textproto", if how.levels { LEVELS } else { "" });
    let path = operator.0.display().to_string();
    let arguments = ["--operator", path.as_str(), "--log-level", "error"];
    let mut program = Program::launch(
        exe,
        &configuration(&engines, &names),
        &arguments,
        Stdio::piped(),
    );
    program.wait_until_healthy();
    let tally: Arc<Mutex<Tally>> = Arc::default();
    tally.lock().expect("no holder panics").took = Histogram::new_with_bounds(1, 60_000, 3).ok();
    let start = Instant::now();
    let listen = program.listen;
    let clients = {
        let (world, tally) = (world.clone(), tally.clone());
        thread::spawn(move || traffic(listen, how, start, &world, &tally))
    };
    let (mut samples, mut changes, mut depth) = (Vec::new(), Vec::new(), 0);
    let mut failing = false;
    while start.elapsed().as_secs_f64() < how.seconds {
        thread::sleep(Duration::from_millis(250));
        let at = start.elapsed().as_secs_f64();
        let part = at / how.seconds;
        if how.failing && failing != (0.33..0.66).contains(&part) {
            failing = !failing;
            engines[1].fault(if failing {
                Fault::Errors(0.6)
            } else {
                Fault::None
            });
        }
        let shown = get(listen, "/_levels")
            .and_then(|(.., body)| serde_json::from_str::<Value>(&body).ok());
        let now = shown.and_then(|shown| shown["depth"].as_u64()).unwrap_or(0) as usize;
        if now != depth {
            changes.push((at, depth, now));
            depth = now;
        }
        let mut tally = tally.lock().expect("no holder panics");
        let [finished, late, value] = std::mem::take(&mut tally.since);
        samples.push([
            at,
            (how.load)(part, how.height),
            now as f64,
            late / finished.max(1.0),
            value * 4.0,
        ]);
    }
    let _ = clients.join();
    program.terminate();
    let _ = program.end();
    let mut tally = tally.lock().expect("no holder panics");
    let spent: f64 = engines.iter().map(Engine::busy).sum();
    let mut outcome = std::mem::take(&mut tally.outcome);
    outcome.look_p99 = tally
        .took
        .as_ref()
        .map_or(0, |took| took.value_at_quantile(0.99));
    outcome.waste = 1.0 - tally.useful / spent.max(1.0);
    outcome.broken = find_violations(&world.record.entries(), &rules());
    (outcome.samples, outcome.changes) = (samples, changes);
    outcome
}

fn traffic(
    to: std::net::SocketAddr,
    how: Play,
    start: Instant,
    world: &Arc<RunContext>,
    tally: &Arc<Mutex<Tally>>,
) {
    let mut rng = Pcg64::seed_from_u64(how.seed);
    let (mut at, mut number, mut waiting) = (0.0, 0_u64, Vec::new());
    while at < how.seconds {
        let rate = capacity() * (how.load)(at / how.seconds, how.height).max(0.02);
        at += Exp::new(rate).expect("a rate above 0").sample(&mut rng);
        number += 1;
        let mut lot: f64 = rng.random();
        let found = KINDS.iter().find(|kind| {
            lot -= kind.part;
            lot < 0.0
        });
        let kind = found.unwrap_or(&KINDS[0]);
        let work = LogNormal::new(kind.work.ln(), SPREAD)
            .expect("a finite spread")
            .sample(&mut rng);
        let text = format!(
            "select a from sales_{}.t where id = {number}",
            rng.random_range(1..30)
        );
        let mut query = ClientQuery::new(
            number << 8,
            &format!("/invoke/{}", kind.name),
            kind.name,
            &text,
            kind.wait,
        );
        query.cost = Some(work * rng.random_range(0.8..1.25));
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let (world, tally) = (world.clone(), tally.clone());
        waiting.push(thread::spawn(move || {
            one(to, kind, query, work, &world, &tally)
        }));
        waiting.retain(|waiting| !waiting.is_finished());
    }
    waiting.into_iter().for_each(|waiting| drop(waiting.join()));
}

/// A client's query, with up to three returns after deferrals.
fn one(
    to: std::net::SocketAddr,
    kind: &Kind,
    mut query: ClientQuery,
    work: f64,
    world: &RunContext,
    tally: &Mutex<Tally>,
) {
    let from = Instant::now();
    for again in 0..4 {
        let truth = QueryWork {
            work,
            threads: kind.threads,
            changes: kind.changes,
            tables: 0,
        };
        world
            .works
            .lock()
            .expect("no holder panics")
            .insert(query.id(), truth);
        let got = send_query(to, &query, &world.record);
        let mut tally = tally.lock().expect("no holder panics");
        let o = &mut tally.outcome;
        if again == 0 {
            o.asked += 1;
            o.most += kind.worth;
        }
        let Some(got) = got else {
            o.killed += 1;
            return;
        };
        match got.status {
            200 => {
                // In time counts from the first try: a deferral is no excuse.
                let took = from.elapsed().as_secs_f64() * 1000.0;
                let in_time = took <= kind.target.max(kind.wait) && got.took <= kind.target;
                let value = if in_time {
                    kind.worth
                } else {
                    kind.worth / 3.0
                };
                o.value += value;
                *(if in_time { &mut o.in_time } else { &mut o.late }) += 1;
                tally.since[0] += 1.0;
                tally.since[1] += f64::from(u8::from(!in_time));
                tally.since[2] += value;
                tally.useful += if in_time { work } else { 0.0 };
                if let Some(took) = tally.took.as_mut().filter(|_| kind.name == "look") {
                    let _ = took.record(got.took.max(1.0) as u64);
                }
                return;
            }
            429 | 503 => {
                o.deferred += 1;
                if again == 3 {
                    return;
                }
                o.repeated += 1;
                drop(tally);
                thread::sleep(Duration::from_secs_f64(
                    got.retry_after.unwrap_or(500.0) / 1000.0,
                ));
                query.id += 1;
            }
            _ => {
                o.killed += 1;
                return;
            }
        }
    }
}

/// From calm to the height and halfway back, as a quarter starts.
fn quarter(part: f64, height: f64) -> f64 {
    0.5 + (height - 0.5) * (part * std::f64::consts::PI * 0.85).sin()
}

/// Around the thresholds: a sine, then a square, then a sawtooth, of periods from 7 to 90 s of ten minutes.
fn swings(part: f64, height: f64) -> f64 {
    let t = part * 600.0;
    let wave = match (part * 6.0) as u32 {
        0 => (t / 7.0 * std::f64::consts::TAU).sin(),
        1 => (t / 20.0 * std::f64::consts::TAU).sin().signum(),
        2 => 2.0 * (t / 61.0).fract() - 1.0,
        3 => (t / 30.0 * std::f64::consts::TAU).sin(),
        4 => (t / 45.0 * std::f64::consts::TAU).sin().signum(),
        _ => (t / 90.0 * std::f64::consts::TAU).sin(),
    };
    height + 0.45 * wave
}

/// Calm, then far beyond capacity for a third of the time, then calm.
fn step(part: f64, height: f64) -> f64 {
    if (STEP_UP..STEP_DOWN).contains(&part) {
        height
    } else {
        0.3
    }
}

const STEP_UP: f64 = 0.08;
const STEP_DOWN: f64 = 0.4;

/// How long after a step of load each level came, and full service after the step back.
pub fn reaction(exe: &Path, seconds: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<6} {:>12} {:>12} {:>12} {:>12}\n",
        "seed", "level 1 (s)", "level 2 (s)", "level 3 (s)", "full (s)"
    );
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let play = |seed| {
            let how = Play {
                seconds,
                seed,
                levels: true,
                failing: false,
                load: step,
                height: 2.2,
            };
            play(exe, how)
        };
        let running: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || play(seed)))
            .collect();
        running
            .into_iter()
            .filter_map(|running| running.join().ok())
            .collect()
    });
    for (n, o) in outcomes.iter().enumerate() {
        let first = |depth: usize| {
            o.changes
                .iter()
                .find(|(_, _, to)| *to == depth)
                .map(|c| c.0 - seconds * STEP_UP)
        };
        let full = o
            .changes
            .iter()
            .rev()
            .find(|(_, _, to)| *to == 0)
            .map(|c| c.0 - seconds * STEP_DOWN);
        let shown = |at: Option<f64>| at.map_or_else(|| "-".to_owned(), |at| format!("{at:.1}"));
        let _ = writeln!(
            table,
            "{:<6} {:>12} {:>12} {:>12} {:>12}",
            n + 1,
            shown(first(1)),
            shown(first(2)),
            shown(first(3)),
            shown(full)
        );
    }
    table
}

/// Changes of a level that lie less than a minute apart.
fn too_near(changes: &[(f64, usize, usize)]) -> usize {
    let level = |(_, from, to): &(f64, usize, usize)| *from.min(to);
    let near = |n: usize| {
        let (at, which) = (changes[n].0, level(&changes[n]));
        changes[..n]
            .iter()
            .any(|before| level(before) == which && at - before.0 < 59.5)
    };
    (0..changes.len()).filter(|n| near(*n)).count()
}

/// A load that swings around all thresholds, for so many seconds; a table, and whether a promise broke.
pub fn swing(exe: &Path, seconds: f64, svg: Option<&Path>) -> (String, bool) {
    let how = Play {
        seconds,
        seed: 1,
        levels: true,
        failing: false,
        load: swings,
        height: 1.0,
    };
    let o = play(exe, how);
    let near = too_near(&o.changes);
    let skips = o
        .changes
        .iter()
        .filter(|(_, from, to)| from.abs_diff(*to) != 1)
        .count();
    let mut table = format!(
        "{seconds:.0} s, {} asked, {} in time, {} late, {} deferred, {} killed, value {:.3} of the most\n",
        o.asked,
        o.in_time,
        o.late,
        o.deferred,
        o.killed,
        o.value / o.most.max(1.0)
    );
    for level in 0..3 {
        let count = o
            .changes
            .iter()
            .filter(|(_, from, to)| from.min(to) == &level)
            .count();
        let a_minute = count as f64 / (seconds / 60.0);
        let _ = writeln!(
            table,
            "level {}: {count} changes, {a_minute:.2} a minute",
            level + 1
        );
    }
    let _ = writeln!(
        table,
        "changes of a level less than a minute apart: {near}; steps of more than one: {skips}"
    );
    let _ = writeln!(table, "rules broken: {}", o.broken.len());
    o.broken.iter().take(5).for_each(|broken| {
        let _ = writeln!(table, "  {broken}");
    });
    if let Some(svg) = svg {
        let column =
            |n: usize, scale: f64| o.samples.iter().map(|s| (s[0], s[n] * scale)).collect();
        let top = o.samples.iter().map(|s| s[4]).fold(1.0, f64::max);
        let lines = [
            Line {
                name: "load (part of capacity)",
                points: column(1, 1.0),
            },
            Line {
                name: "level (depth)",
                points: column(2, 1.0),
            },
            Line {
                name: "late (part)",
                points: column(3, 1.0),
            },
            Line {
                name: "value a second (part of the highest)",
                points: column(4, 1.0 / top),
            },
        ];
        if let Err(e) = plot(
            svg,
            "Load around all thresholds, real program, stand-in engines",
            "s",
            &lines,
        ) {
            let _ = writeln!(table, "no plot: {e}");
        }
    }
    (table, near + skips + o.broken.len() > 0)
}

/// The same quarter start with levels and without, for several heights, with and without a failing engine.
pub fn quarters(exe: &Path, seconds: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<7} {:<8} {:<7} {:>6} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7} {:>9} {:>7} {:>7}\n",
        "height",
        "failing",
        "levels",
        "asked",
        "in time",
        "late",
        "deferred",
        "killed",
        "repeated",
        "value",
        "look p99",
        "waste",
        "broken"
    );
    for height in [1.0, 1.3, 1.6] {
        for failing in [false, true] {
            let runs: Vec<(bool, Outcome)> = thread::scope(|scope| {
                let runs = (0..seeds).flat_map(|seed| [false, true].map(|levels| (seed, levels)));
                let running: Vec<_> = runs
                    .map(|(seed, levels)| {
                        let how = Play {
                            seconds,
                            seed: seed + 1,
                            levels,
                            failing,
                            load: quarter,
                            height,
                        };
                        scope.spawn(move || (levels, play(exe, how)))
                    })
                    .collect();
                running
                    .into_iter()
                    .filter_map(|running| running.join().ok())
                    .collect()
            });
            for levels in [false, true] {
                let of: Vec<&Outcome> = runs
                    .iter()
                    .filter(|(l, _)| *l == levels)
                    .map(|(_, o)| o)
                    .collect();
                let sum = |f: fn(&Outcome) -> f64| of.iter().map(|o| f(o)).sum::<f64>();
                let many = of.len().max(1) as f64;
                let _ = writeln!(
                    table,
                    "{height:<7} {failing:<8} {levels:<7} {:>6} {:>8} {:>6} {:>9} {:>7} {:>9} {:>7.3} {:>9.0} {:>7.3} {:>7}",
                    sum(|o| o.asked as f64),
                    sum(|o| o.in_time as f64),
                    sum(|o| o.late as f64),
                    sum(|o| o.deferred as f64),
                    sum(|o| o.killed as f64),
                    sum(|o| o.repeated as f64),
                    sum(|o| o.value) / sum(|o| o.most).max(1.0),
                    sum(|o| o.look_p99 as f64) / many,
                    sum(|o| o.waste) / many,
                    sum(|o| o.broken.len() as f64),
                );
            }
        }
    }
    table
}
