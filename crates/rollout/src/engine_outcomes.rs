//! Detects a failing engine from the outcomes of one dispatcher's attempts. The dispatcher reports the engine; the
//! leader ejects it when enough dispatchers agree and the disruption budget allows it.

use std::collections::BTreeMap;
use tansymux_coordination::Id;

/// Length of a counting interval (ms). Attempts of the current and the previous interval are evaluated together.
const INTERVAL_MS: f64 = 5000.0;
/// Maximum number of engines whose outcomes are counted.
const MAX_ENGINES: usize = 1024;

/// Threshold from which an engine counts as failing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureThreshold {
    /// Minimum number of attempts.
    pub min_attempts: u32,
    /// Minimum fraction of attempts that failed.
    pub failure_fraction: f64,
}

impl Default for FailureThreshold {
    fn default() -> Self {
        FailureThreshold {
            min_attempts: 8,
            failure_fraction: 0.5,
        }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct AttemptCount {
    failed: u32,
    total: u32,
}

impl AttemptCount {
    fn plus(self, other: AttemptCount) -> AttemptCount {
        AttemptCount {
            failed: self.failed + other.failed,
            total: self.total + other.total,
        }
    }

    fn failure_fraction(self) -> f64 {
        f64::from(self.failed) / f64::from(self.total.max(1))
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct EngineCounts {
    current: AttemptCount,
    previous: AttemptCount,
}

/// Counts of recent attempts and failures, by engine.
#[derive(Debug, Clone, Default)]
pub struct EngineOutcomes {
    engines: BTreeMap<Id, EngineCounts>,
    interval_start_ms: f64,
}

impl EngineOutcomes {
    /// Counts an attempt whose outcome is evidence for or against the engine. Attempts on a new engine are ignored
    /// while the table is full.
    pub fn record(&mut self, engine: Id, failed: bool, now_ms: f64) {
        self.rotate_intervals(now_ms);
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&engine) {
            return;
        }
        let count = &mut self.engines.entry(engine).or_default().current;
        count.total = count.total.saturating_add(1);
        count.failed = count.failed.saturating_add(u32::from(failed));
    }

    fn rotate_intervals(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.interval_start_ms;
        if elapsed_ms < INTERVAL_MS {
            return;
        }
        let both_ended = elapsed_ms >= 2.0 * INTERVAL_MS;
        self.interval_start_ms = now_ms;
        for counts in self.engines.values_mut() {
            *counts = EngineCounts {
                current: AttemptCount::default(),
                previous: if both_ended {
                    AttemptCount::default()
                } else {
                    counts.current
                },
            };
        }
        self.engines
            .retain(|_, counts| counts.current.total > 0 || counts.previous.total > 0);
    }

    /// Returns the engine with the highest failure fraction, if it reaches the threshold. All other engines together
    /// must have enough attempts and a failure fraction below half of the threshold: if all engines fail, the cause is
    /// elsewhere.
    pub fn failing_engine(&mut self, threshold: &FailureThreshold, now_ms: f64) -> Option<Id> {
        self.rotate_intervals(now_ms);
        let totals = self
            .engines
            .iter()
            .map(|(id, counts)| (*id, counts.current.plus(counts.previous)));
        let failing = totals.clone().filter(|(_, count)| {
            count.total >= threshold.min_attempts
                && count.failure_fraction() >= threshold.failure_fraction
        });
        let (worst, _) = failing.max_by(|(_, first), (_, second)| {
            first
                .failure_fraction()
                .total_cmp(&second.failure_fraction())
        })?;
        let others = totals
            .filter(|(id, _)| *id != worst)
            .fold(AttemptCount::default(), |sum, (_, count)| sum.plus(count));
        let others_are_healthy = others.total >= threshold.min_attempts
            && others.failure_fraction() < threshold.failure_fraction / 2.0;
        others_are_healthy.then_some(worst)
    }
}

#[cfg(test)]
mod tests;
