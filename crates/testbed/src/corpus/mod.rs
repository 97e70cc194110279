//! SQL statements whose class and effect are known by construction: some handwritten, most generated from patterns.
//!
//! The corpus has two splits that share no pattern. Only [`Split::Development`] may be consulted while classification
//! rules are written. [`Split::Evaluation`] measures how well the rules work on patterns that they were not written
//! for.
//!
//! Start reading at [`corpus`].

mod generator;
mod mutation;
mod oracle;
mod patterns;
#[cfg(test)]
mod tests;

pub use mutation::mutated;
pub use oracle::may_change;

use generator::{fill_literals, fill_names};
use patterns::{ClassPatterns, CLASS_PATTERNS};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// Standard deviation of the logarithm of the costs of a class's shapes. It is so large that the class alone predicts a
/// shape's cost poorly.
const COST_LOG_DEVIATION: f64 = 0.8;
/// Cost of a handwritten statement (ms).
const HANDWRITTEN_COST_MS: f64 = 50.0;
/// Threads of a handwritten statement.
const HANDWRITTEN_THREADS: f64 = 1.0;

/// The split of the corpus that a statement belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Split {
    /// For writing classification rules.
    Development,
    /// For measuring classification rules.
    Evaluation,
}

/// A statement and its ground truth.
#[derive(Debug, Clone)]
pub struct LabelledStatement {
    /// The statement's text.
    pub statement: String,
    /// The true class, as [`tansymux_sql_analysis::Class::name`] prints it.
    pub class: &'static str,
    /// The true effect, as [`tansymux_sql_analysis::Effect::name`] prints it.
    pub effect: &'static str,
    /// The split that the statement's pattern belongs to.
    pub split: Split,
    /// The shape's number. Statements of one shape differ only in letter case, whitespace, comments and literals.
    pub shape: usize,
    /// Processor time that the statement takes on one core (ms).
    pub work_ms: f64,
    /// Threads that the statement runs on.
    pub threads: f64,
}

/// Returns the handwritten statements, followed by `shapes_per_pattern` shapes of each pattern with
/// `statements_per_shape` statements per shape. The same seed generates the same corpus.
pub fn corpus(
    shapes_per_pattern: usize,
    statements_per_shape: usize,
    seed: u64,
) -> Vec<LabelledStatement> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut statements = handwritten_statements();
    let mut shape = statements.len();
    for class in &CLASS_PATTERNS {
        let splits = [
            (Split::Development, class.development),
            (Split::Evaluation, class.evaluation),
        ];
        for (split, patterns) in splits {
            for pattern in patterns {
                for _ in 0..shapes_per_pattern {
                    let template = draw_template(class, split, shape, pattern, &mut rng);
                    for _ in 0..statements_per_shape {
                        let mut labelled = template.clone();
                        labelled.statement = fill_literals(&template.statement, &mut rng);
                        statements.push(labelled);
                    }
                    shape += 1;
                }
            }
        }
    }
    statements
}

/// Returns a random shape of a pattern, with its cost. Its names are filled in, its literals are still placeholders.
fn draw_template(
    class: &ClassPatterns,
    split: Split,
    shape: usize,
    pattern: &str,
    rng: &mut Pcg64,
) -> LabelledStatement {
    let statement = fill_names(pattern, rng);
    let (median_cost_ms, threads) = match class.class {
        "look-up" => (15.0, 1.0),
        "report" => (400.0, 4.0),
        _ => (300.0, 2.0),
    };
    let costs = LogNormal::new(f64::ln(median_cost_ms), COST_LOG_DEVIATION)
        .expect("the deviation is finite");
    LabelledStatement {
        statement,
        class: class.class,
        effect: class.effect,
        split,
        shape,
        work_ms: costs.sample(rng),
        threads,
    }
}

/// Returns the handwritten statements. All belong to the evaluation split, and each has its own shape.
fn handwritten_statements() -> Vec<LabelledStatement> {
    include_str!("../../corpus/written.txt")
        .lines()
        .filter_map(parse_handwritten_line)
        .enumerate()
        .map(|(shape, labelled)| LabelledStatement { shape, ..labelled })
        .collect()
}

/// Parses a line `class <tab> effect <tab> statement`. Returns `None` if the line has another form.
fn parse_handwritten_line(line: &str) -> Option<LabelledStatement> {
    let (class, rest) = line.split_once('\t')?;
    let (effect, statement) = rest.split_once('\t')?;
    Some(LabelledStatement {
        statement: statement.to_owned(),
        class: known_label(class),
        effect: known_label(effect),
        split: Split::Evaluation,
        shape: 0,
        work_ms: HANDWRITTEN_COST_MS,
        threads: HANDWRITTEN_THREADS,
    })
}

/// Returns the class or effect with this name, or `"unknown"` if there is none.
fn known_label(name: &str) -> &'static str {
    CLASS_PATTERNS
        .iter()
        .flat_map(|patterns| [patterns.class, patterns.effect])
        .find(|known| *known == name)
        .unwrap_or("unknown")
}
