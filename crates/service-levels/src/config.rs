//! The configuration of service levels.

mod fingerprint;
mod validation;

use crate::signal::Signal;
pub use validation::ConfigError;

/// Name of the level at depth 0: full service.
pub const FULL_SERVICE: &str = "full";

/// A signal with two thresholds and hold times (a Schmitt trigger). The trigger switches on once its signal has reached
/// `enter_threshold` for `enter_hold_ms`, and off once it has reached `leave_threshold` for `leave_hold_ms`.
#[derive(Debug, Clone, PartialEq)]
pub struct Trigger {
    /// The measured signal.
    pub signal: Signal,
    /// Threshold at which the trigger switches on.
    pub enter_threshold: f64,
    /// Threshold at which the trigger switches off.
    pub leave_threshold: f64,
    /// Hold time of `enter_threshold` (ms).
    pub enter_hold_ms: f64,
    /// Hold time of `leave_threshold` (ms).
    pub leave_hold_ms: f64,
}

impl Trigger {
    /// Returns whether the trigger is switched on by high readings, rather than by low ones.
    pub fn is_high_active(&self) -> bool {
        self.enter_threshold > self.leave_threshold
    }

    /// Returns whether a reading reaches the threshold to switch on; false for NaN.
    pub(crate) fn enters_at(&self, reading: f64) -> bool {
        if self.is_high_active() {
            reading >= self.enter_threshold
        } else {
            reading <= self.enter_threshold
        }
    }

    /// Returns whether a reading reaches the threshold to switch off; false for NaN.
    pub(crate) fn leaves_at(&self, reading: f64) -> bool {
        if self.is_high_active() {
            reading <= self.leave_threshold
        } else {
            reading >= self.leave_threshold
        }
    }
}

/// A condition on triggers: all of `all` are on, and at least one of `any` unless `any` is empty.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Condition {
    /// Triggers that must all be on.
    pub all: Vec<Trigger>,
    /// Triggers of which at least one must be on; no condition if empty.
    pub any: Vec<Trigger>,
}

impl Condition {
    /// Returns all triggers: those of `all`, then those of `any`.
    pub fn triggers(&self) -> impl Iterator<Item = &Trigger> {
        self.all.iter().chain(&self.any)
    }
}

/// The fraction of capacity that low-priority queries of a class may use; 0 rejects them all.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassFraction {
    /// The class (resource group).
    pub class: String,
    /// Fraction of capacity, from 0 to 1.
    pub fraction: f64,
}

/// The restrictions of admission control at a level. At full service all factors are 1.
#[derive(Debug, Clone, PartialEq)]
pub struct Degradation {
    /// Factor on the concurrency limits of the low lane, at most 1.
    pub concurrency_factor: f64,
    /// Factor on the cost from which queries are demoted to the low lane, at most 1.
    pub demotion_factor: f64,
    /// Factor on the part of memory grants beyond the estimated need, at most 1.
    pub grant_factor: f64,
    /// Factor on `retry_after_ms` of rejected queries, at least 1.
    pub retry_after_factor: f64,
    /// Random jitter added to `retry_after_ms`, as a fraction of it.
    pub retry_after_jitter: f64,
    /// Whether retries of low-priority queries are withheld.
    pub withhold_low_retries: bool,
    /// Whether low-priority queries of tenants over their quota are rejected.
    pub reject_over_quota: bool,
    /// Confidence in a cost estimate below which low-priority queries are rejected, from 0 to 1.
    pub min_confidence: f64,
    /// Capacity for low-priority queries by class; classes that are not listed may use all capacity.
    pub classes: Vec<ClassFraction>,
}

impl Default for Degradation {
    fn default() -> Self {
        Degradation {
            concurrency_factor: 1.0,
            demotion_factor: 1.0,
            grant_factor: 1.0,
            retry_after_factor: 1.0,
            retry_after_jitter: 0.0,
            withhold_low_retries: false,
            reject_over_quota: false,
            min_confidence: 0.0,
            classes: Vec::new(),
        }
    }
}

impl Degradation {
    /// Returns the fraction of capacity that low-priority queries of a class may use.
    pub fn class_fraction(&self, class: &str) -> f64 {
        let limited = self.classes.iter().find(|limit| limit.class == class);
        limited.map_or(1.0, |limit| limit.fraction)
    }
}

/// A level below full service.
#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Name of the level, shown to operators and clients.
    pub name: String,
    /// The condition to enter the level. The level is left once the same triggers, by their leave thresholds, no longer
    /// meet it.
    pub enter: Condition,
    /// Minimum time that the level stays in force (ms).
    pub min_stay_ms: f64,
    /// The restrictions of admission control at the level.
    pub degradation: Degradation,
}

/// The levels below full service, from the mildest to the deepest.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// The levels. The level at index `i` has depth `i + 1`.
    pub levels: Vec<Level>,
}

impl Config {
    /// Returns the signals of all triggers without duplicates, in the order of their first use.
    pub fn signals(&self) -> Vec<Signal> {
        let mut signals: Vec<Signal> = Vec::new();
        for trigger in self.levels.iter().flat_map(|level| level.enter.triggers()) {
            if !signals.contains(&trigger.signal) {
                signals.push(trigger.signal.clone());
            }
        }
        signals
    }
}
