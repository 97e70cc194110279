//! The cost of one shape: a level (log) that follows its samples, robust against outliers.
//!
//! An outlier moves the level by a small step only, until as many in a row as `shift_after` lie on one side: these move
//! it to their mean at once.

use crate::config::CostModelConfig;

/// Samples beyond this weight don't count, so that steps never get too small to follow a change.
const MAX_WEIGHT: f64 = 30.0;
/// Below this weight the samples are too old to be compared with.
const MIN_WEIGHT: f64 = 0.05;
/// A sample is an outlier beyond this many times the scatter.
const OUTLIER_SCATTERS: f64 = 3.0;
/// A sample is not an outlier within this distance (log).
const MIN_OUTLIER_DISTANCE: f64 = 0.7;
/// An outlier moves the level by this fraction of its distance at most.
const MAX_OUTLIER_STEP: f64 = 0.25;
/// Scatter (log) where nothing is known of it.
const INITIAL_SCATTER: f64 = 0.5;

/// A sample of a shape's cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// The log of the work (ms on one core).
    pub log_cost: f64,
    /// From 0 to 1.
    pub weight: f64,
    /// Whether it is the cost, and not only a bound on it.
    pub is_exact: bool,
    /// When it was taken (ms).
    pub at_ms: f64,
}

/// What is known of a shape's cost.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShapeCost {
    level: f64,
    /// Mean distance of samples from the level (log).
    scatter: f64,
    weight: f64,
    updated_at_ms: f64,
    outliers: OutlierRun,
}

/// Outliers in a row on one side of the level.
#[derive(Debug, Clone, Copy, Default)]
struct OutlierRun {
    /// Their number, negative below the level.
    count: i32,
    sum: f64,
}

impl OutlierRun {
    fn add(&mut self, log_cost: f64, is_above: bool) {
        let side = if is_above { 1 } else { -1 };
        let continues = self.count.signum() == side;
        if continues {
            self.count += side;
            self.sum += log_cost;
        } else {
            self.count = side;
            self.sum = log_cost;
        }
    }
}

impl ShapeCost {
    /// The log of the cost.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether the latest samples were outliers.
    pub fn has_outliers(&self) -> bool {
        self.outliers.count != 0
    }

    /// The weight of all samples at `now_ms`.
    pub fn weight_at(&self, now_ms: f64, config: &CostModelConfig) -> f64 {
        let age_ms = (now_ms - self.updated_at_ms).max(0.0);
        self.weight * (-age_ms / config.half_life_ms * std::f64::consts::LN_2).exp()
    }

    /// Confidence in the level, from 0 to 1.
    pub fn confidence(&self, now_ms: f64, config: &CostModelConfig) -> f64 {
        let weight = self.weight_at(now_ms, config);
        weight / (weight + config.half_confidence_samples) / (1.0 + self.scatter)
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: &Sample, config: &CostModelConfig) {
        self.weight = self.weight_at(sample.at_ms, config);
        self.updated_at_ms = sample.at_ms;
        if self.weight < MIN_WEIGHT {
            *self = ShapeCost {
                level: sample.log_cost,
                scatter: INITIAL_SCATTER,
                weight: sample.weight,
                updated_at_ms: sample.at_ms,
                outliers: OutlierRun::default(),
            };
            return;
        }
        let distance = sample.log_cost - self.level;
        let max_step = config.max_step_factor.ln();
        let step = sample.weight / (self.weight + sample.weight);
        if distance.abs() > MIN_OUTLIER_DISTANCE.max(OUTLIER_SCATTERS * self.scatter) {
            self.outliers.add(sample.log_cost, distance > 0.0);
            if self.outliers.count.unsigned_abs() >= config.shift_after {
                self.shift_to_outliers();
                return;
            }
            // It may be the first of many or the only one: a small step, and no change of the scatter.
            self.level += step.min(MAX_OUTLIER_STEP) * distance.clamp(-max_step, max_step);
            return;
        }
        if sample.is_exact {
            self.outliers = OutlierRun::default();
        } else if self.has_outliers() {
            // A bound on the cost does not end a run of outliers.
            return;
        }
        self.level += step * distance.clamp(-max_step, max_step);
        self.scatter += step * (distance.abs() - self.scatter);
        self.weight = (self.weight + sample.weight).min(MAX_WEIGHT);
    }

    fn shift_to_outliers(&mut self) {
        let count = f64::from(self.outliers.count.abs());
        self.level = self.outliers.sum / count;
        self.weight = count;
        self.scatter = INITIAL_SCATTER;
        self.outliers = OutlierRun::default();
    }
}
