//! Compares learned with true costs over simulated executions with noise, queueing, bad plans and interruptions.

use super::analyzer;
use crate::corpus::corpus;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use tansymux_sql_analysis::{Execution, ExecutionOutcome, StatementAnalyzer};

/// Number of engines that run the statements.
const ENGINES: u64 = 6;
/// Id of the slow engine.
const SLOW_ENGINE: u64 = 5;
/// Factor on the run times of the slow engine.
const SLOW_ENGINE_FACTOR: f64 = 1.9;
/// Standard deviation of the logarithm of run times.
const RUN_TIME_LOG_DEVIATION: f64 = 0.25;
/// Probability that an execution runs with a bad plan.
const BAD_PLAN_PROBABILITY: f64 = 0.02;
/// Factor on the run time of an execution with a bad plan.
const BAD_PLAN_FACTOR: f64 = 15.0;
/// Probability that an execution is queued before it runs.
const WAIT_PROBABILITY: f64 = 0.1;
/// Probability that an execution is interrupted.
const INTERRUPTION_PROBABILITY: f64 = 0.03;
/// Time between the ends of two successive executions (ms).
const INTERVAL_MS: f64 = 5.0;

/// A statement and its true cost.
#[derive(Debug, Clone)]
struct CostedStatement {
    text: String,
    cost_ms: f64,
}

/// Simulated executions with known costs, from which the analyzer learns.
struct Workload {
    analyzer: StatementAnalyzer,
    rng: Pcg64,
    noise: Normal<f64>,
    now_ms: f64,
}

impl Workload {
    fn new(seed: u64) -> Self {
        Workload {
            analyzer: analyzer(),
            rng: Pcg64::seed_from_u64(seed),
            noise: Normal::new(0.0, RUN_TIME_LOG_DEVIATION).expect("the deviation is finite"),
            now_ms: 0.0,
        }
    }

    /// Executes all statements in order, `rounds` times.
    fn execute(&mut self, statements: &[CostedStatement], rounds: usize) {
        for _ in 0..rounds {
            for statement in statements {
                self.now_ms += INTERVAL_MS;
                let execution = self.draw_execution(statement.cost_ms);
                let analyzed = self.analyzer.analyze(statement.text.as_bytes());
                self.analyzer.record_execution(
                    analyzed.shape_id,
                    analyzed.analysis.class,
                    analyzed.analysis.cost_ms,
                    &execution,
                );
            }
        }
    }

    fn draw_execution(&mut self, cost_ms: f64) -> Execution {
        let engine_id = self.rng.random_range(0..ENGINES);
        let mut latency_ms = cost_ms * f64::exp(self.noise.sample(&mut self.rng));
        if engine_id == SLOW_ENGINE {
            latency_ms *= SLOW_ENGINE_FACTOR;
        }
        if self.rng.random_bool(BAD_PLAN_PROBABILITY) {
            latency_ms *= BAD_PLAN_FACTOR;
        }
        let waited = self.rng.random_bool(WAIT_PROBABILITY);
        if waited {
            latency_ms += self.rng.random_range(50.0..800.0);
        }
        let mut outcome = ExecutionOutcome::Completed;
        if self.rng.random_bool(INTERRUPTION_PROBABILITY) {
            outcome = ExecutionOutcome::Interrupted;
            latency_ms *= self.rng.random_range(0.2..0.9);
        }
        Execution {
            ended_at_ms: self.now_ms,
            engine_id,
            latency_ms,
            threads: 1.0,
            outcome,
            waited,
            warming_up: false,
        }
    }

    /// Returns a line with the median and 90th percentile of the error factor of the learned costs. The factor is the
    /// ratio of learned to true cost, or its inverse if the ratio is less than 1.
    fn table_row(&mut self, name: &str, statements: &[CostedStatement]) -> String {
        let mut error_factors = Vec::with_capacity(statements.len());
        for statement in statements {
            let analyzed = self.analyzer.analyze(statement.text.as_bytes());
            let learned_ms = self.analyzer.estimate(&analyzed, self.now_ms).cost_ms;
            error_factors.push((learned_ms / statement.cost_ms).ln().abs().exp());
        }
        error_factors.sort_by(f64::total_cmp);
        let median = error_factors[error_factors.len() / 2];
        let p90 = error_factors[error_factors.len() * 9 / 10];
        format!("{name:<34} {median:>8.2} {p90:>8.2}\n")
    }
}

/// Returns a table of the errors of learned costs, before and after the cost of one shape in five changes by a factor
/// of 100.
pub fn learning_table(seed: u64) -> String {
    let mut statements = costed_statements(seed);
    let mut workload = Workload::new(seed);
    let mut table = String::new();
    let _ = writeln!(
        table,
        "{:<34} {:>8} {:>8}",
        "error factor of learned costs", "median", "p90"
    );
    table += &workload.table_row("never seen", &statements);
    for (name, rounds) in [
        ("after 1 query per shape", 1),
        ("after 5", 4),
        ("after 30", 25),
    ] {
        workload.execute(&statements, rounds);
        table += &workload.table_row(name, &statements);
    }
    change_some_costs(&mut statements);
    let changed_statements: Vec<CostedStatement> = statements.iter().step_by(5).cloned().collect();
    for (name, rounds) in [
        ("changed, after 1", 1),
        ("changed, after 3", 2),
        ("changed, after 5", 2),
        ("changed, after 10", 5),
    ] {
        workload.execute(&statements, rounds);
        table += &workload.table_row(name, &changed_statements);
    }
    table
}

/// Returns one statement of each shape whose class is not `unknown`.
fn costed_statements(seed: u64) -> Vec<CostedStatement> {
    corpus(3, 1, seed)
        .into_iter()
        .filter(|labelled| labelled.class != "unknown")
        .map(|labelled| CostedStatement {
            text: labelled.statement,
            cost_ms: labelled.work_ms,
        })
        .collect()
}

/// Multiplies the costs of the statements 0, 10, 20 and so on by 100, and divides those of 5, 15, 25 and so on by 100.
fn change_some_costs(statements: &mut [CostedStatement]) {
    for (index, statement) in statements.iter_mut().enumerate() {
        match index % 10 {
            0 => statement.cost_ms *= 100.0,
            5 => statement.cost_ms *= 0.01,
            _ => {}
        }
    }
}
