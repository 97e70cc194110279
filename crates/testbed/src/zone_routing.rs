//! Two zones of stand-in engines and several real dispatchers: one zone falls silent and comes back cold, with tiers
//! and without, on the same seeds.

use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, Fault, QueryWork, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, Rules, Violation};
use crate::plot::{plot, Line};
use crate::program::{class, free_address, free_udp_address, Config, Program, TempFile};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DISPATCHERS: usize = 3;
const ZONES: [&str; 2] = ["east", "west"];
const EACH: usize = 3;
const CORES: f64 = 8.0;
const OPERATOR: &str = include_str!("../../../deploy/halls.textproto");

/// Name, queries a second, work (ms), threads, target, wait (ms), worth, whether it changes tables.
type Kind = (&'static str, f64, f64, f64, f64, f64, f64, bool);
const KINDS: [Kind; 3] = [
    ("look", 420.0, 12.0, 1.0, 120.0, 1500.0, 1.0, false),
    ("report", 22.0, 500.0, 4.0, 900.0, 3000.0, 2.0, false),
    ("load", 5.0, 400.0, 2.0, 1500.0, 3000.0, 3.0, true),
];

/// What came of a run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Worth got and asked: before the cut, during it, after it.
    value: [(f64, f64); 3],
    asked: u64,
    deferred: u64,
    killed: u64,
    unanswered: u64,
    broken: Vec<Violation>,
    /// Seconds, then threads of each engine, then worth got and asked in a quarter of a second, then deferrals.
    samples: Vec<(f64, Vec<f64>, f64, f64, f64)>,
}

fn config(n: usize, engines: &[Engine], peers: &[SocketAddr]) -> Config {
    let known: Vec<_> = engines.iter().map(|e| (e.id.clone(), e.address)).collect();
    let effect = |kind: &Kind| {
        if kind.7 {
            "non_idempotent"
        } else {
            "read_like"
        }
    };
    let classes: Vec<_> = KINDS
        .iter()
        .map(|kind| class(kind.0, kind.4, kind.5, effect(kind)))
        .collect();
    let threads: Vec<u32> = KINDS.iter().map(|kind| kind.3 as u32).collect();
    let each: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let mut config = Config::new(free_address(), &known, &classes, &threads)
        .with("name", format!("n{n}"))
        .with("seed", format!("{}", n + 1))
        .with("settings.zone", ZONES[n % 2])
        .with("settings.balancers", DISPATCHERS)
        .with("settings.me", n)
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
        .with("peer_listen", peers[n].to_string())
        .with("peers", json!(each));
    for engine in 0..engines.len() {
        config = config.with(
            &format!("known.cmds.0.nodes.instances.{engine}.zone"),
            ZONES[engine / EACH],
        );
    }
    config
}

/// Plays one run: a cut from a quarter of it to the half.
pub fn play(exe: &Path, seconds: f64, seed: u64, tiers: bool) -> Outcome {
    let world = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: CORES,
        cold_from: 0.25,
        warm_after: 8000.0,
        ..EngineSpec::default()
    };
    let many = ZONES.len() * EACH;
    let engines: Vec<Engine> = (0..many)
        .map(|n| Engine::start(&format!("s-{n}"), spec, seed + n as u64, world.clone()))
        .collect();
    let peers: Vec<SocketAddr> = (0..DISPATCHERS).map(|_| free_udp_address()).collect();
    let operator = TempFile::new("operator.textproto", if tiers { OPERATOR } else { "" });
    let path = operator.0.display().to_string();
    let start = |n| {
        Program::launch(
            exe,
            &config(n, &engines, &peers),
            &["--operator", &path, "--log-level", "error"],
            Stdio::piped(),
        )
    };
    let mut programs: Vec<Program> = (0..DISPATCHERS).map(start).collect();
    programs.iter().for_each(Program::wait_until_healthy);
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let begins = Instant::now();
    // Engines have been warm for long when clients come.
    thread::sleep(Duration::from_millis(200));
    let listens: Vec<SocketAddr> = programs.iter().map(|program| program.listen).collect();
    let clients: Vec<_> = (0..KINDS.len())
        .map(|kind| {
            let (listens, world, outcome) = (listens.clone(), world.clone(), outcome.clone());
            thread::spawn(move || traffic(kind, &listens, seconds, seed, begins, &world, &outcome))
        })
        .collect();
    let (mut cut, mut back) = (false, false);
    let mut last = (0.0, 0.0, 0.0);
    while begins.elapsed().as_secs_f64() < seconds {
        thread::sleep(Duration::from_millis(250));
        let at = begins.elapsed().as_secs_f64();
        let part = at / seconds;
        if part >= 0.25 && !cut {
            cut = true;
            engines[..EACH]
                .iter()
                .for_each(|engine| engine.fault(Fault::Silent));
        }
        if part >= 0.5 && !back {
            back = true;
            engines[..EACH].iter().for_each(|engine| {
                engine.fault(Fault::None);
                engine.restart_cold();
            });
        }
        let mut o = outcome.lock().expect("no holder panics");
        let (got, most): (f64, f64) = o
            .value
            .iter()
            .fold((0.0, 0.0), |sum, v| (sum.0 + v.0, sum.1 + v.1));
        let deferred = o.deferred as f64;
        let threads = engines.iter().map(Engine::threads).collect();
        o.samples
            .push((at, threads, got - last.0, most - last.1, deferred - last.2));
        last = (got, most, deferred);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    programs.iter().for_each(Program::terminate);
    programs.iter_mut().for_each(|program| drop(program.end()));
    let mut outcome = outcome.lock().expect("no holder panics").clone();
    let effect = |kind: &Kind| {
        if kind.7 {
            Effect::NonIdempotent
        } else {
            Effect::ReadOnly
        }
    };
    let classes = KINDS
        .iter()
        .map(|kind| (kind.0.to_owned(), ClassRules::of(effect(kind))))
        .collect();
    let rules = Rules {
        slack_ms: 50.0,
        grace_ms: 1000.0,
        warm_up: None,
        rest_ms: 0.0,
        retry_budget: None,
        classes,
    };
    outcome.broken = find_violations(&world.record.entries(), &rules);
    outcome
}

