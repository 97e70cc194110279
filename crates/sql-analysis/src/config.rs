//! Configuration: dialects, rules, known functions, base costs and bounds.

use crate::rules::Rule;
use crate::{Class, Features};

/// An SQL dialect that the engines may accept. A statement is proven read-only only if it is read-only in all
/// configured dialects that accept it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// A permissive mixture of dialects, tried only if no other configured dialect accepts a statement.
    Generic,
    /// Standard SQL.
    Ansi,
    /// PostgreSQL.
    PostgreSql,
    /// MySQL.
    MySql,
}

/// Estimated work and memory of a statement, by its class and features alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaseCost {
    /// Work (ms on one core).
    pub cost_ms: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// Work and memory of each class, in the order of [`Class::ALL`], and the factors by which features raise the work. The
/// cost model learns deviations from the work; it does not learn memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaseCosts {
    /// Work (ms on one core) of each class.
    pub cost_ms: [f64; 4],
    /// Memory (MB) of each class.
    pub memory_mb: [f64; 4],
    /// Factor for each join.
    pub join_factor: f64,
    /// Factor for each window function.
    pub window_factor: f64,
    /// Factor for ORDER BY.
    pub order_factor: f64,
    /// Factor for reading tables without a filter or limit.
    pub unfiltered_factor: f64,
}

/// Maximum number of joins that raise the base cost, which bounds the error of the estimate.
const MAX_COUNTED_JOINS: u32 = 6;
/// Maximum number of window functions that raise the base cost, for the same reason.
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
    /// Number of samples at which the confidence in the cost of a shape without scatter is one half.
    pub half_confidence_samples: f64,
    /// Half-life of a sample's weight (ms).
    pub half_life_ms: f64,
    /// Number of consecutive outliers on one side after which the estimate moves to their mean.
    pub shift_after: u32,
    /// Maximum factor by which one sample changes an estimate.
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

/// Configuration of a [`StatementAnalyzer`](crate::StatementAnalyzer). Ranges are checked when the operators'
/// file is parsed.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The dialects of the engines.
    pub dialects: Vec<Dialect>,
    /// Rules for the class of a read-only statement: the first rule that matches applies. Without a match the class is
    /// [`Class::LookUp`].
    pub rules: Vec<Rule>,
    /// Functions without effects, in lower case, qualified with their schema if calls qualify them.
    pub pure_functions: Vec<String>,
    /// Functions with effects, in the same form.
    pub effect_functions: Vec<String>,
    /// Costs by class and features alone.
    pub base_costs: BaseCosts,
    /// Maximum number of shapes in the shape cache.
    pub max_shapes: usize,
    /// Maximum size of the shape cache (bytes).
    pub max_shape_bytes: usize,
    /// Maximum number of shapes with learned costs.
    pub max_learned_costs: usize,
    /// Configuration of the cost model.
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
