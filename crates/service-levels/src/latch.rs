//! The state of a trigger: whether it is on, and the time for which its reading has reached the threshold to switch.

use crate::config::Trigger;

/// Time without a reading after which a trigger switches off (ms): a missing signal must not keep a level in force.
pub(crate) const MISSING_SIGNAL_TIMEOUT_MS: f64 = 30_000.0;

/// State of a trigger.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Latch {
    pub(crate) is_on: bool,
    /// Time for which readings have reached the threshold to switch without interruption (ms).
    pub(crate) held_ms: f64,
    /// Time since the last reading (ms).
    pub(crate) missing_ms: f64,
}

impl Latch {
    /// A latch that has just switched on.
    pub(crate) const ON: Latch = Latch {
        is_on: true,
        held_ms: 0.0,
        missing_ms: 0.0,
    };

    /// Applies a reading taken `elapsed_ms` after the previous one; NaN if the signal was not reported.
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
