//! The latch of a trigger: whether it is on, and how long the threshold to switch has been reached.

use crate::config::Trigger;

/// A trigger whose signal was not reported for this long switches off (ms), so that a missing signal does not keep a level
/// in force.
pub(crate) const MISSING_SIGNAL_TIMEOUT_MS: f64 = 30_000.0;

/// State of a trigger.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Latch {
    pub(crate) is_on: bool,
    /// How long the threshold to switch has been reached without interruption (ms).
    pub(crate) held_ms: f64,
    /// How long the signal has not been reported (ms).
    pub(crate) missing_ms: f64,
}

impl Latch {
    /// A latch that has just switched on.
    pub(crate) const ON: Latch = Latch {
        is_on: true,
        held_ms: 0.0,
        missing_ms: 0.0,
    };

    /// Applies a reading, `elapsed_ms` after the last one. NaN means that the signal was not reported.
    pub(crate) fn update(&mut self, trigger: &Trigger, reading: f64, elapsed_ms: f64) {
        if reading.is_nan() {
            self.missing_ms += elapsed_ms;
            self.held_ms = 0.0;
            if self.missing_ms >= MISSING_SIGNAL_TIMEOUT_MS {
                self.is_on = false;
            }
            return;
        }
        self.missing_ms = 0.0;
        let (reaches_threshold, required_ms) = if self.is_on {
            (trigger.leaves_at(reading), trigger.leave_hold_ms)
        } else {
            (trigger.enters_at(reading), trigger.enter_hold_ms)
        };
        if !reaches_threshold {
            self.held_ms = 0.0;
            return;
        }
        self.held_ms += elapsed_ms;
        if self.held_ms >= required_ms {
            *self = Latch {
                is_on: !self.is_on,
                ..Latch::default()
            };
        }
    }
}
