//! What outlier detection knows of an engine.

use crate::events::Outcome;
use crate::model::LONG_AGO;

/// Outlier detection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineHealth {
    /// When an answer, a note or a health check's answer last came (ms).
    pub(crate) last_signal_ms: f64,
    /// Moving average of failures, from 0 to 1.
    pub(crate) error_rate: f64,
    /// When a connection last failed to come up (ms); long ago where something else was the last sign.
    pub(crate) last_unreachable_ms: f64,
    pub(crate) is_ejected: bool,
    /// It was ejected for silence rather than for errors.
    pub(crate) is_silent: bool,
    /// When the next half-open trial may go out, and how long after it another (ms).
    pub(crate) next_trial_ms: f64,
    pub(crate) trial_backoff_ms: f64,
    pub(crate) last_check_ms: f64,
}

impl Default for EngineHealth {
    fn default() -> Self {
        EngineHealth {
            last_signal_ms: LONG_AGO,
            error_rate: 0.0,
            last_unreachable_ms: LONG_AGO,
            is_ejected: false,
            is_silent: false,
            next_trial_ms: LONG_AGO,
            trial_backoff_ms: 0.0,
            last_check_ms: LONG_AGO,
        }
    }
}

impl EngineHealth {
    /// From now on single half-open trials may go there, rather than all queries.
    pub(crate) fn eject(&mut self, now_ms: f64, silent: bool, first_backoff_ms: f64) {
        self.is_ejected = true;
        self.is_silent = silent;
        self.trial_backoff_ms = first_backoff_ms;
        self.next_trial_ms = now_ms + first_backoff_ms;
    }

    /// Ends an ejection; what is left of its error rate is `error_rate`.
    pub(crate) fn reinstate(&mut self, error_rate: f64) {
        self.is_ejected = false;
        self.error_rate = error_rate;
    }

    /// Takes an outcome into the error average, by `step`.
    pub(crate) fn record_outcome(
        &mut self,
        now_ms: f64,
        outcome: Outcome,
        is_failure: bool,
        step: f64,
    ) {
        if matches!(outcome, Outcome::Completed | Outcome::Error) {
            self.last_signal_ms = now_ms;
        }
        self.last_unreachable_ms = LONG_AGO;
        if outcome == Outcome::NoConnection {
            self.last_unreachable_ms = now_ms;
        }
        let failure = f64::from(u8::from(is_failure));
        self.error_rate += step * (failure - self.error_rate);
    }

    /// Whether something was heard since the next trial became due.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_signal_ms >= self.next_trial_ms
    }

    /// Whether its last failure was that no connection came up.
    pub(crate) fn was_unreachable(&self) -> bool {
        self.last_unreachable_ms > LONG_AGO
    }

    /// Puts the next trial off after one that failed.
    pub(crate) fn back_off(&mut self, now_ms: f64, max_backoff_ms: f64) {
        self.trial_backoff_ms = (2.0 * self.trial_backoff_ms).min(max_backoff_ms);
        self.next_trial_ms = now_ms + self.trial_backoff_ms;
    }
}
