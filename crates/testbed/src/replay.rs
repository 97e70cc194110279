//! Sends the corpus through the real program on loopback as four kinds of clients would: without classes, with true classes
//! and costs, and with one class guessed for all statements. Seeds, arrivals and engines are the same for all kinds.
//!
//! Start reading at [`run_variant`].

use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::corpus::{corpus, LabelledStatement, Split};
use crate::engine::{Engine, EngineSpec, QueryWork, ResultShape, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, Rules, Violation};
use crate::program::{class, free_address, used, Config, TempFile};
use crate::setup;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tansymux::settings::keys;

/// Number of engines.
const ENGINES: usize = 4;
/// Violations that the table shows of each run.
const SHOWN_VIOLATIONS: usize = 3;

/// How clients send their statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Without a class or a cost.
    Bare,
    /// With the true class and cost.
    Honest,
    /// All as look-ups, without a cost.
    GuessLookUp,
    /// All as reports, without a cost.
    GuessReport,
}

impl Variant {
    /// All variants, in the order of the table.
    pub const ALL: [Variant; 4] = [
        Variant::Honest,
        Variant::Bare,
        Variant::GuessLookUp,
        Variant::GuessReport,
    ];

    /// The path to which a statement of a class is sent.
    fn path(self, class: &str) -> &'static str {
        match self {
            Variant::Bare => "/statement",
            Variant::GuessLookUp => "/invoke/look",
            Variant::GuessReport => "/invoke/report",
            Variant::Honest if class == "look-up" => "/invoke/look",
            Variant::Honest if class == "report" => "/invoke/report",
            Variant::Honest => "/invoke/load",
        }
    }
}

/// What clients of a class expect.
#[derive(Debug, Clone, Copy)]
struct Expectation {
    objective_ms: f64,
    max_wait_ms: f64,
    /// Value of an answer in time.
    weight: f64,
}

fn expectation(class: &str) -> Expectation {
    let (objective_ms, max_wait_ms, weight) = match class {
        "look-up" => (150.0, 1000.0, 1.0),
        "report" => (1500.0, 3000.0, 2.0),
        _ => (1500.0, 3000.0, 3.0),
    };
    Expectation {
        objective_ms,
        max_wait_ms,
        weight,
    }
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Queries sent.
    pub asked: u64,
    /// Queries that got any response.
    pub answered: u64,
    /// Queries that were run.
    pub completed: u64,
    /// Rejections.
    pub rejected: u64,
    /// Final errors.
    pub failed: u64,
    /// Other responses.
    pub refused: u64,
    /// Value of all answers.
    pub value: f64,
    /// Value if all had been answered in time.
    pub max_value: f64,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Resident memory of the program at the end (kB).
    pub resident_kb: u64,
    /// Processor time of the program for each query (ms).
    pub cpu_ms_per_query: f64,
}

impl Outcome {
    fn record(&mut self, expected: Expectation, response: Option<ClientResponse>) {
        self.asked += 1;
        self.max_value += expected.weight;
        let Some(response) = response else { return };
        self.answered += 1;
        match response.status {
            200 => {
                self.completed += 1;
                self.value +=
                    setup::value_of(expected.weight, expected.objective_ms, response.latency_ms);
            }
            429 | 503 => self.rejected += 1,
            500 => self.failed += 1,
            _ => self.refused += 1,
        }
    }
}

/// The operators' file: which resource group a classified statement gets.
const OPERATOR: &str = r#"statements {
  path: "/statement"
  groups { look_up: "look" report: "report" load: "load" }
}"#;

fn configuration(engines: &[Engine]) -> Config {
    let classes = [
        class("look", 150.0, 3000.0, keys::effect::READ_ONLY),
        class("report", 1500.0, 3000.0, keys::effect::READ_ONLY),
        class("load", 1500.0, 3000.0, keys::effect::NON_IDEMPOTENT),
    ];
    let known = setup::known_engines(engines);
    Config::new(free_address(), &known, &classes, &[1, 4, 2])
        .with_setting(keys::PROGRESS_INTERVAL_US, 100_000)
        .with_setting(keys::IS_LOAD_BY_GROUP, json!([false, false, true]))
}

/// The statements of a run, drawn by class.
struct Mix {
    /// Up to which draw a class is taken, and its statements.
    classes: [(f64, Vec<LabelledStatement>); 4],
}

impl Mix {
    fn new(seed: u64) -> Self {
        let pool: Vec<LabelledStatement> = corpus(2, 12, seed)
            .into_iter()
            .filter(|labelled| labelled.split == Split::Evaluation)
            .collect();
        let of_class = |name: &str| {
            pool.iter()
                .filter(|labelled| labelled.class == name)
                .cloned()
                .collect()
        };
        Mix {
            classes: [
                (0.80, of_class("look-up")),
                (0.93, of_class("report")),
                (0.98, of_class("load")),
                (1.01, of_class("unknown")),
            ],
        }
    }

    fn draw(&self, rng: &mut Pcg64) -> Option<&LabelledStatement> {
        let lot: f64 = rng.random();
        let (_, statements) = self
            .classes
            .iter()
            .find(|(up_to, _)| lot < *up_to)
            .unwrap_or(&self.classes[0]);
        statements.choose(rng)
    }
}

