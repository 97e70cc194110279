//! How a resource group's run times compare with its estimates, and the steps by which everything is learned.

use crate::model::fading_median::step_towards;

/// Fraction of the lowest scatter that an answer may lie above the best without being slow.
const TOLERATED_SCATTER_FRACTION: f64 = 0.5;

/// The steps by which run times, costs and slowdowns are learned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LearningSteps {
    /// Step of running medians (log ratio).
    pub(crate) median: f64,
    /// Step of moving means (fraction of the distance).
    pub(crate) mean: f64,
    /// Samples after which a group's lowest median and scatter count.
    pub(crate) min_samples: u32,
    /// Lower bound of times in ratios (ms).
    pub(crate) min_time_ms: f64,
}

/// The steps by which all groups and engines learn.
pub(crate) const LEARNING: LearningSteps = LearningSteps {
    median: 0.05,
    mean: 0.02,
    min_samples: 20,
    min_time_ms: 0.1,
};

/// A resource group's run times against their estimates (log ratios), as its answers showed them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupSlowdown {
    /// Running median of the ratios.
    usual: f64,
    /// The lowest that the running median has been.
    best: f64,
    /// Answers seen.
    samples: u32,
    /// Mean distance of ratios from the median.
    scatter: f64,
    /// The lowest that the scatter has been.
    min_scatter: f64,
}

impl GroupSlowdown {
    /// Running median of the ratios.
    pub(crate) fn usual(&self) -> f64 {
        self.usual
    }

    /// The lowest that the running median has been.
    pub(crate) fn best(&self) -> f64 {
        self.best
    }

    /// Whether an answer was recorded.
    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// How far an answer may lie above the best without being slow.
    pub(crate) fn tolerated_scatter(&self) -> f64 {
        TOLERATED_SCATTER_FRACTION * self.min_scatter
    }

    /// Moves the median towards a ratio that is predicted, and returns how far that lies above the best.
    pub(crate) fn learn_predicted(&mut self, ratio: f64) -> f64 {
        step_towards(&mut self.usual, ratio, LEARNING.median);
        ratio - self.best
    }

    /// Records one answer's ratio and returns how far it lies above the best.
    ///
    /// The best is the lowest level of the running median, so that neither a single quick answer nor scattered estimates
    /// make an idle engine look slow.
    pub(crate) fn learn(&mut self, ratio: f64) -> f64 {
        if self.samples == 0 {
            self.usual = ratio;
        }
        self.samples += 1;
        let scatter_change = (ratio - self.usual).abs() - self.scatter;
        let mean_step = LEARNING.mean.max(1.0 / f64::from(self.samples));
        self.scatter += mean_step * scatter_change;
        let settled = self.samples >= LEARNING.min_samples;
        self.min_scatter = if settled {
            self.scatter.min(self.min_scatter)
        } else {
            self.scatter
        };
        step_towards(&mut self.usual, ratio, LEARNING.median);
        self.best = if settled {
            self.usual.min(self.best)
        } else {
            self.usual
        };
        ratio - self.best
    }

    /// Sets the median.
    #[cfg(test)]
    pub(crate) fn set_usual(&mut self, usual: f64) {
        self.usual = usual;
    }

    /// Sets the number of answers.
    #[cfg(test)]
    pub(crate) fn set_samples(&mut self, samples: u32) {
        self.samples = samples;
    }

    /// Sets the scatter, and the lowest that it has been.
    #[cfg(test)]
    pub(crate) fn set_scatter(&mut self, scatter: f64) {
        self.scatter = scatter;
        self.min_scatter = scatter;
    }
}
