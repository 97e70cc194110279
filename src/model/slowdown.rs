//! Slowdown estimators: running medians of the log ratio of observed to expected run time.

use crate::model::{Lane, LONG_AGO};

/// Moves a running median by a fixed step towards a sample, so that no outlier pulls it far.
pub(crate) fn step_towards(median: &mut f64, sample: f64, step: f64) {
    if sample != *median {
        *median += step.copysign(sample - *median);
    }
}

/// A running median that decays towards a fallback as its evidence ages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FadingMedian {
    /// The median when it was last updated.
    pub(crate) level: f64,
    /// When it was last updated (ms).
    pub(crate) updated_ms: f64,
}

/// How a [`FadingMedian`] takes a sample.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MedianUpdate {
    pub(crate) sample: f64,
    /// What the median decays towards.
    pub(crate) fallback: f64,
    /// Time constant of the decay (ms).
    pub(crate) decay_ms: f64,
    /// The most that one sample moves the median.
    pub(crate) step: f64,
    /// How much further a sample moves it after a long gap.
    pub(crate) gap_step: f64,
}

impl Default for FadingMedian {
    fn default() -> Self {
        FadingMedian {
            level: 0.0,
            updated_ms: LONG_AGO,
        }
    }
}

impl FadingMedian {
    /// The median as it has decayed by `now_ms`.
    pub(crate) fn at(&self, now_ms: f64, fallback: f64, decay_ms: f64) -> f64 {
        let remaining = ((self.updated_ms - now_ms) / decay_ms).exp();
        fallback + (self.level - fallback) * remaining
    }

    /// Takes in a sample.
    pub(crate) fn update(&mut self, now_ms: f64, update: MedianUpdate) {
        let gap = 1.0 - ((self.updated_ms - now_ms) / update.decay_ms).exp();
        self.level = self.at(now_ms, update.fallback, update.decay_ms);
        let distance = update.sample - self.level;
        let max_step = update.step + update.gap_step * gap;
        self.level += max_step.min(distance.abs()).copysign(distance);
        self.updated_ms = now_ms;
    }
}

/// How long, and up to what, slowdowns are remembered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowdownMemory {
    /// The highest slowdown that is remembered (log ratio).
    pub(crate) max: f64,
    /// An engine's slowdown decays towards its zone's, a zone's towards the pool's, that towards none (ms).
    pub(crate) engine_decay_ms: f64,
    pub(crate) zone_decay_ms: f64,
    /// How much further one answer moves a slowdown after a long gap.
    pub(crate) gap_step: f64,
}

/// How far answers of each lane lie above their groups' best (log ratio).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSlowdowns {
    pub(crate) fast: FadingMedian,
    pub(crate) low: FadingMedian,
}

impl LaneSlowdowns {
    pub(crate) fn lane(&self, lane: Lane) -> &FadingMedian {
        match lane {
            Lane::Fast => &self.fast,
            Lane::Low => &self.low,
        }
    }

    pub(crate) fn lane_mut(&mut self, lane: Lane) -> &mut FadingMedian {
        match lane {
            Lane::Fast => &mut self.fast,
            Lane::Low => &mut self.low,
        }
    }
}

/// A resource group's run times against their estimates (log ratios), as its answers showed them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupSlowdown {
    /// Running median of the ratios.
    pub(crate) usual: f64,
    /// The lowest that the running median has been.
    pub(crate) best: f64,
    /// Answers seen.
    pub(crate) samples: u32,
    /// Mean distance of ratios from the median, now and at its lowest.
    pub(crate) scatter: f64,
    pub(crate) min_scatter: f64,
}

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

impl GroupSlowdown {
    /// Takes in one answer's ratio and returns how far it lies above the best.
    ///
    /// The best is the lowest level of the running median: single lucky answers, or estimates that scatter, do not make
    /// a quiet engine look slow.
    pub(crate) fn learn(&mut self, ratio: f64, steps: LearningSteps) -> f64 {
        if self.samples == 0 {
            self.usual = ratio;
        }
        self.samples += 1;
        let scatter_change = (ratio - self.usual).abs() - self.scatter;
        let mean_step = steps.mean.max(1.0 / f64::from(self.samples));
        self.scatter += mean_step * scatter_change;
        let settled = self.samples >= steps.min_samples;
        self.min_scatter = if settled {
            self.scatter.min(self.min_scatter)
        } else {
            self.scatter
        };
        step_towards(&mut self.usual, ratio, steps.median);
        self.best = if settled {
            self.usual.min(self.best)
        } else {
            self.usual
        };
        ratio - self.best
    }
}
