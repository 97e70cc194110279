//! The cost of one shape: a level (the log of the cost) that follows the shape's samples, and is robust against
//! outliers.
//!
//! A single outlier moves the level by a small step only. `shift_after` consecutive outliers on one side move the level
//! to their mean.

use crate::config::CostModelConfig;

/// Maximum total weight of the samples, so that steps never become too small to follow a change.
const MAX_WEIGHT: f64 = 30.0;
/// Minimum total weight of the samples. Below it they are too old for a comparison, and the next sample replaces them.
const MIN_WEIGHT: f64 = 0.05;
/// Distance from the level above which a sample is an outlier, as a multiple of the scatter.
const OUTLIER_SCATTERS: f64 = 3.0;
/// Minimum of this distance (log ratio), however small the scatter is.
const MIN_OUTLIER_DISTANCE: f64 = 0.7;
/// Maximum fraction of its distance by which an outlier moves the level.
const MAX_OUTLIER_STEP: f64 = 0.25;
/// Scatter after the first sample, and after a shift to outliers (log ratio).
const INITIAL_SCATTER: f64 = 0.5;

/// A sample of a shape's cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// The log of the work (ms on one core).
    pub log_cost: f64,
    /// Weight, from 0 to 1.
    pub weight: f64,
    /// Whether the sample is a measurement of the cost, and not only a bound on it.
    pub is_exact: bool,
    /// Time of the sample (ms).
    pub at_ms: f64,
}

/// The learned cost of a shape.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShapeCost {
    level: f64,
    /// Mean absolute distance of the samples from the level (log ratio).
    scatter: f64,
    /// Total weight of the samples at `updated_at_ms`.
    weight: f64,
    updated_at_ms: f64,
    outliers: OutlierRun,
}

/// Consecutive outliers on one side of the level.
#[derive(Debug, Clone, Copy, Default)]
struct OutlierRun {
    /// Number of outliers, negative below the level.
    count: i32,
    /// Sum of the outliers' log costs.
    sum: f64,
}

impl OutlierRun {
    fn add(&mut self, log_cost: f64, is_above: bool) {
        let side = if is_above { 1 } else { -1 };
        let is_same_side = self.count.signum() == side;
        if is_same_side {
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

    /// The total weight of the samples at `now_ms`.
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
            // Fewer than `shift_after` outliers are not taken as a change of cost: the step is small and the scatter
            // unchanged.
            self.level += step.min(MAX_OUTLIER_STEP) * distance.clamp(-max_step, max_step);
            return;
        }
        if sample.is_exact {
            self.outliers = OutlierRun::default();
        } else if self.has_outliers() {
            // During a run of outliers, a bound on the cost neither ends the run nor moves the level.
            return;
        }
        self.level += step * distance.clamp(-max_step, max_step);
        self.scatter += step * (distance.abs() - self.scatter);
        self.weight = (self.weight + sample.weight).min(MAX_WEIGHT);
    }

    /// Moves the level to the mean of the run of outliers.
    fn shift_to_outliers(&mut self) {
        let count = f64::from(self.outliers.count.abs());
        self.level = self.outliers.sum / count;
        self.weight = count;
        self.scatter = INITIAL_SCATTER;
        self.outliers = OutlierRun::default();
    }
}
