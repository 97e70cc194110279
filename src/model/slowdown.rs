//! Slowdowns: how far the answers of an engine, a zone and the pool lie above their groups' best.

use crate::model::{Engine, FadingMedian, Lane, MedianUpdate, LEARNING};

/// Ratio of run time to the best above which answers show pressure.
const PRESSURE_RATIO: f64 = 1.5;
/// Step by which an answer moves a slowdown (log ratio).
const ANSWER_STEP: f64 = 2.0 * LEARNING.median;
/// Step by which a progress note moves a slowdown (log ratio).
const PROGRESS_STEP: f64 = LEARNING.median;

/// How long, and up to which level, slowdowns are remembered.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowdownMemory {
    /// Maximum level (log ratio).
    pub(super) max_level: f64,
    /// Time constant with which an engine's slowdown decays towards its zone's (ms).
    pub(super) engine_decay_ms: f64,
    /// Time constant with which a zone's slowdown decays towards the pool's, and the pool's towards none (ms).
    pub(super) zone_decay_ms: f64,
    /// Additional step of an answer after a long gap without answers (log ratio).
    pub(super) gap_step: f64,
}

/// The memory of all slowdowns. The maximum lies a little above pressure, so that pressure ends soon.
pub(super) const MEMORY: SlowdownMemory = SlowdownMemory {
    max_level: 0.8,
    engine_decay_ms: 5000.0,
    zone_decay_ms: 10_000.0,
    gap_step: 0.4,
};

/// The slowdowns of zones and of the pool; the slowdown of an engine is part of `Engine`.
#[derive(Debug, Default)]
pub(crate) struct Slowdowns {
    zones: Vec<LaneSlowdowns>,
    pool: LaneSlowdowns,
}

impl Slowdowns {
    /// Makes room for a zone.
    pub(crate) fn add_zone(&mut self, zone: u32) {
        let zones = self.zones.len().max(zone as usize + 1);
        self.zones.resize(zones, LaneSlowdowns::default());
    }

    /// Records how far an answer lies above its group's best (log ratio).
    pub(crate) fn record_answer(
        &mut self,
        engine: &mut Engine,
        lane: Lane,
        above_best: f64,
        now_ms: f64,
    ) {
        self.record(engine, lane, above_best, ANSWER_STEP, now_ms);
    }

    /// Records an answer, or a time-out, that shows the maximum slowdown.
    pub(crate) fn record_slow_answer(&mut self, engine: &mut Engine, lane: Lane, now_ms: f64) {
        self.record(engine, lane, MEMORY.max_level, ANSWER_STEP, now_ms);
    }

    /// Records how far the run time that progress notes predict lies above the group's best (log ratio).
    pub(crate) fn record_progress(
        &mut self,
        engine: &mut Engine,
        lane: Lane,
        above_best: f64,
        now_ms: f64,
    ) {
        self.record(engine, lane, above_best, PROGRESS_STEP, now_ms);
    }

    /// Updates the pool first, then the zone against the pool, then the engine against the zone.
    fn record(&mut self, engine: &mut Engine, lane: Lane, above_best: f64, step: f64, now_ms: f64) {
        let mut update = MedianUpdate {
            sample: above_best.min(MEMORY.max_level),
            fallback: 0.0,
            decay_ms: MEMORY.zone_decay_ms,
            step,
            gap_step: MEMORY.gap_step,
        };
        let pool = self.pool.lane_mut(lane);
        pool.update(now_ms, update);
        update.fallback = pool.level();
        let zone = self.zones[engine.zone as usize].lane_mut(lane);
        zone.update(now_ms, update);
        update.fallback = zone.level();
        update.decay_ms = MEMORY.engine_decay_ms;
        engine.slowdown.lane_mut(lane).update(now_ms, update);
    }

    /// Whether the answers of a lane on an engine show pressure.
    pub(crate) fn is_slow(&self, engine: &Engine, lane: Lane, now_ms: f64) -> bool {
        self.level(engine, lane, now_ms) > PRESSURE_RATIO.ln()
    }

    /// The slowdown of a lane on an engine (log ratio); without recent answers, that of its zone or of the pool.
    fn level(&self, engine: &Engine, lane: Lane, now_ms: f64) -> f64 {
        let pool = self.pool.lane(lane);
        let pool_level = pool.at(now_ms, 0.0, MEMORY.zone_decay_ms);
        let zone = self.zones[engine.zone as usize].lane(lane);
        let zone_level = zone.at(now_ms, pool_level, MEMORY.zone_decay_ms);
        let slowdown = engine.slowdown.lane(lane);
        slowdown.at(now_ms, zone_level, MEMORY.engine_decay_ms)
    }

    /// Sets a zone's slowdown.
    #[cfg(test)]
    pub(crate) fn set_zone(&mut self, zone: usize, lane: Lane, slowdown: FadingMedian) {
        self.zones[zone].set(lane, slowdown);
    }
}

/// The slowdowns of both lanes (log ratios).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LaneSlowdowns {
    fast: FadingMedian,
    low: FadingMedian,
}

impl LaneSlowdowns {
    fn lane(&self, lane: Lane) -> &FadingMedian {
        match lane {
            Lane::Fast => &self.fast,
            Lane::Low => &self.low,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut FadingMedian {
        match lane {
            Lane::Fast => &mut self.fast,
            Lane::Low => &mut self.low,
        }
    }

    /// Sets the slowdown of a lane.
    #[cfg(test)]
    pub(crate) fn set(&mut self, lane: Lane, slowdown: FadingMedian) {
        *self.lane_mut(lane) = slowdown;
    }
}
