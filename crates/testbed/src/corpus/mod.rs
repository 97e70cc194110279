//! Statements with their class and effect known by construction: some written by hand, most made from patterns. Two
//! parts are kept apart: patterns of one part are never in the other, and only one may be looked at while rules are
//! made.
//!
//! Start reading at [`corpus`].

mod generate;
mod mutate;
mod oracle;
mod patterns;
#[cfg(test)]
mod tests;

pub use mutate::mutated;
pub use oracle::may_change;

use generate::{form, statement};
use patterns::PATTERNS;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// Spread (log) of the forms' works about their class's median.
const FORM_WORK_SPREAD: f64 = 0.8;

/// A part of the corpus.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
// readability: part is the corpus's own term: its parts are kept apart
pub enum Part {
    /// May be looked at while rules are made.
    Building,
    /// Only measures them.
    Measuring,
}

/// A statement and what is true of it.
#[derive(Debug, Clone)]
pub struct Labelled {
    /// The text.
    pub statement: String,
    /// The true class.
    pub class: &'static str,
    /// The true effect.
    pub effect: &'static str,
    /// The part of the corpus that it is in.
    // readability: part is the corpus's own term: its parts are kept apart
    pub part: Part,
    /// Statements with the same number have the same form.
    pub form: usize,
    /// Work on one core (ms).
    pub work: f64,
    /// Threads that it runs on.
    pub threads: f64,
}

/// The statements written by hand: all of the measuring part, one form each.
fn written() -> Vec<Labelled> {
    let known = |word: &str| {
        PATTERNS
            .iter()
            .flat_map(|patterns| [patterns.class, patterns.effect])
            .find(|known| *known == word)
            .unwrap_or("unknown")
    };
    let mut statements = Vec::new();
    for line in include_str!("../../corpus/written.txt").lines() {
        let Some((class, rest)) = line.split_once('\t') else {
            continue;
        };
        let Some((effect, statement)) = rest.split_once('\t') else {
            continue;
        };
        statements.push(Labelled {
            statement: statement.to_owned(),
            class: known(class),
            effect: known(effect),
            part: Part::Measuring,
            form: statements.len(),
            work: 50.0,
            threads: 1.0,
        });
    }
    statements
}

/// Median work (ms) and threads of a class.
fn cost_of(class: &str) -> (f64, f64) {
    match class {
        "look-up" => (15.0, 1.0),
        "report" => (400.0, 4.0),
        _ => (300.0, 2.0),
    }
}

/// A corpus of so many forms a pattern, with so many statements each, and what is written by hand.
pub fn corpus(forms: usize, each: usize, seed: u64) -> Vec<Labelled> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all = written();
    let mut form_number = all.len();
    for patterns in &PATTERNS {
        let parts = [
            (Part::Building, patterns.building),
            (Part::Measuring, patterns.measuring),
        ];
        for (part, texts) in parts {
            for pattern in texts
                .iter()
                .flat_map(|text| std::iter::repeat_n(text, forms))
            {
                let form = form(pattern, &mut rng);
                let (median_ms, threads) = cost_of(patterns.class);
                // What a form costs is its own: far from what its class would tell.
                let works =
                    LogNormal::new(f64::ln(median_ms), FORM_WORK_SPREAD).expect("a finite spread");
                let work = works.sample(&mut rng);
                for _ in 0..each {
                    all.push(Labelled {
                        statement: statement(&form, &mut rng),
                        class: patterns.class,
                        effect: patterns.effect,
                        part,
                        form: form_number,
                        work,
                        threads,
                    });
                }
                form_number += 1;
            }
        }
    }
    all
}
