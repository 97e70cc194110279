//! Pressure: whether an engine's answers, or what is in flight there, show that it has no capacity left.

use crate::model::{Control, EngineIndex, Lane};

const FULL_COUNTS_MS: f64 = 2000.0; // A refusal as full is pressure for this time.
pub(super) const CROWD_PER_CORE: f64 = 1.2; // Low threads that are pressure before answers can tell.
const CROWD_MEMORY: f64 = 0.35; // Fraction of an engine's memory, as estimated, that is pressure.

impl Control {
    /// Whether answers show pressure or will: a burst fills an engine before its answers tell.
    pub(crate) fn is_under_pressure(&self, index: EngineIndex) -> bool {
        let engine = &self.engines[index];
        let max_threads = engine.limit.crowd_threads * self.level.concurrency_factor;
        let max_memory_mb = CROWD_MEMORY * engine.memory_mb;
        self.is_slow(index, Lane::Low)
            || self.is_slow(index, Lane::Fast)
            || engine.known_low_threads() >= max_threads
            || engine.memory_mb > 0.0 && engine.load.granted_mb >= max_memory_mb
            || self.now_ms - engine.limit.last_full_ms < FULL_COUNTS_MS
    }

    fn is_slow(&self, engine: EngineIndex, lane: Lane) -> bool {
        self.slowdowns
            .is_slow(&self.engines[engine], lane, self.now_ms)
    }
}
