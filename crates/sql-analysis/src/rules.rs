//! What operators set: dialects, the rules that give a class, prices by features, and bounds.

use crate::{Class, Features};

/// What an engine may speak. A statement is only proven to read where no one of those told reads it otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// A forgiving mixture, asked only where no other dialect that is told takes a statement.
    Generic,
    Ansi,
    PostgreSql,
    MySql,
}

/// A rule: all that is asked for must hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    pub class: Class,
    pub min_joins: u32,
    pub min_tables: u32,
    pub min_subqueries: u32,
    pub grouped: Option<bool>,
    pub distinct: Option<bool>,
    pub aggregated: Option<bool>,
    pub windowed: Option<bool>,
    pub united: Option<bool>,
    pub ordered: Option<bool>,
    pub limited: Option<bool>,
    pub recursive: Option<bool>,
    pub pointed: Option<bool>,
    pub filtered: Option<bool>,
    pub reads: Option<bool>,
}

impl Rule {
    /// A rule that holds for all.
    pub fn of(class: Class) -> Self {
        Rule {
            class,
            min_joins: 0,
            min_tables: 0,
            min_subqueries: 0,
            grouped: None,
            distinct: None,
            aggregated: None,
            windowed: None,
            united: None,
            ordered: None,
            limited: None,
            recursive: None,
            pointed: None,
            filtered: None,
            reads: None,
        }
    }

    pub fn holds(&self, f: &Features) -> bool {
        let same = |asked: Option<bool>, is: bool| asked.is_none_or(|asked| asked == is);
        f.joins >= self.min_joins
            && f.tables >= self.min_tables
            && f.subqueries >= self.min_subqueries
            && same(self.grouped, f.grouped)
            && same(self.distinct, f.distinct)
            && same(self.aggregated, f.aggregated)
            && same(self.windowed, f.windows > 0)
            && same(self.united, f.united)
            && same(self.ordered, f.ordered)
            && same(self.limited, f.limited)
            && same(self.recursive, f.recursive)
            && same(self.pointed, f.pointed)
            && same(self.filtered, f.filtered)
            && same(self.reads, f.tables > 0)
    }

    /// The rules where operators give none.
    pub fn defaults() -> Vec<Rule> {
        let (look_up, report) = (Rule::of(Class::LookUp), Rule::of(Class::Report));
        vec![
            Rule {
                reads: Some(false),
                ..look_up.clone()
            },
            Rule {
                recursive: Some(true),
                ..report.clone()
            },
            Rule {
                windowed: Some(true),
                ..report.clone()
            },
            Rule {
                min_joins: 4,
                ..report.clone()
            },
            Rule {
                pointed: Some(true),
                grouped: Some(false),
                united: Some(false),
                min_tables: 1,
                distinct: Some(false),
                ..look_up
            },
            Rule {
                grouped: Some(true),
                ..report.clone()
            },
            Rule {
                united: Some(true),
                ..report.clone()
            },
            Rule {
                distinct: Some(true),
                ..report.clone()
            },
            Rule {
                aggregated: Some(true),
                ..report.clone()
            },
            Rule {
                filtered: Some(false),
                limited: Some(false),
                ..report.clone()
            },
            Rule {
                min_joins: 2,
                ..report
            },
        ]
    }
}

/// Work (ms on one core) and memory (MB) by class, in the order of `Class::ALL`, and what features multiply them by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prices {
    pub cost: [f64; 4],
    pub memory: [f64; 4],
    pub a_join: f64,
    pub a_window: f64,
    pub an_order: f64,
    pub no_filter: f64,
}

/// Features count so often at most: prices are guesses, and a guess must not run away.
const MAX_JOINS: u32 = 6;
const MAX_WINDOWS: u32 = 3;

impl Default for Prices {
    fn default() -> Self {
        Prices {
            cost: [20.0, 800.0, 1500.0, 800.0],
            memory: [8.0, 96.0, 128.0, 96.0],
            a_join: 1.5,
            a_window: 1.3,
            an_order: 1.1,
            no_filter: 2.0,
        }
    }
}

impl Prices {
    /// Work and memory of a statement by its class and features alone.
    pub fn of(&self, class: Class, f: &Features) -> (f64, f64) {
        let mut factor = self.a_join.powi(f.joins.min(MAX_JOINS) as i32);
        factor *= self.a_window.powi(f.windows.min(MAX_WINDOWS) as i32);
        factor *= if f.ordered { self.an_order } else { 1.0 };
        factor *= if f.tables > 0 && !f.filtered && !f.limited {
            self.no_filter
        } else {
            1.0
        };
        let n = class as usize;
        (self.cost[n] * factor, self.memory[n] * factor.sqrt())
    }
}

/// How costs are learned: see `learn`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Learning {
    pub half_sure: f64,
    /// Milliseconds.
    pub half_life: f64,
    pub shift_after: u32,
    pub max_step: f64,
}

impl Default for Learning {
    fn default() -> Self {
        Learning {
            half_sure: 3.0,
            half_life: 3_600_000.0,
            shift_after: 3,
            max_step: 2.0,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub dialects: Vec<Dialect>,
    pub rules: Vec<Rule>,
    /// In lower case, with their schema where they are called with one.
    pub pure_functions: Vec<String>,
    pub effect_functions: Vec<String>,
    pub prices: Prices,
    pub max_shapes: usize,
    pub max_bytes: usize,
    pub max_costs: usize,
    pub learning: Learning,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            dialects: vec![Dialect::Generic, Dialect::PostgreSql, Dialect::MySql],
            rules: Rule::defaults(),
            pure_functions: Vec::new(),
            effect_functions: Vec::new(),
            prices: Prices::default(),
            max_shapes: 4096,
            max_bytes: 2 << 20,
            max_costs: 16_384,
            learning: Learning::default(),
        }
    }
}
