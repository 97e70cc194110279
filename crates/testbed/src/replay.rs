//! The corpus on loopback through the real program, as four kinds of clients would send it: bare, with honest classes
//! and costs, and with a class guessed for all. Same seeds, same arrivals, same engines.

use crate::client::{send_query, ClientQuery};
use crate::corpus::{corpus, Labelled, Part};
use crate::engine::{Engine, EngineSpec, QueryWork, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, RetryBudget, Rules, Violation};
use crate::program::{class, free_address, used, Config, Program, TempFile};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How clients send their statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Bare,
    Honest,
    GuessLookUp,
    GuessReport,
}

impl Variant {
    pub const ALL: [Variant; 4] = [
        Variant::Honest,
        Variant::Bare,
        Variant::GuessLookUp,
        Variant::GuessReport,
    ];
}

/// Target runtime and longest wait (ms), and what one in time is worth, by class.
fn terms(class: &str) -> (f64, f64, f64) {
    match class {
        "look-up" => (150.0, 1000.0, 1.0),
        "report" => (1500.0, 3000.0, 2.0),
        _ => (1500.0, 3000.0, 3.0),
    }
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub asked: u64,
    pub answered: u64,
    pub finished: u64,
    pub deferred: u64,
    pub killed: u64,
    pub turned_away: u64,
    pub value: f64,
    pub most: f64,
    pub broken: Vec<Violation>,
    pub resident: u64,
    pub cpu_a_query: f64,
}

const OPERATOR: &str = r#"statements {
  path: "/statement"
  groups { look_up: "look" report: "report" load: "load" }
}"#;

/// Plays so many seconds of one variant at a rate of queries a second.
pub fn play(exe: &Path, variant: Variant, seconds: f64, rate: f64, seed: u64) -> Outcome {
    let world = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: 8.0,
        max_threads_a_core: 8.0,
        ..EngineSpec::default()
    };
    let engines: Vec<Engine> = (0..4)
        .map(|n| Engine::start(&format!("s-{n}"), spec, seed + n, world.clone()))
        .collect();
    let known: Vec<_> = engines.iter().map(|e| (e.id.clone(), e.address)).collect();
    let classes = [
        class("look", 150.0, 3000.0, "read_like"),
        class("report", 1500.0, 3000.0, "read_like"),
        class("load", 1500.0, 3000.0, "non_idempotent"),
    ];
    let config = Config::new(free_address(), &known, &classes, &[1, 4, 2])
        .with("settings.family-info.tells-every-us", 100_000)
        .with(
            "settings.family-info.class-load",
            serde_json::json!([false, false, true]),
        );
    let operator = TempFile::new("operator.textproto", OPERATOR);
    let operator_path = operator.0.display().to_string();
    let arguments = ["--operator", operator_path.as_str(), "--log-level", "error"];
    let mut program = Program::launch(exe, &config, &arguments, Stdio::piped());
    program.wait_until_healthy();
    let mut rng = Pcg64::seed_from_u64(seed);
    let pool: Vec<Labelled> = corpus(2, 12, seed)
        .into_iter()
        .filter(|s| s.part == Part::Measuring)
        .collect();
    let by_class = |name: &str| pool.iter().filter(|s| s.class == name).collect::<Vec<_>>();
    let mix = [
        (0.80, by_class("look-up")),
        (0.93, by_class("report")),
        (0.98, by_class("load")),
        (1.01, by_class("unknown")),
    ];
    let outcome: Arc<Mutex<Outcome>> = Arc::default();
    let start = Instant::now();
    let (mut at, mut number, mut waiting) = (0.0, 0_u64, Vec::new());
    while at < seconds {
        at += Exp::new(rate).expect("a rate above 0").sample(&mut rng);
        number += 1;
        let lot: f64 = rand::RngExt::random(&mut rng);
        let of_mix = mix
            .iter()
            .find(|(upto, _)| lot < *upto)
            .map_or(&mix[0].1, |(_, all)| all);
        let Some(labelled) = of_mix.choose(&mut rng).copied().cloned() else {
            continue;
        };
        let (target, wait, worth) = terms(labelled.class);
        let path = match variant {
            Variant::Bare => "/statement",
            Variant::GuessLookUp => "/invoke/look",
            Variant::GuessReport => "/invoke/report",
            Variant::Honest if labelled.class == "look-up" => "/invoke/look",
            Variant::Honest if labelled.class == "report" => "/invoke/report",
            Variant::Honest => "/invoke/load",
        };
        let mut query = ClientQuery::new(number, path, labelled.class, &labelled.statement, wait);
        query.cost = (variant == Variant::Honest).then_some(labelled.work);
        let truth = QueryWork {
            work: labelled.work,
            threads: labelled.threads,
            changes: labelled.effect != "read-only",
            tables: 0,
        };
        world
            .works
            .lock()
            .expect("no holder panics")
            .insert(query.id(), truth);
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let (world, outcome, to) = (world.clone(), outcome.clone(), program.listen);
        waiting.push(thread::spawn(move || {
            let got = send_query(to, &query, &world.record);
            let mut o = outcome.lock().expect("no holder panics");
            o.asked += 1;
            o.most += worth;
            let Some(got) = got else { return };
            o.answered += 1;
            match got.status {
                200 => {
                    o.finished += 1;
                    // In time it is worth all of it, later a third.
                    o.value += if got.took <= target {
                        worth
                    } else {
                        worth / 3.0
                    };
                }
                429 | 503 => o.deferred += 1,
                500 => o.killed += 1,
                _ => o.turned_away += 1,
            }
        }));
        waiting.retain(|waiting| !waiting.is_finished());
    }
    waiting.into_iter().for_each(|waiting| drop(waiting.join()));
    let (resident, cpu) = used(program.child.id()).unwrap_or((0, 0.0));
    program.terminate();
    let _ = program.end();
    let mut outcome = outcome.lock().expect("no holder panics").clone();
    outcome.broken = find_violations(&world.record.entries(), &rules(variant));
    (outcome.resident, outcome.cpu_a_query) = (resident, cpu / number as f64);
    outcome
}

