//! Pressure: whether an engine's answers, or what is in flight there, show that it has no capacity left.

use crate::model::{ClosedAttempt, Control, EngineIndex, Lane, SlowdownMemory, LEARNING};

const PRESSURE_SLOWDOWN: f64 = 1.5; // Times the best; slower answers are pressure.
const FULL_COUNTS_MS: f64 = 2000.0; // A refusal as full is pressure for this time.
pub(super) const CROWD_PER_CORE: f64 = 1.2; // Low threads that are pressure before answers can tell.
const CROWD_MEMORY: f64 = 0.35; // Fraction of an engine's memory, as estimated, that is pressure.
const FORGIVEN_SCATTER: f64 = 0.5; // Fraction of a group's least scatter that is no slowness yet.
const ANSWER_STEP: f64 = 2.0 * LEARNING.median; // Step of slowdowns; a note moves them by half of that.
/// Slowdowns (log ratio) are remembered up to a little above pressure; they decay, and move more after a gap.
pub(super) const MEMORY: SlowdownMemory = SlowdownMemory {
    max: 0.8,
    engine_decay_ms: 5000.0,
    zone_decay_ms: 10_000.0,
    gap_step: 0.4,
};

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
        self.slowdown(engine, lane, MEMORY) > PRESSURE_SLOWDOWN.ln()
    }

    /// An answer shows by how far it lies above its group's best how slow its engine is. A late one counts as
    /// slow whatever the best was: a dispatcher that began during an incident knows no other.
    pub(super) fn learn_answer(&mut self, closed: &ClosedAttempt, latency_ms: f64) {
        let group = &mut self.groups[closed.group];
        let Some(above_best) = group.learn_run_time(closed.cost, latency_ms, LEARNING) else {
            return;
        };
        if latency_ms > group.objective_of(closed.cost) {
            return self.learn_slow_answer(closed.engine, closed.lane);
        }
        let slowdown = above_best - FORGIVEN_SCATTER * group.slowdown.min_scatter;
        self.learn_slowdown(closed.engine, closed.lane, slowdown, ANSWER_STEP, MEMORY);
    }

    /// An answer, or a time-out, that was as slow as any.
    pub(super) fn learn_slow_answer(&mut self, engine: EngineIndex, lane: Lane) {
        self.learn_slowdown(engine, lane, MEMORY.max, ANSWER_STEP, MEMORY);
    }
}
