//! The engines of the pool: their zones and outages, and the limit of work while they warm up.

use super::environment::Environment;
use super::events::Event;
use crate::engine::Engine;
use crate::schema::Experiment;

/// Time for which an engine is down after it failed under its load (ms).
pub(super) const OUTAGE_MS: f64 = 3000.0;

/// The admission controller's id of an engine, given the engine's index.
pub(super) fn engine_id(engine: usize) -> u64 {
    engine as u64 + 1
}

/// The index of an engine, given its id.
pub(super) fn engine_index(engine_id: u64) -> usize {
    engine_id as usize - 1
}

/// The name of an engine in the record.
pub(super) fn engine_name(engine: usize) -> String {
    format!("s-{engine}")
}

/// An arrival of work at an engine that is warming up.
struct ColdArrival {
    at_ms: f64,
    work_ms: f64,
}

/// An engine of the pool.
struct PooledEngine {
    engine: Engine,
    /// Index of its zone.
    zone: usize,
    down_until_ms: f64,
    /// While the engine warms up: arrivals within the last `Cold::span_ms`, to which the work limit applies.
    cold_arrivals: Vec<ColdArrival>,
}

/// All engines of an experiment, identified by their indices.
pub(super) struct EnginePool {
    engines: Vec<PooledEngine>,
}

impl EnginePool {
    /// Creates the engines of an experiment, all warm and idle, in the order of their zones.
    pub fn new(experiment: &Experiment) -> Self {
        let cold = experiment.cold.unwrap_or_default();
        let warm_up_ms = cold.warm_s() * 1000.0;
        let mut engines = Vec::new();
        for (zone, definition) in experiment.hall.iter().enumerate() {
            for _ in 0..definition.engines() {
                engines.push(PooledEngine {
                    engine: Engine::new(definition.cores(), warm_up_ms, cold.from()),
                    zone,
                    down_until_ms: 0.0,
                    cold_arrivals: Vec::new(),
                });
            }
        }
        EnginePool { engines }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// The index of an engine's zone.
    pub fn zone(&self, engine: usize) -> usize {
        self.engines[engine].zone
    }

    /// Number of cores of an engine.
    pub fn cores(&self, engine: usize) -> f64 {
        self.engines[engine].engine.cores
    }

    /// Number of cores of all engines of a zone.
    pub fn zone_cores(&self, zone: usize) -> f64 {
        self.engines
            .iter()
            .filter(|pooled| pooled.zone == zone)
            .map(|pooled| pooled.engine.cores)
            .sum()
    }

    /// Number of running threads by zone.
    pub fn threads_by_zone(&self, zone_count: usize) -> Vec<f64> {
        let mut threads = vec![0.0; zone_count];
        for pooled in &self.engines {
            threads[pooled.zone] += pooled.engine.threads();
        }
        threads
    }

    /// Whether an engine is down after a failure.
    pub fn is_down(&self, engine: usize, now_ms: f64) -> bool {
        now_ms < self.engines[engine].down_until_ms
    }

    /// Whether an engine is unchanged since a completion of this generation was scheduled.
    pub fn is_current(&self, engine: usize, generation: u64) -> bool {
        self.engines[engine].engine.generation == generation
    }

    /// Starts a job on an engine.
    pub fn add(&mut self, engine: usize, job: u64, work_ms: f64, threads: f64, now_ms: f64) {
        self.engines[engine]
            .engine
            .add(now_ms, job, work_ms, threads);
    }

    /// Removes a job from an engine. Returns whether the job was running there.
    pub fn remove(&mut self, engine: usize, job: u64, now_ms: f64) -> bool {
        self.engines[engine].engine.remove(now_ms, job).is_some()
    }

    /// Removes the jobs of an engine that have completed by `now_ms`, and returns their ids.
    pub fn take_completed(&mut self, engine: usize, now_ms: f64) -> Vec<u64> {
        let engine = &mut self.engines[engine].engine;
        let completed = engine.take_completed(now_ms);
        for job in &completed {
            engine.remove(now_ms, *job);
        }
        completed
    }

    /// The fraction of a job that is completed by `now_ms`.
    pub fn done_fraction(&mut self, engine: usize, job: u64, now_ms: f64) -> Option<f64> {
        let engine = &mut self.engines[engine].engine;
        engine.advance(now_ms);
        engine.done_fraction(job)
    }

    /// Makes all jobs of an engine take `slowdown` times as long from `now_ms` on.
    pub fn set_slowdown(&mut self, engine: usize, slowdown: f64, now_ms: f64) {
        self.engines[engine].engine.set_slowdown(now_ms, slowdown);
    }

    /// Restarts an engine, which then warms up from `now_ms` on. Running jobs continue.
    pub fn restart_cold(&mut self, engine: usize, now_ms: f64) {
        self.engines[engine].engine.started_ms = now_ms;
    }

    /// Schedules the next completion on an engine, if a job is running. Completions of earlier generations are stale.
    pub fn schedule_completion(&mut self, engine: usize, environment: &mut Environment) {
        let now_ms = environment.now_ms;
        let index = engine;
        let engine = &mut self.engines[index].engine;
        if let Some(next_ms) = engine.next_completion_ms(now_ms) {
            let completion = Event::EngineCompletion {
                engine: index,
                generation: engine.generation,
            };
            environment.schedule(next_ms.max(now_ms), completion);
        }
    }

    /// Records the arrival of work at an engine. While the engine warms up, returns the work that arrived within the
    /// limit's span as a fraction of the work that the engine sustains. Returns `None` for a single arrival within the
    /// span, so that a single query never exceeds the limit.
    pub fn record_arrival(
        &mut self,
        engine: usize,
        work_ms: f64,
        environment: &Environment,
    ) -> Option<f64> {
        let cold = environment.warm_up();
        let now_ms = environment.now_ms;
        let pooled = &mut self.engines[engine];
        if now_ms - pooled.engine.started_ms >= cold.warm_s() * 1000.0 {
            return None;
        }
        let arrivals = &mut pooled.cold_arrivals;
        arrivals.push(ColdArrival {
            at_ms: now_ms,
            work_ms,
        });
        arrivals.retain(|arrival| now_ms - arrival.at_ms < cold.span_ms());
        let arrived_work_ms: f64 = arrivals.iter().map(|arrival| arrival.work_ms).sum();
        let sustained_work_ms =
            cold.multiple() * cold.from() * pooled.engine.cores * cold.span_ms();
        (arrivals.len() >= 2).then_some(arrived_work_ms / sustained_work_ms)
    }

    /// Takes an engine down for [`OUTAGE_MS`], after which it is cold. Returns the ids of the jobs that were running
    /// on it.
    pub fn fail(&mut self, engine: usize, now_ms: f64) -> Vec<u64> {
        let pooled = &mut self.engines[engine];
        pooled.down_until_ms = now_ms + OUTAGE_MS;
        pooled.engine.started_ms = now_ms + OUTAGE_MS;
        pooled.cold_arrivals.clear();
        pooled.engine.drop_all(now_ms)
    }
}
