//! The ratio of a resource group's run times to its estimates, and the learning parameters of all groups and engines.

use crate::model::decaying_median::step_towards;

/// Fraction of the lowest scatter by which a ratio may exceed the best without showing a slowdown.
const TOLERATED_SCATTER_FRACTION: f64 = 0.5;

/// The parameters with which run times, costs and slowdowns are learned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LearningParams {
    /// Step of a running median for each sample (log ratio).
    pub(crate) median: f64,
    /// Weight of a new sample in an exponential moving mean.
    pub(crate) mean: f64,
    /// Number of samples after which the lowest median and scatter of a group are tracked.
    pub(crate) min_samples: u32,
    /// Lower bound of the times in a ratio (ms).
    pub(crate) min_time_ms: f64,
}

/// The learning parameters of all groups and engines.
pub(crate) const LEARNING: LearningParams = LearningParams {
    median: 0.05,
    mean: 0.02,
    min_samples: 20,
    min_time_ms: 0.1,
};

/// Statistics of the ratios of run time to estimate (log ratios) in a resource group's answers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupSlowdown {
    /// Running median of the ratios.
    median: f64,
    /// Lowest value of the running median so far.
    best: f64,
    /// Number of answers recorded.
    samples: u32,
    /// Mean absolute deviation of the ratios from the median.
    scatter: f64,
    /// Lowest value of the scatter so far.
    min_scatter: f64,
}

impl GroupSlowdown {
    /// Running median of the ratios.
    pub(crate) fn median(&self) -> f64 {
        self.median
    }

    /// Lowest value of the running median so far.
    pub(crate) fn best(&self) -> f64 {
        self.best
    }

    /// Whether any answer was recorded.
    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// The amount by which a ratio may exceed the best without showing a slowdown (log ratio).
    pub(crate) fn tolerated_scatter(&self) -> f64 {
        TOLERATED_SCATTER_FRACTION * self.min_scatter
    }

    /// Moves the median towards a predicted ratio, and returns the difference between that ratio and the best.
    pub(crate) fn record_predicted_ratio(&mut self, ratio: f64) -> f64 {
        step_towards(&mut self.median, ratio, LEARNING.median);
        ratio - self.best
    }

    /// Records the ratio of an answer, and returns the difference between that ratio and the best.
    ///
    /// The best is the lowest value of the running median. With the lowest single ratio instead, one fast answer or
    /// scattered estimates would make an idle engine look slow.
    pub(crate) fn record_ratio(&mut self, ratio: f64) -> f64 {
        if self.samples == 0 {
            self.median = ratio;
        }
        self.samples += 1;
        let scatter_change = (ratio - self.median).abs() - self.scatter;
        let mean_step = LEARNING.mean.max(1.0 / f64::from(self.samples));
        self.scatter += mean_step * scatter_change;
        let has_min_samples = self.samples >= LEARNING.min_samples;
        self.min_scatter = if has_min_samples {
            self.scatter.min(self.min_scatter)
        } else {
            self.scatter
        };
        step_towards(&mut self.median, ratio, LEARNING.median);
        self.best = if has_min_samples {
            self.median.min(self.best)
        } else {
            self.median
        };
        ratio - self.best
    }

    /// Sets the median.
    #[cfg(test)]
    pub(crate) fn set_median(&mut self, median: f64) {
        self.median = median;
    }

    /// Sets the number of recorded answers.
    #[cfg(test)]
    pub(crate) fn set_samples(&mut self, samples: u32) {
        self.samples = samples;
    }

    /// Sets the scatter and its lowest value so far.
    #[cfg(test)]
    pub(crate) fn set_scatter(&mut self, scatter: f64) {
        self.scatter = scatter;
        self.min_scatter = scatter;
    }
}
