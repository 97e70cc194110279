//! The configuration of levels.

mod fingerprint;
mod validation;

use crate::signal::Signal;
pub use validation::ConfigError;

/// The name of full service.
pub const FULL_SERVICE: &str = "full";

/// A signal with two thresholds (a Schmitt trigger). The trigger switches on once its signal has reached one threshold for
/// a time, and off once it has reached the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Trigger {
    /// The measured signal.
    pub signal: Signal,
    /// Threshold to switch on.
    pub enter_threshold: f64,
    /// Threshold to switch off.
    pub leave_threshold: f64,
    /// How long `enter_threshold` must be reached (ms).
    pub enter_hold_ms: f64,
    /// How long `leave_threshold` must be reached (ms).
    pub leave_hold_ms: f64,
}

impl Trigger {
    /// Whether high readings switch the trigger on; otherwise low readings do.
    pub fn is_high_active(&self) -> bool {
        self.enter_threshold > self.leave_threshold
    }

    /// Whether a reading reaches the threshold to switch on; false for NaN.
    pub(crate) fn enters_at(&self, reading: f64) -> bool {
        if self.is_high_active() {
            reading >= self.enter_threshold
        } else {
            reading <= self.enter_threshold
        }
    }

    /// Whether a reading reaches the threshold to switch off.
    pub(crate) fn leaves_at(&self, reading: f64) -> bool {
        if self.is_high_active() {
            reading <= self.leave_threshold
        } else {
            reading >= self.leave_threshold
        }
    }
}

/// A condition on triggers: all of `all`, and at least one of `any` unless it is empty.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Condition {
    /// Triggers that must all be on.
    pub all: Vec<Trigger>,
    /// Triggers of which at least one must be on, unless there are none.
    pub any: Vec<Trigger>,
}

impl Condition {
    /// All triggers: those of `all`, then those of `any`.
    pub fn triggers(&self) -> impl Iterator<Item = &Trigger> {
        self.all.iter().chain(&self.any)
    }
}

/// The fraction of capacity that the low-priority work of a class may use; 0 closes the class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassFraction {
    /// The class (resource group).
    pub class: String,
    /// From 0 to 1.
    pub fraction: f64,
}

/// The changes of admission control at a level. At full service all factors are 1.
#[derive(Debug, Clone, PartialEq)]
pub struct Degradation {
    /// Factor on the concurrency limits of the low lane, up to 1.
    pub concurrency_factor: f64,
    /// Factor on the cost from which queries are demoted to the low lane, up to 1.
    pub demotion_factor: f64,
    /// Factor on memory grants beyond need, up to 1.
    pub grant_factor: f64,
    /// Factor on `retry_after_ms` of rejected queries, from 1.
    pub retry_after_factor: f64,
    /// Random jitter added to `retry_after_ms`, as a fraction of it.
    pub retry_after_jitter: f64,
    /// Low-priority work is not retried.
    pub withhold_low_retries: bool,
    /// Low-priority work of tenants over their quota gets no capacity.
    pub reject_over_quota: bool,
    /// Low-priority work gets no capacity if the confidence in its estimated cost is below this.
    pub min_confidence: f64,
    /// Capacity for low-priority work by class; classes that are not named may use all capacity.
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
    /// The fraction of capacity that a class's low-priority work may use.
    pub fn class_fraction(&self, class: &str) -> f64 {
        let named = self.classes.iter().find(|known| known.class == class);
        named.map_or(1.0, |known| known.fraction)
    }
}

/// A level below full service.
#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Name of the level, shown to operators and clients.
    pub name: String,
    /// The condition to enter the level. The level is left by the same triggers' other thresholds.
    pub enter: Condition,
    /// Shortest time that the level stays in force (ms).
    pub min_stay_ms: f64,
    /// The level's changes of admission control.
    pub degradation: Degradation,
}

/// The levels below full service, from the mildest to the deepest.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// The levels; their depths count from 1.
    pub levels: Vec<Level>,
}

impl Config {
    /// All signals that are used, each once, in the order in which they first appear.
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