/// The query by which a variant's client sends a statement.
fn client_query(variant: Variant, number: u64, labelled: &LabelledStatement) -> ClientQuery {
    let mut query = ClientQuery::new(
        number,
        variant.path(labelled.class),
        labelled.class,
        &labelled.statement,
        expectation(labelled.class).max_wait_ms,
    );
    query.cost = (variant == Variant::Honest).then_some(labelled.work_ms);
    query
}

/// Runs one variant for `seconds` at a rate of queries a second.
pub fn run_variant(
    exe: &Path,
    variant: Variant,
    seconds: f64,
    queries_per_s: f64,
    seed: u64,
) -> Outcome {
    let context = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cores: 8.0,
        max_threads_a_core: 8.0,
        ..EngineSpec::default()
    };
    let engines = setup::start_engines(ENGINES, spec, seed, &context);
    let operator = TempFile::new("operator.textproto", OPERATOR);
    let config = configuration(&engines);
    let mut program = setup::start_with_operator(exe, &config, &operator);
    let traffic = Traffic {
        variant,
        dispatcher: program.listen,
        seconds,
        queries_per_s,
        context: context.clone(),
        outcome: Arc::default(),
    };
    let sent = traffic.send_all(seed);
    let (resident_kb, cpu_ms) = used(program.child.id()).unwrap_or((0, 0.0));
    program.terminate();
    let _ = program.end();
    let mut outcome = traffic.outcome.lock().expect("no holder panics").clone();
    outcome.violations = find_violations(&context.record.entries(), &rules(variant));
    outcome.resident_kb = resident_kb;
    outcome.cpu_ms_per_query = cpu_ms / sent as f64;
    outcome
}

/// The queries of one run.
struct Traffic {
    variant: Variant,
    dispatcher: SocketAddr,
    seconds: f64,
    queries_per_s: f64,
    context: Arc<RunContext>,
    outcome: Arc<Mutex<Outcome>>,
}

impl Traffic {
    /// Sends statements of the corpus until the run's end, and waits for all answers. Returns the number of queries.
    fn send_all(&self, seed: u64) -> u64 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mix = Mix::new(seed);
        let start = Instant::now();
        let mut at_s = 0.0;
        let mut number = 0_u64;
        let mut waiting = Vec::new();
        while at_s < self.seconds {
            at_s += Exp::new(self.queries_per_s)
                .expect("a rate above 0")
                .sample(&mut rng);
            number += 1;
            let Some(labelled) = mix.draw(&mut rng) else {
                continue;
            };
            let query = client_query(self.variant, number, labelled);
            self.context.register(query.id(), query_work(labelled));
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(start.elapsed()));
            waiting.push(self.spawn_query(query, expectation(labelled.class)));
            waiting.retain(|thread| !thread.is_finished());
        }
        setup::join_all(waiting);
        number
    }

    /// Sends a query on a thread of its own, and records the answer.
    fn spawn_query(&self, query: ClientQuery, expected: Expectation) -> JoinHandle<()> {
        let context = self.context.clone();
        let outcome = self.outcome.clone();
        let dispatcher = self.dispatcher;
        thread::spawn(move || {
            let response = send_query(dispatcher, &query, &context.record);
            let mut outcome = outcome.lock().expect("no holder panics");
            outcome.record(expected, response);
        })
    }
}

fn query_work(labelled: &LabelledStatement) -> QueryWork {
    QueryWork {
        result: ResultShape::OneRow,
        work: labelled.work_ms,
        threads: labelled.threads,
        changes: labelled.effect != "read-only",
        tables: 0,
    }
}

/// The rules for a variant: the true class of a statement sets its effect, a guessed class only promises to read.
fn rules(variant: Variant) -> Rules {
    let effect = |class: &str| match (variant, class) {
        (Variant::GuessLookUp | Variant::GuessReport, _) | (_, "look-up" | "report") => {
            Effect::ReadOnly
        }
        _ => Effect::NonIdempotent,
    };
    let classes = ["look-up", "report", "load", "unknown"]
        .into_iter()
        .map(|class| (class.to_owned(), ClassRules::of(effect(class))));
    Rules::of_classes(classes)
}

/// All variants on the same seeds, as a table.
pub fn run(exe: &Path, seconds: f64, queries_per_s: f64, seeds: u64) -> String {
    let mut table = format!(
        "{:<12} {:>8} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}\n",
        "variant",
        "received",
        "answered",
        "completed",
        "rejected",
        "failed",
        "refused",
        "value",
        "broken",
        "RSS kB",
        "ms/query"
    );
    for variant in Variant::ALL {
        for seed in 0..seeds {
            let outcome = run_variant(exe, variant, seconds, queries_per_s, seed + 1);
            let _ = writeln!(
                table,
                "{:<12} {:>8} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7.3} {:>7} {:>7} {:>8.3}",
                format!("{variant:?}"),
                outcome.asked,
                outcome.answered,
                outcome.completed,
                outcome.rejected,
                outcome.failed,
                outcome.refused,
                outcome.value / outcome.max_value.max(1.0),
                outcome.violations.len(),
                outcome.resident_kb,
                outcome.cpu_ms_per_query
            );
            for violation in outcome.violations.iter().take(SHOWN_VIOLATIONS) {
                let _ = writeln!(table, "  {violation}");
            }
        }
    }
    table
}
