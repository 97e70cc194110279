//! Pressure, headroom and metrics of the pool, computed from the state of several components.

use crate::model::{
    Engine, EngineIndex, EngineTable, Lane, LevelEffects, PeerLoad, SlowStart, Slowdowns,
};

/// Fraction of an engine's memory at which the estimated memory of this dispatcher's attempts shows pressure.
const PRESSURE_MEMORY_FRACTION: f64 = 0.35;

/// A read-only view of the pool of engines at `now_ms`.
#[derive(Clone, Copy)]
pub(crate) struct PoolView<'a> {
    pub(crate) engines: &'a EngineTable,
    pub(crate) slowdowns: &'a Slowdowns,
    pub(crate) peer_load: &'a PeerLoad,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) level: &'a LevelEffects,
    pub(crate) now_ms: f64,
}

impl PoolView<'_> {
    /// Whether an engine has no capacity left.
    ///
    /// Slow answers arrive only after a burst has filled the engine, so the load in flight and refusals count too.
    pub(crate) fn is_under_pressure(&self, index: EngineIndex) -> bool {
        let engine = &self.engines[index];
        let max_threads = engine.limit.estimated_concurrency() * self.level.concurrency_factor;
        let max_memory_mb = PRESSURE_MEMORY_FRACTION * engine.memory_mb;
        self.slowdowns.is_slow(engine, Lane::Low, self.now_ms)
            || self.slowdowns.is_slow(engine, Lane::Fast, self.now_ms)
            || engine.load.known_low_threads() >= max_threads
            || engine.memory_mb > 0.0 && engine.load.memory_mb() >= max_memory_mb
            || engine.limit.was_recently_full(self.now_ms)
    }

    /// Whether an engine is not under pressure and does not exceed its concurrency limit.
    pub(crate) fn has_spare_capacity(&self, engine: EngineIndex) -> bool {
        self.headroom(engine) >= 0.0 && !self.is_under_pressure(engine)
    }

    /// Number of low-lane threads that this dispatcher may add on an engine within the concurrency limit; negative
    /// above the limit.
    pub(crate) fn headroom(&self, engine: EngineIndex) -> f64 {
        let engine = &self.engines[engine];
        let limit = self.level.concurrency_factor * engine.limit.threads_per_core();
        engine.headroom(limit * engine.cores * self.peer_load.pool_share(self.now_ms))
    }

    /// The sum of the headroom of all ready engines (threads).
    pub(crate) fn total_headroom(&self) -> f64 {
        let ready = self.engines.ready_indices();
        ready.map(|engine| self.headroom(engine)).sum()
    }

    /// Fraction of the ready engines that are under pressure; with `zone`, of the ready engines of that zone.
    pub(crate) fn pressured_fraction(&self, zone: Option<ZoneFilter>) -> f64 {
        let is_in_zone =
            |engine: &EngineIndex| zone.is_none_or(|zone| zone.includes(&self.engines[*engine]));
        let mut ready = 0;
        let mut pressured = 0;
        for engine in self.engines.ready_indices().filter(is_in_zone) {
            ready += 1;
            pressured += usize::from(self.is_under_pressure(engine));
        }
        fraction(pressured, ready)
    }

    /// Low-lane threads on all ready engines as a fraction of the concurrency limits that apply to this dispatcher at
    /// full service, at most 1; NaN without a limit.
    pub(crate) fn concurrency_used_fraction(&self) -> f64 {
        let share = self.peer_load.pool_share(self.now_ms);
        let mut used = 0.0;
        let mut limits = 0.0;
        for engine in self.engines.ready() {
            used += engine.load.known_low_threads();
            limits += engine.limit.threads_per_core() * engine.cores * share;
        }
        if limits > 0.0 {
            (used / limits).min(1.0)
        } else {
            f64::NAN
        }
    }

    /// Number of threads of this dispatcher's attempts; an attempt of the fast lane counts as one thread.
    pub(crate) fn threads_in_flight(&self) -> f64 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.load.threads()).sum()
    }

    /// Fraction of the listed or ready engines that are ready.
    pub(crate) fn ready_fraction(&self) -> f64 {
        let is_known = |engine: &&Engine| engine.endpoint.listed || engine.endpoint.ready;
        let known = self.engines.iter().filter(is_known);
        fraction(self.engines.ready().count(), known.count())
    }

    /// Fraction of the ready engines that are warming up.
    pub(crate) fn warming_fraction(&self) -> f64 {
        let is_warming_up = |engine: &&Engine| self.slow_start.is_warming_up(engine, self.now_ms);
        let warming_up = self.engines.ready().filter(is_warming_up);
        fraction(warming_up.count(), self.engines.ready().count())
    }

    /// Fraction of the ready engines that are ejected.
    pub(crate) fn ejected_fraction(&self) -> f64 {
        let is_ejected = |engine: &&Engine| engine.health.is_ejected();
        let ejected = self.engines.ready().filter(is_ejected);
        fraction(ejected.count(), self.engines.ready().count())
    }
}

/// The zone that a metric is restricted to.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ZoneFilter {
    /// The zone with this index.
    Zone(u32),
    /// A zone that has never had an engine.
    Unknown,
}

impl ZoneFilter {
    fn includes(self, engine: &Engine) -> bool {
        match self {
            ZoneFilter::Zone(zone) => engine.zone == zone,
            ZoneFilter::Unknown => false,
        }
    }
}

/// `count` as a fraction of `total`; NaN if `total` is 0.
fn fraction(count: usize, total: usize) -> f64 {
    if total == 0 {
        f64::NAN
    } else {
        count as f64 / total as f64
    }
}
