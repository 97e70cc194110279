//! The low lane's concurrency limit on one engine, and the estimate of the concurrency that the engine sustains.

use crate::events::Outcome;
use crate::model::{Lane, LONG_AGO};

/// Initial limit of a new engine (low-lane threads per core of this dispatcher's share).
const INITIAL_THREADS_PER_CORE: f64 = 1.0;
/// Upper bound of the limit (low-lane threads per core of this dispatcher's share).
const MAX_THREADS_PER_CORE: f64 = 1.2;
/// A low-lane answer within this fraction of its latency objective raises the limit.
const RAISE_LATENCY_FRACTION: f64 = 0.5;
/// Estimated concurrency of a new engine, and after an overload (low-lane threads of all dispatchers per core).
const INITIAL_CONCURRENCY_PER_CORE: f64 = 1.2;
/// Upper bound of the estimated concurrency (low-lane threads of all dispatchers per core).
const MAX_CONCURRENCY_PER_CORE: f64 = 1.5;
/// Time for which an engine counts as under pressure after it refused an attempt as full (ms).
const FULL_PRESSURE_MS: f64 = 2000.0;

/// The concurrency limit and the estimated concurrency of one engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    /// The limit (low-lane threads per core of this dispatcher's share).
    threads_per_core: f64,
    /// Number of low-lane threads of all dispatchers at which the engine is under pressure.
    estimated_concurrency: f64,
    /// When the limit was last halved (ms).
    halved_ms: f64,
    /// When the engine last refused an attempt as full (ms).
    last_full_ms: f64,
}

/// An attempt's outcome and latency, as evidence of its engine's capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptResult {
    pub(crate) lane: Lane,
    pub(crate) outcome: Outcome,
    pub(crate) sent_ms: f64,
    pub(crate) latency_ms: f64,
    /// The query's latency objective (ms).
    pub(crate) objective_ms: f64,
}

impl ConcurrencyLimit {
    /// The initial limit of an engine that has not been used yet.
    pub(crate) fn new(cores: f64) -> Self {
        ConcurrencyLimit {
            threads_per_core: INITIAL_THREADS_PER_CORE,
            estimated_concurrency: cores * INITIAL_CONCURRENCY_PER_CORE,
            halved_ms: LONG_AGO,
            last_full_ms: LONG_AGO,
        }
    }

    /// Resets the limit and the estimate, because a new process has taken the engine's place.
    pub(crate) fn reset_process(&mut self, cores: f64) {
        self.threads_per_core = INITIAL_THREADS_PER_CORE;
        self.estimated_concurrency = cores * INITIAL_CONCURRENCY_PER_CORE;
    }

    /// The limit (low-lane threads per core of this dispatcher's share).
    pub(crate) fn threads_per_core(&self) -> f64 {
        self.threads_per_core
    }

    /// Number of low-lane threads of all dispatchers at which the engine is under pressure.
    pub(crate) fn estimated_concurrency(&self) -> f64 {
        self.estimated_concurrency
    }

    /// Whether the engine refused an attempt as full within the last [`FULL_PRESSURE_MS`].
    pub(crate) fn was_recently_full(&self, now_ms: f64) -> bool {
        now_ms - self.last_full_ms < FULL_PRESSURE_MS
    }

    /// Adapts the limit to the result of an attempt on an engine with `cores` cores. `share` is the fraction of the
    /// engine that this dispatcher may fill.
    ///
    /// A low-lane answer within [`RAISE_LATENCY_FRACTION`] of its objective raises the limit by one thread. Refusals as
    /// full, time-outs and late low-lane answers halve it. All attempts that were in flight when the limit was halved
    /// count as one overload.
    pub(crate) fn adapt(&mut self, result: &AttemptResult, cores: f64, share: f64, now_ms: f64) {
        let is_low_lane_answer = result.outcome == Outcome::Completed && result.lane == Lane::Low;
        if is_low_lane_answer && result.latency_ms <= RAISE_LATENCY_FRACTION * result.objective_ms {
            self.raise(cores, share);
        }
        if result.outcome == Outcome::Full {
            self.last_full_ms = now_ms;
        }
        let is_late = is_low_lane_answer && result.latency_ms > result.objective_ms;
        let is_overload = is_late || matches!(result.outcome, Outcome::Full | Outcome::Timeout);
        if is_overload && result.sent_ms > self.halved_ms {
            self.halve(cores, now_ms);
        }
    }

    /// Raises this dispatcher's limit on the engine and the estimated concurrency by one thread each.
    fn raise(&mut self, cores: f64, share: f64) {
        let raised = self.threads_per_core + 1.0 / (cores * share);
        self.threads_per_core = raised.min(MAX_THREADS_PER_CORE);
        let max_concurrency = MAX_CONCURRENCY_PER_CORE * cores;
        self.estimated_concurrency = (self.estimated_concurrency + 1.0).min(max_concurrency);
    }

    /// Halves the limit, and resets the estimate to its initial value.
    fn halve(&mut self, cores: f64, now_ms: f64) {
        self.halved_ms = now_ms;
        self.threads_per_core /= 2.0;
        self.estimated_concurrency = INITIAL_CONCURRENCY_PER_CORE * cores;
    }

    /// Sets the limit (low-lane threads per core of this dispatcher's share).
    #[cfg(test)]
    pub(crate) fn set_threads_per_core(&mut self, threads_per_core: f64) {
        self.threads_per_core = threads_per_core;
    }

    /// Sets the estimated concurrency (low-lane threads of all dispatchers).
    #[cfg(test)]
    pub(crate) fn set_estimated_concurrency(&mut self, threads: f64) {
        self.estimated_concurrency = threads;
    }

    /// Sets when the engine last refused an attempt as full (ms).
    #[cfg(test)]
    pub(crate) fn set_last_full_ms(&mut self, at_ms: f64) {
        self.last_full_ms = at_ms;
    }
}
