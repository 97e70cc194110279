//! Compares learned with true costs, over simulated executions with noise, waits, bad plans and interruptions.

use super::analyzer;
use crate::corpus::corpus;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use tansymux_sql_analysis::{Execution, ExecutionEnd, StatementAnalyzer};

/// Engines that run the statements.
const ENGINES: u64 = 6;
/// The engine that is slow.
const SLOW_ENGINE: u64 = 5;
/// Factor on run times of the slow engine.
const SLOW_ENGINE_FACTOR: f64 = 1.9;
/// Standard deviation of the logarithm of run times.
const LATENCY_LOG_DEVIATION: f64 = 0.25;
/// Probability that an execution runs with a bad plan.
const BAD_PLAN_PROBABILITY: f64 = 0.02;
/// Factor of a bad plan on the run time.
const BAD_PLAN_FACTOR: f64 = 15.0;
/// Probability that an execution waits before it runs.
const WAIT_PROBABILITY: f64 = 0.1;
/// Probability that an execution is interrupted.
const INTERRUPTION_PROBABILITY: f64 = 0.03;
/// Time between two executions (ms).
const INTERVAL_MS: f64 = 5.0;

/// A statement and what it truly costs.
#[derive(Debug, Clone)]
struct CostedStatement {
    text: String,
    cost_ms: f64,
}

/// Executions with known costs, from which an analyzer learns.
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
            noise: Normal::new(0.0, LATENCY_LOG_DEVIATION).expect("the deviation is finite"),
            now_ms: 0.0,
        }
    }

    /// Executes each statement so many times.
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
        let mut end = ExecutionEnd::Completed;
        if self.rng.random_bool(INTERRUPTION_PROBABILITY) {
            end = ExecutionEnd::Interrupted;
            latency_ms *= self.rng.random_range(0.2..0.9);
        }
        Execution {
            ended_at_ms: self.now_ms,
            engine_id,
            latency_ms,
            threads: 1.0,
            end,
            waited,
            warming_up: false,
        }
    }

    /// A line with the median and 90th percentile of the ratio, over or under and at least 1, of learned to true costs.
    fn table_row(&mut self, name: &str, statements: &[CostedStatement]) -> String {
        let mut ratios = Vec::with_capacity(statements.len());
        for statement in statements {
            let analyzed = self.analyzer.analyze(statement.text.as_bytes());
            let learned_ms = self.analyzer.estimate(&analyzed, self.now_ms).cost_ms;
            ratios.push((learned_ms / statement.cost_ms).ln().abs().exp());
        }
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        let p90 = ratios[ratios.len() * 9 / 10];
        format!("{name:<34} {median:>8.2} {p90:>8.2}\n")
    }
}

/// Learned against true costs, before and after the cost of one shape in five changes a hundredfold.
pub fn learning(seed: u64) -> String {
    let mut statements = costed_statements(seed);
    let mut workload = Workload::new(seed);
    let mut table = String::new();
    let _ = writeln!(
        table,
        "{:<34} {:>8} {:>8}",
        "ratio of learned to true cost", "median", "p90"
    );
    table += &workload.table_row("never seen", &statements);
    for (name, rounds) in [
        ("after 1 query a shape", 1),
        ("after 5", 4),
        ("after 30", 25),
    ] {
        workload.execute(&statements, rounds);
        table += &workload.table_row(name, &statements);
    }
    change_costs(&mut statements);
    let changed: Vec<CostedStatement> = statements.iter().step_by(5).cloned().collect();
    for (name, rounds) in [
        ("changed, after 1", 1),
        ("changed, after 3", 2),
        ("changed, after 5", 2),
        ("changed, after 10", 5),
    ] {
        workload.execute(&statements, rounds);
        table += &workload.table_row(name, &changed);
    }
    table
}

/// One statement of each shape whose class is known.
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

/// Makes every tenth statement a hundred times dearer, and the fifth behind each a hundred times cheaper.
fn change_costs(statements: &mut [CostedStatement]) {
    for (index, statement) in statements.iter_mut().enumerate() {
        match index % 10 {
            0 => statement.cost_ms *= 100.0,
            5 => statement.cost_ms *= 0.01,
            _ => {}
        }
    }
}
