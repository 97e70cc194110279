//! The cost model: estimates the cost of shapes from the latencies of their attempts.
//!
//! A sample is latency times threads, corrected by the engine's slowdown (`engine_slowdown`) and compared with the
//! shape's earlier samples (`shape_cost`). A single outlier changes an estimate little; after a lasting change of cost
//! the estimate follows within a few queries. The latency of a query that waited, or ran on an engine that was warming
//! up, is an upper bound on its cost: it lowers an estimate but hardly raises it. The latency of an interrupted query
//! is a lower bound: it can only raise an estimate.

mod class_level;
mod engine_slowdown;
mod shape_cost;

#[cfg(test)]
mod tests;

use crate::config::CostModelConfig;
use crate::Class;
use class_level::ClassLevel;
use engine_slowdown::EngineSlowdowns;
use mini_moka::unsync::Cache;
use shape_cost::{Sample, ShapeCost};

/// Weight of a sample that is an upper bound on the cost, if it is higher than expected.
const UPPER_BOUND_WEIGHT: f64 = 0.05;
/// Weight of a sample that is a lower bound on the cost, if it is higher than expected.
const LOWER_BOUND_WEIGHT: f64 = 0.5;
/// Minimum confidence in a shape's cost for its samples to update the slowdowns of engines.
const MIN_SLOWDOWN_CONFIDENCE: f64 = 0.4;
/// Weight of the prior estimate (by base cost and class), relative to the weight of one sample of the shape.
const PRIOR_WEIGHT: f64 = 0.02;
/// Costs below this (ms) are not distinguished.
const MIN_COST_MS: f64 = 0.05;

/// The outcome of an attempt, reduced to the cases that the cost model treats differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The attempt completed.
    Completed,
    /// The attempt timed out or was cancelled while it ran.
    Interrupted,
}

/// An attempt that an engine executed.
#[derive(Debug, Clone, Copy)]
pub struct Execution {
    /// Time of completion or interruption (ms).
    pub ended_at_ms: f64,
    /// The engine that ran the attempt.
    pub engine_id: u64,
    /// Latency (ms).
    pub latency_ms: f64,
    /// Number of threads that the engine uses for the query.
    pub threads: f64,
    /// Whether the attempt completed or was interrupted.
    pub outcome: ExecutionOutcome,
    /// Whether an unknown part of the latency was spent waiting for memory, for a load, or in a queue.
    pub waited: bool,
    /// Whether the engine was warming up.
    pub warming_up: bool,
}

impl Execution {
    /// Whether the latency is a measurement of the cost, and not only a bound on it.
    fn is_exact(&self) -> bool {
        self.outcome == ExecutionOutcome::Completed && !self.waited && !self.warming_up
    }
}

/// The estimated cost of a statement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Work (ms on one core).
    pub cost_ms: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Confidence in the work, from 0 to 1.
    pub confidence: f64,
}

/// The base cost of a shape, before the class's level and the shape's samples are applied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PriorCost {
    pub class: Class,
    /// Work (ms on one core) by class and features.
    pub cost_ms: f64,
}

impl PriorCost {
    fn log_cost(self) -> f64 {
        self.cost_ms.max(MIN_COST_MS).ln()
    }
}

/// Learned costs of shapes, classes and engines.
pub(crate) struct CostModel {
    config: CostModelConfig,
    max_shapes: usize,
    shapes: Cache<u128, ShapeCost>,
    classes: [ClassLevel; Class::ALL.len()],
    engines: EngineSlowdowns,
}

impl CostModel {
    /// A model without samples, for at most `max_shapes` shapes.
    pub fn new(config: CostModelConfig, max_shapes: usize) -> Self {
        CostModel {
            config,
            max_shapes,
            shapes: Cache::new(max_shapes as u64),
            classes: Default::default(),
            engines: EngineSlowdowns::default(),
        }
    }

    /// Replaces the configuration. Learned costs are kept, up to the new number of shapes.
    pub fn reconfigure(&mut self, config: CostModelConfig, max_shapes: usize) {
        self.config = config;
        if max_shapes == self.max_shapes {
            return;
        }
        let mut shapes = Cache::new(max_shapes as u64);
        for (shape_id, cost) in self.shapes.iter() {
            shapes.insert(*shape_id, *cost);
        }
        self.shapes = shapes;
        self.max_shapes = max_shapes;
    }

