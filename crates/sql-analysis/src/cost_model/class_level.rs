//! The cost of a class relative to its base cost, learned from all shapes of the class.

/// Maximum confidence in an estimate by class alone.
const MAX_CLASS_CONFIDENCE: f64 = 0.15;
/// Number of samples at which a class has half of `MAX_CLASS_CONFIDENCE`.
const HALF_CLASS_CONFIDENCE_SAMPLES: f64 = 50.0;
/// Minimum smoothing factor of a class's level.
const MIN_CLASS_STEP: f64 = 0.02;
/// Maximum absolute value of a class's level (log ratio).
const MAX_CLASS_LEVEL: f64 = 5.0;
/// Value at which a class's sample count saturates.
const MAX_CLASS_SAMPLES: f64 = 1e6;

/// The mean log ratio of a class's samples to their base costs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassLevel {
    level: f64,
    samples: f64,
}

impl ClassLevel {
    /// The mean log ratio.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Confidence in an estimate by class alone.
    pub fn confidence(&self) -> f64 {
        MAX_CLASS_CONFIDENCE * self.samples / (self.samples + HALF_CLASS_CONFIDENCE_SAMPLES)
    }

    /// Adds a sample: the log ratio of its cost to the base cost.
    pub fn add(&mut self, log_ratio: f64) {
        self.samples = (self.samples + 1.0).min(MAX_CLASS_SAMPLES);
        let step = MIN_CLASS_STEP.max(1.0 / self.samples);
        self.level += step * (log_ratio - self.level);
        self.level = self.level.clamp(-MAX_CLASS_LEVEL, MAX_CLASS_LEVEL);
    }
}
