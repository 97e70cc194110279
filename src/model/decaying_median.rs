//! Running medians, with and without decay.

use crate::model::LONG_AGO;

/// Moves a running median towards a sample by a fixed step, so that an outlier has little effect.
pub(crate) fn step_towards(median: &mut f64, sample: f64, step: f64) {
    if sample != *median {
        *median += step.copysign(sample - *median);
    }
}

/// A running median that decays exponentially towards a fallback while no samples arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingMedian {
    /// The median when it was last updated.
    level: f64,
    /// When the median was last updated (ms).
    updated_ms: f64,
}

/// A sample for a [`DecayingMedian`], with the bounds of its effect on the median.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MedianUpdate {
    pub(crate) sample: f64,
    /// The level towards which the median decays.
    pub(crate) fallback: f64,
    /// Time constant of the decay (ms).
    pub(crate) decay_ms: f64,
    /// Maximum change of the median by one sample.
    pub(crate) step: f64,
    /// Additional maximum change after a long gap without samples; it grows with the gap up to this value.
    pub(crate) gap_step: f64,
}

impl Default for DecayingMedian {
    fn default() -> Self {
        DecayingMedian {
            level: 0.0,
            updated_ms: LONG_AGO,
        }
    }
}

impl DecayingMedian {
    /// A median that was at `level` when it was last updated.
    #[cfg(test)]
    pub(crate) const fn new(level: f64, updated_ms: f64) -> Self {
        DecayingMedian { level, updated_ms }
    }

    /// The median when it was last updated.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// The median at `now_ms`, after decay since the last update.
    pub(crate) fn at(&self, now_ms: f64, fallback: f64, decay_ms: f64) -> f64 {
        let remaining_fraction = ((self.updated_ms - now_ms) / decay_ms).exp();
        fallback + (self.level - fallback) * remaining_fraction
    }

    /// Records a sample.
    pub(crate) fn update(&mut self, now_ms: f64, update: MedianUpdate) {
        let decayed_fraction = 1.0 - ((self.updated_ms - now_ms) / update.decay_ms).exp();
        self.level = self.at(now_ms, update.fallback, update.decay_ms);
        let distance = update.sample - self.level;
        let max_step = update.step + update.gap_step * decayed_fraction;
        self.level += max_step.min(distance.abs()).copysign(distance);
        self.updated_ms = now_ms;
    }
}
