//! SQL statements whose class and effect are known by construction: some written by hand, most generated from patterns.
//!
//! The corpus has two splits that share no pattern. Only [`Split::Development`] may be consulted while classification
//! rules are written; [`Split::Evaluation`] measures how well the rules work on patterns that they were not written for.
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

/// Standard deviation of the logarithm of the costs of a class's shapes. It is wide, so that the class alone predicts a
/// shape's cost badly.
const COST_LOG_DEVIATION: f64 = 0.8;
/// Cost of a statement written by hand (ms).
const WRITTEN_COST_MS: f64 = 50.0;
/// Threads of a statement written by hand.
const WRITTEN_THREADS: f64 = 1.0;

/// The split of the corpus that a statement belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Split {
    /// For writing classification rules.
    Development,
    /// For measuring them.
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
    /// Statements with the same number differ in their literals only.
    pub shape: usize,
    /// Processor time that the statement takes on one core (ms).
    pub work_ms: f64,
    /// Threads that the statement runs on.
    pub threads: f64,
}

/// A corpus of the statements written by hand and then, for each pattern, `shapes_per_pattern` shapes with
/// `statements_per_shape` statements each. The same seed generates the same corpus.
pub fn corpus(
    shapes_per_pattern: usize,
    statements_per_shape: usize,
    seed: u64,
) -> Vec<LabelledStatement> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut statements = written();
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

/// One shape of a pattern, with its cost: names are filled in, literals are still placeholders.
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

/// The statements written by hand: all of the evaluation split, one shape each.
fn written() -> Vec<LabelledStatement> {
    include_str!("../../corpus/written.txt")
        .lines()
        .filter_map(parse_written_line)
        .enumerate()
        .map(|(shape, labelled)| LabelledStatement { shape, ..labelled })
        .collect()
}

/// Reads `class <tab> effect <tab> statement`; a line of another form is skipped.
fn parse_written_line(line: &str) -> Option<LabelledStatement> {
    let (class, rest) = line.split_once('\t')?;
    let (effect, statement) = rest.split_once('\t')?;
    Some(LabelledStatement {
        statement: statement.to_owned(),
        class: known_label(class),
        effect: known_label(effect),
        split: Split::Evaluation,
        shape: 0,
        work_ms: WRITTEN_COST_MS,
        threads: WRITTEN_THREADS,
    })
}

/// The class or effect of this name, `"unknown"` if there is none.
fn known_label(name: &str) -> &'static str {
    CLASS_PATTERNS
        .iter()
        .flat_map(|patterns| [patterns.class, patterns.effect])
        .find(|known| *known == name)
        .unwrap_or("unknown")
}
