//! Stalls: which resource groups' attempts stall on an engine, while those of other groups may run as usual.

use crate::model::engine_health::{EJECTION_LEVEL, ERROR_STEP};
use crate::model::slowdown::MEMORY;
use crate::model::{FadingMedian, GroupIndex, MedianUpdate};

/// Step of a stall level.
const STALL_STEP: f64 = ERROR_STEP;
/// Stall level above which a group avoids the engine.
const MAX_STALL_LEVEL: f64 = EJECTION_LEVEL;

/// The stall level of each resource group on one engine, from no attempt that stalls (0) to all (1).
#[derive(Debug, Clone, Default)]
pub(crate) struct StallLevels(Vec<FadingMedian>);

impl StallLevels {
    /// Whether a group's attempts stall.
    pub(crate) fn is_stalled(&self, group: GroupIndex, now_ms: f64) -> bool {
        let level = self
            .0
            .get(group.0)
            .map_or(0.0, |level| level.at(now_ms, 0.0, MEMORY.engine_decay_ms));
        level > MAX_STALL_LEVEL
    }

    /// Records that an attempt of a group stalled.
    pub(crate) fn record_stall(&mut self, group: GroupIndex, now_ms: f64) {
        self.record(group, 1.0, STALL_STEP, now_ms);
    }

    /// Records that an attempt of a group completed.
    pub(crate) fn record_completion(&mut self, group: GroupIndex, now_ms: f64) {
        self.record(group, 0.0, STALL_STEP, now_ms);
    }

    /// Records an attempt that is slow without a stall: the level only decays up to now.
    pub(crate) fn record_slow_attempt(&mut self, group: GroupIndex, now_ms: f64) {
        self.record(group, 1.0, 0.0, now_ms);
    }

    fn record(&mut self, group: GroupIndex, sample: f64, step: f64, now_ms: f64) {
        let update = MedianUpdate {
            sample,
            fallback: 0.0,
            decay_ms: MEMORY.engine_decay_ms,
            step,
            gap_step: 0.0,
        };
        let len = self.0.len().max(group.0 + 1);
        self.0.resize(len, FadingMedian::default());
        self.0[group.0].update(now_ms, update);
    }
}
