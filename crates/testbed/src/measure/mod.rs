//! Measurements of statement analysis: accuracy and false proofs (here), cache and time ([`cache`], [`time`]), learned
//! costs ([`learning`]). Each function returns a table as text.

mod learning;
mod speed;

pub use learning::learning;
pub use speed::{cache, time};

use crate::corpus::{corpus, may_change, mutated, LabelledStatement, Split};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write as _;
use tansymux_sql_analysis::{Analysis, Config, Effect, StatementAnalyzer};

/// Shapes of each pattern in the corpus.
pub const SHAPES_PER_PATTERN: usize = 8;
/// Statements of each shape in the corpus.
pub const STATEMENTS_PER_SHAPE: usize = 10;
/// Key of the analyzer's shape hashes: fixed, so that runs can be compared.
const SHAPE_KEY: [u8; 16] = [3; 16];
/// False proofs that the table of [`mutations`] shows.
const SHOWN_FALSE_PROOFS: usize = 20;

fn analyzer() -> StatementAnalyzer {
    StatementAnalyzer::new(Config::default(), SHAPE_KEY)
}

/// Accuracy on one split of a corpus.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accuracy {
    /// Statements analyzed.
    pub statements: usize,
    /// Statements whose class was found.
    pub correct_class: usize,
    /// Statements whose effect was found.
    pub correct_effect: usize,
    /// Statements taken for read-only that are not.
    pub false_read_only: usize,
    /// A line for each statement whose class or effect was not found.
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

    /// Part of the statements, between 0 and 1.
    fn fraction(&self, count: usize) -> f64 {
        count as f64 / self.statements.max(1) as f64
    }
}

fn describe_error(labelled: &LabelledStatement, analysis: &Analysis) -> String {
    format!(
        "{} {} taken for {} {}: {} ({})",
        labelled.class,
        labelled.effect,
        analysis.class.name(),
        analysis.effect.name(),
        labelled.statement.replace('\n', " "),
        analysis.reason.as_deref().unwrap_or("")
    )
}

/// Analyzes one split of a corpus and compares with its labels.
pub fn accuracy_of(statements: &[LabelledStatement], split: Split) -> Accuracy {
    let mut analyzer = analyzer();
    let mut accuracy = Accuracy::default();
    for labelled in statements.iter().filter(|labelled| labelled.split == split) {
        let analyzed = analyzer.analyze(labelled.statement.as_bytes());
        accuracy.record(labelled, &analyzed.analysis);
    }
    accuracy
}

/// A table of the accuracy on both splits, then up to `shown_errors` errors of each.
pub fn accuracy(seed: u64, shown_errors: usize) -> String {
    let statements = corpus(SHAPES_PER_PATTERN, STATEMENTS_PER_SHAPE, seed);
    let mut table = format!(
        "{:<10} {:>6} {:>8} {:>8} {:>16}\n",
        "part", "asked", "class", "effect", "false read-only"
    );
    let mut errors = String::new();
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
        for error in accuracy.errors.iter().take(shown_errors) {
            let _ = writeln!(errors, "{name}: {error}");
        }
    }
    table + &errors
}

/// What came of analyzing mutated statements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Proofs {
    /// Statements proven read-only.
    pub proven: usize,
    /// Those among them that change something under some SQL dialect.
    pub falsely_proven: Vec<Vec<u8>>,
}

/// Analyzes at least `many` mutated statements of a corpus, on all cores. The draws depend on the number of cores.
///
/// # Panics
/// If the analyzer panics.
pub fn false_proofs(many: usize, seed: u64) -> Proofs {
    let statements = corpus(SHAPES_PER_PATTERN, STATEMENTS_PER_SHAPE, seed);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let statements_per_thread = many.div_ceil(threads);
    let mut total = Proofs::default();
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for thread in 0..threads {
            let thread_seed = seed.wrapping_add(thread as u64 + 1);
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

fn prove_mutated(statements: &[LabelledStatement], many: usize, seed: u64) -> Proofs {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut analyzer = analyzer();
    let mut proofs = Proofs::default();
    for _ in 0..many {
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

/// The report of [`mutations`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MutationReport {
    /// Counts, then the first false proofs.
    pub table: String,
    /// Whether any statement was falsely proven read-only.
    pub has_false_proofs: bool,
}

/// Counts false proofs among `many` mutated statements.
pub fn mutations(many: usize, seed: u64) -> MutationReport {
    let proofs = false_proofs(many, seed);
    let mut table = format!(
        "{many} mutated statements, {} proven read-only, {} of them falsely\n",
        proofs.proven,
        proofs.falsely_proven.len()
    );
    for text in proofs.falsely_proven.iter().take(SHOWN_FALSE_PROOFS) {
        let _ = writeln!(table, "false: {}", String::from_utf8_lossy(text));
    }
    MutationReport {
        table,
        has_false_proofs: !proofs.falsely_proven.is_empty(),
    }
}
