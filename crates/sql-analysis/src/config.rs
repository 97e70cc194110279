//! Configuration: dialects, rules, known functions, base costs and bounds.

use crate::rules::Rule;
use crate::{Class, Features};

/// A dialect that an engine may speak. A statement is proven read-only only if no configured dialect reads it
/// differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// A permissive mixture, tried only if no other configured dialect accepts a statement.
    Generic,
    /// Standard SQL.
    Ansi,
    /// PostgreSQL.
    PostgreSql,
    /// MySQL.
    MySql,
}

/// Work and memory of a statement by its class and features alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaseCost {
    /// Work (ms on one core).
    pub cost_ms: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// Work and memory by class, in the order of [`Class::ALL`], and the factors of features.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaseCosts {
    /// Work (ms on one core) of each class.
    pub cost_ms: [f64; 4],
    /// Memory (MB) of each class.
    pub memory_mb: [f64; 4],
    /// Factor of each join.
    pub join_factor: f64,
    /// Factor of each window function.
    pub window_factor: f64,
    /// Factor of ORDER BY.
    pub order_factor: f64,
    /// Factor of a statement that reads tables without a filter or limit.
    pub unfiltered_factor: f64,
}

/// Joins beyond this many don't raise the cost: it is a guess, and must not run away.
const MAX_COUNTED_JOINS: u32 = 6;
/// Likewise for window functions.
const MAX_COUNTED_WINDOWS: u32 = 3;

impl Default for BaseCosts {
    fn default() -> Self {
        BaseCosts {
            cost_ms: [20.0, 800.0, 1500.0, 800.0],
            memory_mb: [8.0, 96.0, 128.0, 96.0],
            join_factor: 1.5,
            window_factor: 1.3,
            order_factor: 1.1,
            unfiltered_factor: 2.0,
        }
    }
}

impl BaseCosts {
    /// Work and memory of a statement. Memory rises with the square root of work.
    pub fn of(&self, class: Class, features: &Features) -> BaseCost {
        let joins = features.joins.min(MAX_COUNTED_JOINS) as i32;
        let windows = features.windows.min(MAX_COUNTED_WINDOWS) as i32;
        let mut factor = self.join_factor.powi(joins);
        factor *= self.window_factor.powi(windows);
        if features.ordered {
            factor *= self.order_factor;
        }
        if features.tables > 0 && !features.filtered && !features.limited {
            factor *= self.unfiltered_factor;
        }
        let index = class as usize;
        BaseCost {
            cost_ms: self.cost_ms[index] * factor,
            memory_mb: self.memory_mb[index] * factor.sqrt(),
        }
    }
}

/// Configuration of the cost model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModelConfig {
    /// Samples with which the confidence of a shape without scatter is one half.
    pub half_confidence_samples: f64,
    /// Time (ms) until a sample has half its weight.
    pub half_life_ms: f64,
    /// Outliers in a row on one side after which the estimate moves to their mean.
    pub shift_after: u32,
    /// The factor by which one sample moves an estimate at most.
    pub max_step_factor: f64,
}

impl Default for CostModelConfig {
    fn default() -> Self {
        CostModelConfig {
            half_confidence_samples: 3.0,
            half_life_ms: 3_600_000.0,
            shift_after: 3,
            max_step_factor: 2.0,
        }
    }
}

/// Configuration of a [`StatementAnalyzer`](crate::StatementAnalyzer). Ranges are checked where it is read from the
/// operators' file.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The dialects that the engines speak.
    pub dialects: Vec<Dialect>,
    /// The first rule that matches a read-only statement gives its class, without any it is a look-up.
    pub rules: Vec<Rule>,
    /// Functions without effects, in lower case, with their schema where they are called with one.
    pub pure_functions: Vec<String>,
    /// Functions with effects, likewise.
    pub effect_functions: Vec<String>,
    /// Costs of shapes of which nothing was learned.
    pub base_costs: BaseCosts,
    /// Shapes in the cache.
    pub max_shapes: usize,
    /// Bytes of the cache.
    pub max_shape_bytes: usize,
    /// Shapes whose cost is kept.
    pub max_learned_costs: usize,
    /// How costs are learned.
    pub cost_model: CostModelConfig,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            dialects: vec![Dialect::Generic, Dialect::PostgreSql, Dialect::MySql],
            rules: Rule::defaults(),
            pure_functions: Vec::new(),
            effect_functions: Vec::new(),
            base_costs: BaseCosts::default(),
            max_shapes: 4096,
            max_shape_bytes: 2 << 20,
            max_learned_costs: 16_384,
            cost_model: CostModelConfig::default(),
        }
    }
}