/// What a class promises binds; a class that was guessed promised only to read.
fn rules(variant: Variant) -> Rules {
    let effect = |class: &str| match (variant, class) {
        (Variant::GuessLookUp | Variant::GuessReport, _) | (_, "look-up" | "report") => {
            Effect::ReadOnly
        }
        _ => Effect::NonIdempotent,
    };
    let classes: HashMap<String, ClassRules> = ["look-up", "report", "load", "unknown"]
        .map(|class| (class.to_owned(), ClassRules::of(effect(class))))
        .into();
    let retry_budget = None::<RetryBudget>;
    Rules {
        slack_ms: 50.0,
        grace_ms: 1000.0,
        warm_up: None,
        rest_ms: 0.0,
        retry_budget,
        classes,
    }
}

pub fn run(exe: &Path, seconds: f64, rate: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<12} {:>6} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}\n",
        "arm",
        "asked",
        "answered",
        "finished",
        "deferred",
        "killed",
        "away",
        "value",
        "broken",
        "RSS kB",
        "ms/query"
    );
    for variant in Variant::ALL {
        for seed in 0..seeds {
            let o = play(exe, variant, seconds, rate, seed + 1);
            let _ = writeln!(
                table,
                "{:<12} {:>6} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7.3} {:>7} {:>7} {:>8.3}",
                format!("{variant:?}"),
                o.asked,
                o.answered,
                o.finished,
                o.deferred,
                o.killed,
                o.turned_away,
                o.value / o.most.max(1.0),
                o.broken.len(),
                o.resident,
                o.cpu_a_query
            );
            for broken in o.broken.iter().take(3) {
                let _ = writeln!(table, "  {broken}");
            }
        }
    }
    table
}
