//! What the decisions know of the pool, as fractions from 0 to 1, for service levels to be set by. Nothing is decided
//! here. A fraction of nothing is not a number.

use crate::control::Control;
use crate::model::{Engine, EngineIndex};

fn fraction(count: usize, of: usize) -> f64 {
    if of == 0 {
        f64::NAN
    } else {
        count as f64 / of as f64
    }
}

impl Control {
    /// Fraction of the ready engines, of a zone if one is named, that are under pressure.
    pub fn pressured_fraction(&self, zone: Option<&str>) -> f64 {
        let zone = zone.map(|name| self.interner.zones.find(name));
        let is_in_zone =
            |engine: &EngineIndex| zone.is_none_or(|zone| zone == Some(self.engines[*engine].zone));
        let ready: Vec<EngineIndex> = self
            .engine_indices()
            .filter(|&engine| self.engines[engine].endpoint.ready)
            .filter(is_in_zone)
            .collect();
        let pressured = ready
            .iter()
            .filter(|&&engine| self.is_under_pressure(engine));
        fraction(pressured.count(), ready.len())
    }

    /// Low threads of all ready engines against their concurrency limits at full service.
    pub fn concurrency_used_fraction(&self) -> f64 {
        let mut used = 0.0;
        let mut limits = 0.0;
        for engine in self.ready_engines() {
            used += engine.known_low_threads();
            limits += engine.limit.threads_per_core * engine.cores * self.pool_share();
        }
        if limits > 0.0 {
            (used / limits).min(1.0)
        } else {
            f64::NAN
        }
    }

    /// Threads that this dispatcher's attempts run on, as far as is known: one for each that is not of the low lane.
    pub fn threads_in_flight(&self) -> f64 {
        let threads = |engine: &Engine| {
            engine.load.low_threads + (engine.load.attempts - engine.load.low_attempts) as f64
        };
        self.engines.iter().map(threads).sum()
    }

    /// Fraction of the known engines that are ready.
    pub fn ready_fraction(&self) -> f64 {
        let is_known = |engine: &&Engine| engine.endpoint.listed || engine.endpoint.ready;
        let known = self.engines.iter().filter(is_known);
        fraction(self.ready_engines().count(), known.count())
    }

    /// Fraction of the ready engines that are warming up.
    pub fn warming_fraction(&self) -> f64 {
        let is_warming = |engine: &&Engine| self.slow_start.is_warming_up(engine, self.now_ms);
        let warming = self.ready_engines().filter(is_warming);
        fraction(warming.count(), self.ready_engines().count())
    }

    /// Fraction of the ready engines that are ejected.
    pub fn ejected_fraction(&self) -> f64 {
        let ejected = self
            .ready_engines()
            .filter(|engine| engine.health.is_ejected());
        fraction(ejected.count(), self.ready_engines().count())
    }
}
