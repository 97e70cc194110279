//! Slowdowns: the amount by which the run times of an engine, a zone and the pool exceed their groups' best.

use crate::model::{DecayingMedian, Engine, Lane, MedianUpdate, LEARNING};

/// Ratio of run time to the group's best above which a slowdown shows pressure.
const PRESSURE_RATIO: f64 = 1.5;
/// Maximum change of a slowdown by an answer (log ratio).
const ANSWER_STEP: f64 = 2.0 * LEARNING.median;
/// Maximum change of a slowdown by a progress note (log ratio).
const PROGRESS_STEP: f64 = LEARNING.median;

/// Bounds and time constants of slowdowns.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowdownParams {
    /// Maximum level (log ratio).
    pub(super) max_level: f64,
    /// Time constant with which an engine's slowdown decays towards its zone's (ms).
    pub(super) engine_decay_ms: f64,
    /// Time constant with which a zone's slowdown decays towards the pool's, and the pool's towards none (ms).
    pub(super) zone_decay_ms: f64,
    /// Additional maximum change by an answer after a long gap without answers (log ratio).
    pub(super) gap_step: f64,
}

/// The parameters of all slowdowns. The maximum level is so low that pressure ends soon after the last slow answer.
pub(super) const SLOWDOWN_PARAMS: SlowdownParams = SlowdownParams {
    max_level: 0.8,
    engine_decay_ms: 5000.0,
    zone_decay_ms: 10_000.0,
    gap_step: 0.4,
};

/// The slowdowns of the zones and of the pool. The slowdown of an engine is part of `Engine`.
#[derive(Debug, Default)]
pub(crate) struct Slowdowns {
    zones: Vec<LaneSlowdowns>,
    pool: LaneSlowdowns,
}

impl Slowdowns {
    /// Adds a zone, if it is not known yet.
    pub(crate) fn add_zone(&mut self, zone: u32) {
        let zones = self.zones.len().max(zone as usize + 1);
        self.zones.resize(zones, LaneSlowdowns::default());
    }

    /// Records by how much an answer exceeds its group's best (log ratio).
    pub(crate) fn record_answer(
        &mut self,
        engine: &mut Engine,
        lane: Lane,
        above_best: f64,
        now_ms: f64,
    ) {
        self.record(engine, lane, above_best, ANSWER_STEP, now_ms);
    }

    /// Records a late answer or a time-out, which counts as the maximum slowdown.
    pub(crate) fn record_slow_answer(&mut self, engine: &mut Engine, lane: Lane, now_ms: f64) {
        self.record(engine, lane, SLOWDOWN_PARAMS.max_level, ANSWER_STEP, now_ms);
    }

    /// Records by how much the run time that progress notes predict exceeds the group's best (log ratio).
    pub(crate) fn record_progress(
        &mut self,
        engine: &mut Engine,
        lane: Lane,
        above_best: f64,
        now_ms: f64,
    ) {
        self.record(engine, lane, above_best, PROGRESS_STEP, now_ms);
    }

    /// Updates the pool, then the zone with the pool's slowdown as fallback, then the engine with the zone's as
    /// fallback.
    fn record(&mut self, engine: &mut Engine, lane: Lane, above_best: f64, step: f64, now_ms: f64) {
        let mut update = MedianUpdate {
            sample: above_best.min(SLOWDOWN_PARAMS.max_level),
            fallback: 0.0,
            decay_ms: SLOWDOWN_PARAMS.zone_decay_ms,
            step,
            gap_step: SLOWDOWN_PARAMS.gap_step,
        };
        let pool = self.pool.lane_mut(lane);
        pool.update(now_ms, update);
        update.fallback = pool.level();
        let zone = self.zones[engine.zone as usize].lane_mut(lane);
        zone.update(now_ms, update);
        update.fallback = zone.level();
        update.decay_ms = SLOWDOWN_PARAMS.engine_decay_ms;
        engine.slowdown.lane_mut(lane).update(now_ms, update);
    }

    /// Whether the slowdown of a lane on an engine shows pressure.
    pub(crate) fn is_slow(&self, engine: &Engine, lane: Lane, now_ms: f64) -> bool {
        self.level(engine, lane, now_ms) > PRESSURE_RATIO.ln()
    }

    /// The slowdown of a lane on an engine (log ratio). Without recent answers it decays to the slowdown of the
    /// engine's zone, and that to the slowdown of the pool.
    fn level(&self, engine: &Engine, lane: Lane, now_ms: f64) -> f64 {
        let pool = self.pool.lane(lane);
        let pool_level = pool.at(now_ms, 0.0, SLOWDOWN_PARAMS.zone_decay_ms);
        let zone = self.zones[engine.zone as usize].lane(lane);
        let zone_level = zone.at(now_ms, pool_level, SLOWDOWN_PARAMS.zone_decay_ms);
        let slowdown = engine.slowdown.lane(lane);
        slowdown.at(now_ms, zone_level, SLOWDOWN_PARAMS.engine_decay_ms)
    }

    /// Sets a zone's slowdown.
    #[cfg(test)]
    pub(crate) fn set_zone(&mut self, zone: usize, lane: Lane, slowdown: DecayingMedian) {
        self.zones[zone].set(lane, slowdown);
    }
}

/// The slowdowns of both lanes (log ratios).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSlowdowns {
    fast: DecayingMedian,
    low: DecayingMedian,
}

impl LaneSlowdowns {
    fn lane(&self, lane: Lane) -> &DecayingMedian {
        match lane {
            Lane::Fast => &self.fast,
            Lane::Low => &self.low,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut DecayingMedian {
        match lane {
            Lane::Fast => &mut self.fast,
            Lane::Low => &mut self.low,
        }
    }

    /// Sets the slowdown of a lane.
    #[cfg(test)]
    pub(crate) fn set(&mut self, lane: Lane, slowdown: DecayingMedian) {
        *self.lane_mut(lane) = slowdown;
    }
}