fn traffic(
    n: usize,
    to: &[SocketAddr],
    seconds: f64,
    seed: u64,
    begins: Instant,
    world: &Arc<RunContext>,
    outcome: &Arc<Mutex<Outcome>>,
) {
    let (name, rate, work, threads, target, wait, worth, changes) = KINDS[n];
    let mut rng = Pcg64::seed_from_u64(seed ^ (n as u64) << 40);
    let works = LogNormal::new(work.ln(), 0.4).expect("a finite spread");
    let (mut at, mut number, mut waiting) = (0.2, 0_u64, Vec::new());
    while at < seconds {
        at += Exp::new(rate).expect("a rate above 0").sample(&mut rng);
        number += 1;
        let work: f64 = works.sample(&mut rng);
        let tables = rng.random_range(1..30_u32);
        let text = format!("select a from sales_{tables}.t where id = {number}");
        let mut query = ClientQuery::new(
            (n as u64 + 1) << 48 | number,
            &format!("/invoke/{name}"),
            name,
            &text,
            wait,
        );
        query.cost = Some(work * rng.random_range(0.8..1.25));
        world.works.lock().expect("no holder panics").insert(
            query.id(),
            QueryWork {
                work,
                threads,
                changes,
                tables,
            },
        );
        let listen = to[rng.random_range(0..to.len())];
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(begins.elapsed()));
        let (world, outcome) = (world.clone(), outcome.clone());
        let phase = if at < seconds * 0.25 {
            0
        } else if at < seconds * 0.5 {
            1
        } else {
            2
        };
        waiting.push(thread::spawn(move || {
            let got = send_query(listen, &query, &world.record);
            let mut o = outcome.lock().expect("no holder panics");
            o.asked += 1;
            o.value[phase].1 += worth;
            match got {
                None => o.unanswered += 1,
                Some(got) => match got.status {
                    200 => {
                        o.value[phase].0 += if got.took <= target {
                            worth
                        } else {
                            worth / 3.0
                        }
                    }
                    429 | 503 => o.deferred += 1,
                    _ => o.killed += 1,
                },
            }
        }));
        waiting.retain(|waiting| !waiting.is_finished());
    }
    waiting.into_iter().for_each(|waiting| drop(waiting.join()));
}

/// All seeds with tiers and without; a table, and whether a rule broke.
pub fn run(exe: &Path, seconds: f64, seeds: u64, svg: Option<&Path>) -> (String, bool) {
    let mut table = format!(
        "{:<7} {:>5} {:>7} {:>9} {:>7} {:>11} {:>8} {:>8} {:>8} {:>7}\n",
        "tiers",
        "seed",
        "asked",
        "deferred",
        "killed",
        "unanswered",
        "before",
        "cut",
        "after",
        "broken"
    );
    let mut any = false;
    for seed in 1..=seeds {
        for tiers in [false, true] {
            let o = play(exe, seconds, seed, tiers);
            let [before, cut, after] = o.value.map(|(got, most)| got / most.max(1e-9));
            let _ = writeln!(
                table,
                "{tiers:<7} {seed:>5} {:>7} {:>9} {:>7} {:>11} {before:>8.3} {cut:>8.3} {after:>8.3} {:>7}",
                o.asked,
                o.deferred,
                o.killed,
                o.unanswered,
                o.broken.len()
            );
            for broken in o.broken.iter().take(3) {
                let _ = writeln!(table, "  {broken}");
            }
            any |= !o.broken.is_empty();
            if let Some(svg) = svg.filter(|_| seed == 1 && tiers) {
                let zone = |zone: usize| -> Vec<(f64, f64)> {
                    let of = zone * EACH..(zone + 1) * EACH;
                    o.samples
                        .iter()
                        .map(|s| {
                            (
                                s.0,
                                s.1[of.clone()].iter().sum::<f64>() / (EACH as f64 * CORES),
                            )
                        })
                        .collect()
                };
                let value = o
                    .samples
                    .iter()
                    .map(|s| (s.0, s.2 / s.3.max(1e-9)))
                    .collect();
                let deferred = o.samples.iter().map(|s| (s.0, s.4 / 10.0)).collect();
                let lines = [
                    Line {
                        name: "value (part of the worth asked)",
                        points: value,
                    },
                    Line {
                        name: "deferred in 250 ms / 10",
                        points: deferred,
                    },
                    Line {
                        name: "threads a core in east (cut)",
                        points: zone(0),
                    },
                    Line {
                        name: "threads a core in west",
                        points: zone(1),
                    },
                ];
                if let Err(e) = plot(
                    svg,
                    "A hall is cut and comes back cold; three real dispatchers, stand-in engines",
                    "s",
                    &lines,
                ) {
                    let _ = writeln!(table, "no plot: {e}");
                }
            }
        }
    }
    (table, any)
}
