//! What shapes cost, learned from how their queries ended.
//!
//! A sample is latency times threads, compared with what the engine and the shape usually show (`shape_cost`,
//! `engine_slowdown`). So one bad plan changes an estimate little, and a shape whose cost has changed is followed within
//! a few queries. A query that waited, or ran on an engine that was warming up, took at most what was measured: it
//! lowers an estimate but hardly raises one. One that was interrupted took at least that: it only raises.

mod engine_slowdown;
mod shape_cost;

#[cfg(test)]
mod tests;

use crate::config::CostModelConfig;
use crate::Class;
use engine_slowdown::EngineSlowdowns;
use mini_moka::unsync::Cache;
use shape_cost::{Sample, ShapeCost};

/// Weight of a sample that bounds the cost from above, if it is higher than expected.
const UPPER_BOUND_WEIGHT: f64 = 0.05;
/// Weight of a sample that bounds the cost from below, if it is higher than expected.
const LOWER_BOUND_WEIGHT: f64 = 0.5;
/// Confidence that a shape needs before it teaches the slowdown of engines.
const MIN_TEACHING_CONFIDENCE: f64 = 0.4;
/// The highest confidence that a class gives: it says little of one shape.
const MAX_CLASS_CONFIDENCE: f64 = 0.15;
/// Samples of a class with which it gives half of that.
const HALF_CLASS_CONFIDENCE_SAMPLES: f64 = 50.0;
/// A class's level follows each sample by this fraction at least.
const MIN_CLASS_STEP: f64 = 0.02;
/// Bound on a class's level (log).
const MAX_CLASS_LEVEL: f64 = 5.0;
/// Samples of a class beyond this many don't count.
const MAX_CLASS_SAMPLES: f64 = 1e6;
/// Weight of base cost and class against samples of the shape: one sample already says more.
const PRIOR_WEIGHT: f64 = 0.02;
/// Costs below this (ms) are not distinguished.
const MIN_COST_MS: f64 = 0.05;

/// How an attempt ended, as far as its cost is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// It ran to its end.
    Completed,
    /// It timed out or was given up while it ran.
    Interrupted,
}

/// An attempt that ran.
#[derive(Debug, Clone, Copy)]
pub struct Execution {
    /// When it ended (ms).
    pub ended_at_ms: f64,
    /// Where it ran.
    pub engine_id: u64,
    /// For how long (ms).
    pub latency_ms: f64,
    /// On how many threads.
    pub threads: f64,
    /// How it ended.
    pub end: ExecutionEnd,
    /// It waited for memory, for a load, or in a queue, for an unknown part of its latency.
    pub waited: bool,
    /// The engine was warming up.
    pub warming_up: bool,
}

impl Execution {
    /// Whether its latency is its cost, and not only a bound on it.
    fn is_exact(&self) -> bool {
        self.end == ExecutionEnd::Completed && !self.waited && !self.warming_up
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

/// What is expected of a shape without samples.
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

/// The mean log ratio of a class's samples to their base costs.
#[derive(Debug, Clone, Copy, Default)]
struct ClassLevel {
    level: f64,
    samples: f64,
}

impl ClassLevel {
    fn confidence(&self) -> f64 {
        MAX_CLASS_CONFIDENCE * self.samples / (self.samples + HALF_CLASS_CONFIDENCE_SAMPLES)
    }

    /// Adds a sample: the log ratio of its cost to the base cost.
    fn add(&mut self, log_ratio: f64) {
        self.samples = (self.samples + 1.0).min(MAX_CLASS_SAMPLES);
        let step = MIN_CLASS_STEP.max(1.0 / self.samples);
        self.level += step * (log_ratio - self.level);
        self.level = self.level.clamp(-MAX_CLASS_LEVEL, MAX_CLASS_LEVEL);
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
    /// A model without samples, of at most `max_shapes` shapes.
    pub fn new(config: CostModelConfig, max_shapes: usize) -> Self {
        CostModel {
            config,
            max_shapes,
            shapes: Cache::new(max_shapes as u64),
            classes: Default::default(),
            engines: EngineSlowdowns::default(),
        }
    }

    /// Replaces the configuration. Samples are kept, as far as there is space for them.
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

    /// The estimated cost of a shape at `now_ms`.
    pub fn estimate(
        &mut self,
        shape_id: u128,
        prior: PriorCost,
        memory_mb: f64,
        now_ms: f64,
    ) -> Estimate {
        let class = &self.classes[prior.class as usize];
        let prior_level = prior.log_cost() + class.level;
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

    /// Adds a sample. `prior` is that under which the attempt was started. Values that are not finite are ignored.
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
        let measured = work_ms.max(MIN_COST_MS).ln();
        let log_cost = measured - self.engines.relative_slowdown(execution.engine_id, now_ms);
        let known = self.shapes.get(&shape_id).copied();
        let class_level = self.classes[prior.class as usize].level;
        let expected = known.map_or(prior.log_cost() + class_level, |shape| shape.level());
        let Some(weight) = sample_weight(execution, log_cost > expected) else {
            return;
        };
        let is_exact = execution.is_exact();
        if let Some(shape) = known.filter(|shape| is_exact && self.may_teach(shape, now_ms)) {
            let slowdown = measured - shape.level();
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

    /// Whether a shape is known well enough to teach the slowdown of engines. One that may be shifting is not.
    fn may_teach(&self, shape: &ShapeCost, now_ms: f64) -> bool {
        shape.confidence(now_ms, &self.config) > MIN_TEACHING_CONFIDENCE && !shape.has_outliers()
    }
}

/// The weight of a sample, from 0 to 1; `None` for one that says nothing.
fn sample_weight(execution: &Execution, is_higher_than_expected: bool) -> Option<f64> {
    let is_upper_bound = execution.waited || execution.warming_up;
    match execution.end {
        ExecutionEnd::Interrupted if !is_higher_than_expected => None,
        ExecutionEnd::Interrupted => Some(LOWER_BOUND_WEIGHT),
        ExecutionEnd::Completed if is_upper_bound && is_higher_than_expected => {
            Some(UPPER_BOUND_WEIGHT)
        }
        ExecutionEnd::Completed => Some(1.0),
    }
}
