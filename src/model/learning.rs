//! What answers and notes teach of engines: slowdowns and stalls.

use crate::model::{Control, Engine, EngineIndex, GroupIndex, Lane, MedianUpdate, SlowdownMemory};

impl Control {
    /// Takes in how far an answer lies above its group's best (log ratio), for the engine, its zone and the pool.
    pub(crate) fn learn_slowdown(
        &mut self,
        engine: EngineIndex,
        lane: Lane,
        above_best: f64,
        step: f64,
        memory: SlowdownMemory,
    ) {
        let engine = &mut self.engines[engine];
        let mut update = MedianUpdate {
            sample: above_best.min(memory.max),
            fallback: 0.0,
            decay_ms: memory.zone_decay_ms,
            step,
            gap_step: memory.gap_step,
        };
        let pool = self.pool_slowdown.lane_mut(lane);
        pool.update(self.now_ms, update);
        update.fallback = pool.level;
        let zone = self.zone_slowdowns[engine.zone as usize].lane_mut(lane);
        zone.update(self.now_ms, update);
        update.fallback = zone.level;
        update.decay_ms = memory.engine_decay_ms;
        engine.slowdown.lane_mut(lane).update(self.now_ms, update);
    }

    /// How far a lane's answers lie above their best, as far as the engine's, its zone's or the pool's tell.
    pub(crate) fn slowdown(&self, engine: EngineIndex, lane: Lane, memory: SlowdownMemory) -> f64 {
        let engine = &self.engines[engine];
        let zone = &self.zone_slowdowns[engine.zone as usize];
        let pool = &self.pool_slowdown;
        let pool_level = pool.lane(lane).at(self.now_ms, 0.0, memory.zone_decay_ms);
        let zone_level = zone
            .lane(lane)
            .at(self.now_ms, pool_level, memory.zone_decay_ms);
        let slowdown = engine.slowdown.lane(lane);
        slowdown.at(self.now_ms, zone_level, memory.engine_decay_ms)
    }
}

impl Control {
    /// Takes in whether an attempt of a group stalled (1) or completed (0) on an engine.
    pub(crate) fn learn_stall(
        &mut self,
        engine: EngineIndex,
        group: GroupIndex,
        sample: f64,
        step: f64,
        memory: SlowdownMemory,
    ) {
        let update = MedianUpdate {
            sample,
            fallback: 0.0,
            decay_ms: memory.engine_decay_ms,
            step,
            gap_step: 0.0,
        };
        let stall = self.engines[engine].stall_mut(group);
        stall.update(self.now_ms, update);
    }
}

impl Engine {
    /// How far a group's attempts stall, from none (0) to all (1).
    pub(crate) fn stall_level(&self, group: GroupIndex, now_ms: f64, decay_ms: f64) -> f64 {
        let stall = self.stall(group);
        stall.map_or(0.0, |stall| stall.at(now_ms, 0.0, decay_ms))
    }
}
