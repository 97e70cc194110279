//! Stalls: per engine, the resource groups whose attempts make no progress, while attempts of other groups may run
//! normally.

use crate::model::engine_health::{EJECTION_ERROR_RATE, ERROR_RATE_STEP};
use crate::model::slowdown::SLOWDOWN_PARAMS;
use crate::model::{DecayingMedian, GroupIndex, MedianUpdate};

/// Maximum change of a stall level by one attempt.
const STALL_STEP: f64 = ERROR_RATE_STEP;
/// Stall level above which a group avoids the engine.
const MAX_STALL_LEVEL: f64 = EJECTION_ERROR_RATE;

/// The stall level of each resource group on one engine, from 0 (no attempts stall) to 1 (all attempts stall).
#[derive(Debug, Clone, Default)]
pub(crate) struct StallLevels(Vec<DecayingMedian>);

impl StallLevels {
    /// Whether attempts of a group stall on the engine.
    pub(crate) fn is_stalled(&self, group: GroupIndex, now_ms: f64) -> bool {
        let level = self.0.get(group.0).map_or(0.0, |level| {
            level.at(now_ms, 0.0, SLOWDOWN_PARAMS.engine_decay_ms)
        });
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

    /// Records an attempt that is slow but not stalled: the level decays, but does not rise.
    pub(crate) fn record_slow_attempt(&mut self, group: GroupIndex, now_ms: f64) {
        self.record(group, 1.0, 0.0, now_ms);
    }

    fn record(&mut self, group: GroupIndex, sample: f64, step: f64, now_ms: f64) {
        let update = MedianUpdate {
            sample,
            fallback: 0.0,
            decay_ms: SLOWDOWN_PARAMS.engine_decay_ms,
            step,
            gap_step: 0.0,
        };
        let len = self.0.len().max(group.0 + 1);
        self.0.resize(len, DecayingMedian::default());
        self.0[group.0].update(now_ms, update);
    }
}
