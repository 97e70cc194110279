//! Sends statements of the corpus through the real program on loopback as four kinds of clients would: with true
//! classes and costs, without classes, with all statements as look-ups, and with all as reports. Seeds, arrival times
//! and engines are the same for all kinds.
//!
//! Start reading at [`run_variant`].

use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::corpus::{corpus, LabelledStatement, Split};
use crate::engine::{Engine, EngineSpec, QueryWork, ResultShape, RunContext};
use crate::invariants::{find_violations, ClassRules, Effect, Rules, Violation};
use crate::program::{free_address, resource_group, resource_usage, Config, TempFile};
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
/// Maximum violations that the table shows per run.
const MAX_SHOWN_VIOLATIONS: usize = 3;

/// How clients send their statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Without class and cost.
    Bare,
    /// With true class and cost.
    Honest,
    /// All as look-ups, without cost.
    GuessLookUp,
    /// All as reports, without cost.
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

    /// Returns the request path of a statement whose true class is `class`.
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

/// Latency objective, time limit and value of a class's queries.
#[derive(Debug, Clone, Copy)]
struct Expectation {
    objective_ms: f64,
    max_wait_ms: f64,
    /// Value of an answer within the objective.
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
    pub sent: u64,
    /// Queries that received a response.
    pub answered: u64,
    /// Answers with a result.
    pub completed: u64,
    /// Rejections (status 429 or 503).
    pub rejected: u64,
    /// Responses with an error (status 500).
    pub failed: u64,
    /// Responses with any other status.
    pub refused: u64,
    /// Value of all answers.
    pub value: f64,
    /// Value if all queries had been answered within the objective.
    pub max_value: f64,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Resident memory of the program after the last answer (kB).
    pub resident_kb: u64,
    /// Processor time of the program per query (ms).
    pub cpu_ms_per_query: f64,
}

impl Outcome {
    fn record(&mut self, expected: Expectation, response: Option<ClientResponse>) {
        self.sent += 1;
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

/// Operators' file that maps the class of a classified statement to a resource group.
const OPERATOR_FILE: &str = r#"statements {
  path: "/statement"
  groups { look_up: "look" report: "report" load: "load" }
}"#;

fn configuration(engines: &[Engine]) -> Config {
    let classes = [
        resource_group("look", 150.0, 3000.0, keys::effect::READ_ONLY),
        resource_group("report", 1500.0, 3000.0, keys::effect::READ_ONLY),
        resource_group("load", 1500.0, 3000.0, keys::effect::NON_IDEMPOTENT),
    ];
    let known = setup::known_engines(engines);
    Config::new(free_address(), &known, &classes, &[1, 4, 2])
        .with_setting(keys::PROGRESS_INTERVAL_US, 100_000)
        .with_setting(keys::IS_LOAD_BY_GROUP, json!([false, false, true]))
}

/// Statements of a run by class, with the probabilities of the classes.
struct StatementMix {
    /// For each class, its statements and the upper bound of the draws from [0, 1) that select it.
    classes: [(f64, Vec<LabelledStatement>); 4],
}

impl StatementMix {
    fn new(seed: u64) -> Self {
        let evaluation_statements: Vec<LabelledStatement> = corpus(2, 12, seed)
            .into_iter()
            .filter(|labelled| labelled.split == Split::Evaluation)
            .collect();
        let of_class = |name: &str| {
            evaluation_statements
                .iter()
                .filter(|labelled| labelled.class == name)
                .cloned()
                .collect()
        };
        StatementMix {
            classes: [
                (0.80, of_class("look-up")),
                (0.93, of_class("report")),
                (0.98, of_class("load")),
                (1.01, of_class("unknown")),
            ],
        }
    }

    fn draw(&self, rng: &mut Pcg64) -> Option<&LabelledStatement> {
        let point: f64 = rng.random();
        let (_, statements) = self
            .classes
            .iter()
            .find(|(upper_bound, _)| point < *upper_bound)
            .unwrap_or(&self.classes[0]);
        statements.choose(rng)
    }
}

/// Returns the query with which a client of a variant sends a statement.
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

/// Runs one variant for `seconds` at a mean rate of `queries_per_s`.
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
        max_threads_per_core: 8.0,
        ..EngineSpec::default()
    };
    let engines = setup::start_engines(ENGINES, spec, seed, &context);
    let operator_file = TempFile::new("operator.textproto", OPERATOR_FILE);
    let config = configuration(&engines);
    let mut program = setup::start_with_operator(exe, &config, &operator_file);
    let traffic = Traffic {
        variant,
        dispatcher: program.listen,
        seconds,
        queries_per_s,
        context: context.clone(),
        outcome: Arc::default(),
    };
    let query_count = traffic.send_all(seed);
    let (resident_kb, cpu_ms) = resource_usage(program.child.id()).unwrap_or((0, 0.0));
    program.terminate();
    let _ = program.wait_for_exit();
    let mut outcome = traffic
        .outcome
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    outcome.violations = find_violations(&context.record.entries(), &rules(variant));
    outcome.resident_kb = resident_kb;
    outcome.cpu_ms_per_query = cpu_ms / query_count as f64;
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
    /// Sends statements of the corpus until the run ends, then waits for all answers. Returns the number of queries.
    fn send_all(&self, seed: u64) -> u64 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mix = StatementMix::new(seed);
        let start = Instant::now();
        let mut at_s = 0.0;
        let mut number = 0_u64;
        let mut query_threads = Vec::new();
        while at_s < self.seconds {
            at_s += Exp::new(self.queries_per_s)
                .expect("the rate is positive")
                .sample(&mut rng);
            number += 1;
            let Some(labelled) = mix.draw(&mut rng) else {
                continue;
            };
            let query = client_query(self.variant, number, labelled);
            self.context.register(query.id(), query_work(labelled));
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(start.elapsed()));
            query_threads.push(self.spawn_query(query, expectation(labelled.class)));
            query_threads.retain(|thread| !thread.is_finished());
        }
        setup::join_all(query_threads);
        number
    }

    /// Starts a thread that sends a query and records the response.
    fn spawn_query(&self, query: ClientQuery, expected: Expectation) -> JoinHandle<()> {
        let context = self.context.clone();
        let outcome = self.outcome.clone();
        let dispatcher = self.dispatcher;
        thread::spawn(move || {
            let response = send_query(dispatcher, &query, &context.record);
            let mut outcome = outcome.lock().expect("the lock is not poisoned");
            outcome.record(expected, response);
        })
    }
}

fn query_work(labelled: &LabelledStatement) -> QueryWork {
    QueryWork {
        result: ResultShape::OneRow,
        work_ms: labelled.work_ms,
        threads: labelled.threads,
        changes_tables: labelled.effect != "read-only",
        tables: 0,
    }
}

/// Returns the rules for a variant. Effects follow from the true classes, except that a client that guesses a class
/// declares all statements read-only.
fn rules(variant: Variant) -> Rules {
    let effect = |class: &str| match (variant, class) {
        (Variant::GuessLookUp | Variant::GuessReport, _) | (_, "look-up" | "report") => {
            Effect::ReadOnly
        }
        _ => Effect::NonIdempotent,
    };
    let classes = ["look-up", "report", "load", "unknown"]
        .into_iter()
        .map(|class| (class.to_owned(), ClassRules::for_effect(effect(class))));
    Rules::for_classes(classes)
}

/// Runs all variants with the same seeds. Returns a table.
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
                outcome.sent,
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
            for violation in outcome.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
                let _ = writeln!(table, "  {violation}");
            }
        }
    }
    table
}