    /// Number of shapes with samples.
    pub fn len(&self) -> usize {
        self.shapes.entry_count() as usize
    }

    /// The estimated cost of a shape at `now_ms`. `memory_mb` is returned unchanged, since memory is not learned.
    pub fn estimate(
        &mut self,
        shape_id: u128,
        prior: PriorCost,
        memory_mb: f64,
        now_ms: f64,
    ) -> Estimate {
        let class = &self.classes[prior.class as usize];
        let prior_level = prior.log_cost() + class.level();
        let Some(shape) = self.shapes.get(&shape_id) else {
            return Estimate {
                cost_ms: prior_level.exp(),
                memory_mb,
                confidence: class.confidence(),
            };
        };
        let weight = shape.weight_at(now_ms, &self.config);
        let shape_fraction = weight / (weight + PRIOR_WEIGHT);
        let level = shape_fraction * shape.level() + (1.0 - shape_fraction) * prior_level;
        Estimate {
            cost_ms: level.exp(),
            memory_mb,
            confidence: shape
                .confidence(now_ms, &self.config)
                .max(class.confidence()),
        }
    }

    /// Adds a sample. `prior` is the shape's base cost at the start of the attempt. A sample with a negative or
    /// non-finite value is ignored.
    pub fn record(&mut self, shape_id: u128, prior: PriorCost, execution: &Execution) {
        let now_ms = execution.ended_at_ms;
        let work_ms = execution.latency_ms * execution.threads;
        let is_valid = work_ms.is_finite()
            && work_ms >= 0.0
            && prior.cost_ms.is_finite()
            && now_ms.is_finite();
        if !is_valid {
            return;
        }
        let measured_log_cost = work_ms.max(MIN_COST_MS).ln();
        let log_cost =
            measured_log_cost - self.engines.relative_slowdown(execution.engine_id, now_ms);
        let known = self.shapes.get(&shape_id).copied();
        let class_level = self.classes[prior.class as usize].level();
        let expected = known.map_or(prior.log_cost() + class_level, |shape| shape.level());
        let Some(weight) = sample_weight(execution, log_cost > expected) else {
            return;
        };
        let is_exact = execution.is_exact();
        if let Some(shape) =
            known.filter(|shape| is_exact && self.may_update_slowdown(shape, now_ms))
        {
            let slowdown = measured_log_cost - shape.level();
            self.engines.add(execution.engine_id, slowdown, now_ms);
        }
        let sample = Sample {
            log_cost,
            weight,
            is_exact,
            at_ms: now_ms,
        };
        let mut shape = known.unwrap_or_default();
        shape.add(&sample, &self.config);
        self.shapes.insert(shape_id, shape);
        if is_exact {
            let log_ratio = log_cost - prior.log_cost();
            self.classes[prior.class as usize].add(log_ratio);
        }
    }

    /// Whether a sample of this shape may update the slowdown of its engine: the confidence in the shape's cost is
    /// high, and its latest samples were not outliers.
    fn may_update_slowdown(&self, shape: &ShapeCost, now_ms: f64) -> bool {
        shape.confidence(now_ms, &self.config) > MIN_SLOWDOWN_CONFIDENCE && !shape.has_outliers()
    }
}

/// The weight of a sample, from 0 to 1; `None` for a lower bound that is not above the expected cost.
fn sample_weight(execution: &Execution, is_higher_than_expected: bool) -> Option<f64> {
    let is_upper_bound = execution.waited || execution.warming_up;
    match execution.outcome {
        ExecutionOutcome::Interrupted if !is_higher_than_expected => None,
        ExecutionOutcome::Interrupted => Some(LOWER_BOUND_WEIGHT),
        ExecutionOutcome::Completed if is_upper_bound && is_higher_than_expected => {
            Some(UPPER_BOUND_WEIGHT)
        }
        ExecutionOutcome::Completed => Some(1.0),
    }
}
