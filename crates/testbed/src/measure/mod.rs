//! Measurements of statement analysis: accuracy ([`accuracy`]), statements falsely proven read-only
//! ([`mutation_report`]), cache ([`cache_table`]), analysis time ([`time_table`]) and learned costs
//! ([`learning_table`]). Each returns a table as text.

mod learning;
mod speed;

pub use learning::learning_table;
pub use speed::{cache_table, time_table};

use crate::corpus::{corpus, may_change, mutated, LabelledStatement, Split};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use tansymux_sql_analysis::{Analysis, Config, Effect, StatementAnalyzer};

/// Shapes per pattern of the corpus.
pub const SHAPES_PER_PATTERN: usize = 8;
/// Statements per shape of the corpus.
pub const STATEMENTS_PER_SHAPE: usize = 10;
/// Key of the analyzer's shape hashes. It is fixed so that runs are comparable.
const SHAPE_KEY: [u8; 16] = [3; 16];
/// Maximum false proofs that the table of [`mutation_report`] shows.
const MAX_SHOWN_FALSE_PROOFS: usize = 20;

fn analyzer() -> StatementAnalyzer {
    StatementAnalyzer::new(Config::default(), SHAPE_KEY)
}

/// Accuracy on one split of a corpus.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accuracy {
    /// Statements analyzed.
    pub statements: usize,
    /// Statements that were assigned their true class.
    pub correct_class: usize,
    /// Statements that were assigned their true effect.
    pub correct_effect: usize,
    /// Statements reported as read-only that are not.
    pub false_read_only: usize,
    /// One line per statement that was assigned a wrong class or effect.
    pub errors: Vec<String>,
}

impl Accuracy {
    fn record(&mut self, labelled: &LabelledStatement, analysis: &Analysis) {
        let is_class_correct = analysis.class.name() == labelled.class;
        let is_effect_correct = analysis.effect.name() == labelled.effect;
        let is_false_read_only =
            analysis.effect == Effect::ReadOnly && labelled.effect != "read-only";
        self.statements += 1;
        self.correct_class += usize::from(is_class_correct);
        self.correct_effect += usize::from(is_effect_correct);
        self.false_read_only += usize::from(is_false_read_only);
        if !(is_class_correct && is_effect_correct) {
            self.errors.push(describe_error(labelled, analysis));
        }
    }

    /// Returns `count` as a fraction of the analyzed statements.
    fn fraction(&self, count: usize) -> f64 {
        count as f64 / self.statements.max(1) as f64
    }
}

fn describe_error(labelled: &LabelledStatement, analysis: &Analysis) -> String {
    format!(
        "expected {} {}, got {} {}: {} ({})",
        labelled.class,
        labelled.effect,
        analysis.class.name(),
        analysis.effect.name(),
        labelled.statement.replace('\n', " "),
        analysis.reason.as_deref().unwrap_or("")
    )
}

/// Analyzes one split of a corpus and compares the results with its labels.
pub fn accuracy_of(statements: &[LabelledStatement], split: Split) -> Accuracy {
    let mut analyzer = analyzer();
    let mut accuracy = Accuracy::default();
    for labelled in statements.iter().filter(|labelled| labelled.split == split) {
        let analyzed = analyzer.analyze(labelled.statement.as_bytes());
        accuracy.record(labelled, &analyzed.analysis);
    }
    accuracy
}

/// Returns a table of the accuracy on both splits, followed by up to `max_shown_errors` errors of each.
pub fn accuracy(seed: u64, max_shown_errors: usize) -> String {
    let statements = corpus(SHAPES_PER_PATTERN, STATEMENTS_PER_SHAPE, seed);
    let mut table = format!(
        "{:<10} {:>6} {:>8} {:>8} {:>16}\n",
        "part", "asked", "class", "effect", "false read-only"
    );
    let mut error_lines = String::new();
    for (name, split) in [
        ("building", Split::Development),
        ("measuring", Split::Evaluation),
    ] {
        let accuracy = accuracy_of(&statements, split);
        let _ = writeln!(
            table,
            "{name:<10} {:>6} {:>8.4} {:>8.4} {:>16}",
            accuracy.statements,
            accuracy.fraction(accuracy.correct_class),
            accuracy.fraction(accuracy.correct_effect),
            accuracy.false_read_only
        );
        for error in accuracy.errors.iter().take(max_shown_errors) {
            let _ = writeln!(error_lines, "{name}: {error}");
        }
    }
    table + &error_lines
}

/// Results of analyzing mutated statements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Proofs {
    /// Number of statements proven read-only.
    pub proven: usize,
    /// Texts of those that may modify state under some SQL dialect.
    pub falsely_proven: Vec<Vec<u8>>,
}

/// Analyzes at least `statement_count` mutated statements of a corpus on all cores. The mutations depend on the number
/// of cores.
///
/// # Panics
/// If the analyzer panics.
pub fn false_proofs(statement_count: usize, seed: u64) -> Proofs {
    let statements = corpus(SHAPES_PER_PATTERN, STATEMENTS_PER_SHAPE, seed);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let statements_per_thread = statement_count.div_ceil(threads);
    let mut total = Proofs::default();
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for index in 0..threads {
            let thread_seed = seed.wrapping_add(index as u64 + 1);
            let statements = &statements;
            running.push(
                scope.spawn(move || prove_mutated(statements, statements_per_thread, thread_seed)),
            );
        }
        for thread in running {
            let proofs = thread.join().expect("the analyzer does not panic");
            total.proven += proofs.proven;
            total.falsely_proven.extend(proofs.falsely_proven);
        }
    });
    total
}

fn prove_mutated(statements: &[LabelledStatement], statement_count: usize, seed: u64) -> Proofs {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut analyzer = analyzer();
    let mut proofs = Proofs::default();
    for _ in 0..statement_count {
        let original = &statements[rng.random_range(0..statements.len())];
        let other = &statements[rng.random_range(0..statements.len())];
        let text = mutated(&original.statement, &other.statement, &mut rng);
        if analyzer.analyze(&text).analysis.effect != Effect::ReadOnly {
            continue;
        }
        proofs.proven += 1;
        if may_change(&text) {
            proofs.falsely_proven.push(text);
        }
    }
    proofs
}

/// The report of [`mutation_report`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MutationReport {
    /// Counts, followed by the first false proofs.
    pub table: String,
    /// Whether any statement was falsely proven read-only.
    pub has_false_proofs: bool,
}

/// Counts the false proofs among at least `statement_count` mutated statements.
pub fn mutation_report(statement_count: usize, seed: u64) -> MutationReport {
    let proofs = false_proofs(statement_count, seed);
    let mut table = format!(
        "{statement_count} mutated statements, {} proven read-only, {} of them falsely\n",
        proofs.proven,
        proofs.falsely_proven.len()
    );
    for text in proofs.falsely_proven.iter().take(MAX_SHOWN_FALSE_PROOFS) {
        let _ = writeln!(table, "false: {}", String::from_utf8_lossy(text));
    }
    MutationReport {
        table,
        has_false_proofs: !proofs.falsely_proven.is_empty(),
    }
}
