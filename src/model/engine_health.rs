//! Outlier detection: an engine that fails, stops answering or refuses connections is ejected, whatever the cause. It
//! then gets one half-open trial at a time until a trial succeeds.

use crate::events::{AttemptEnded, Outcome};
use crate::model::{Lane, Query, LONG_AGO};

/// Weight of a new outcome in an engine's error rate, an exponential moving average.
pub(super) const ERROR_RATE_STEP: f64 = 0.2;
/// Error rate above which an engine is ejected.
pub(super) const EJECTION_ERROR_RATE: f64 = 0.35;
/// Time from an ejection to the first half-open trial (ms).
const FIRST_BACKOFF_MS: f64 = 500.0;
/// Upper bound of the time between two trials (ms); each failed trial doubles the time up to this bound.
const MAX_BACKOFF_MS: f64 = 4000.0;
/// Time without a signal after which a failed health check ejects an engine (ms).
const EJECTION_SILENCE_MS: f64 = 900.0;
/// Time by which a signal is overdue before a health check is sent (ms).
const OVERDUE_SIGNAL_MS: f64 = 300.0;
/// Minimum time between two health checks of an engine (ms).
const MIN_CHECK_INTERVAL_MS: f64 = FIRST_BACKOFF_MS;

/// The health of one engine as this dispatcher sees it.
#[derive(Debug, Clone)]
pub(crate) struct EngineHealth {
    /// When an answer, a note or the reply to a health check last arrived (ms).
    last_signal_ms: f64,
    /// Exponential moving average of failures, from 0 to 1.
    error_rate: f64,
    /// When the last attempt failed for lack of a connection (ms), if no other outcome has counted since.
    unreachable_ms: Option<f64>,
    /// When a health check was last sent (ms).
    last_check_ms: f64,
    ejection: Option<Ejection>,
}

/// The state of an ejected engine.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    cause: EjectionCause,
    /// When the next half-open trial may be sent (ms).
    next_trial_ms: f64,
    /// Time from a trial to the next one (ms).
    backoff_ms: f64,
}

/// Why an engine was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EjectionCause {
    /// The engine answered with errors.
    Errors,
    /// The engine did not answer, or did not accept connections.
    Silence,
}

/// An attempt's outcome, as evidence of its engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthSignal {
    Success,
    Failure,
}

impl Default for EngineHealth {
    fn default() -> Self {
        EngineHealth {
            last_signal_ms: LONG_AGO,
            error_rate: 0.0,
            unreachable_ms: None,
            last_check_ms: LONG_AGO,
            ejection: None,
        }
    }
}

impl EngineHealth {
    /// Whether the engine is ejected: only half-open trials may be sent to it.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the engine is ejected because it was silent, not because of errors.
    pub(crate) fn is_ejected_for_silence(&self) -> bool {
        self.ejection
            .is_some_and(|ejection| ejection.cause == EjectionCause::Silence)
    }

    /// Whether outlier detection allows the query on the engine.
    ///
    /// An ejected engine gets one half-open trial at a time. Only a read-only query of the fast lane serves as a trial,
    /// because it can be retried elsewhere. After an ejection for silence the engine must first answer a health check,
    /// if the platform has health checks.
    pub(crate) fn admits(&self, query: &Query, has_health_checks: bool, now_ms: f64) -> bool {
        let Some(ejection) = &self.ejection else {
            return true;
        };
        let needs_signal = ejection.cause == EjectionCause::Silence && has_health_checks;
        let has_signal = self.last_signal_ms >= ejection.next_trial_ms;
        query.lane == Lane::Fast
            && query.is_read_only()
            && (has_signal || !needs_signal)
            && now_ms >= ejection.next_trial_ms
    }

    /// Records that an attempt is being sent, and returns whether it is a half-open trial. Any attempt on an ejected
    /// engine counts as a trial and postpones the next one.
    pub(crate) fn begin_attempt(&mut self, now_ms: f64) -> bool {
        let Some(ejection) = &mut self.ejection else {
            return false;
        };
        ejection.next_trial_ms = now_ms + ejection.backoff_ms;
        true
    }

    /// When the engine last sent a signal (ms).
    pub(crate) fn last_signal_ms(&self) -> f64 {
        self.last_signal_ms
    }

    /// Records that the engine sent a progress note.
    pub(crate) fn record_signal(&mut self, now_ms: f64) {
        self.last_signal_ms = now_ms;
    }

    /// Records the outcome of an attempt, and ejects or reinstates the engine if the outcome warrants it.
    pub(crate) fn record_end(&mut self, event: &AttemptEnded, is_trial: bool, now_ms: f64) {
        let Some(signal) = self.classify_outcome(event, now_ms) else {
            return;
        };
        self.record_outcome(event.outcome, signal, now_ms);
        match &mut self.ejection {
            None if self.error_rate > EJECTION_ERROR_RATE => {
                let cause = match event.outcome {
                    Outcome::Error => EjectionCause::Errors,
                    _ => EjectionCause::Silence,
                };
                self.eject(cause, now_ms);
            }
            None => {}
            Some(_) if signal == HealthSignal::Success => self.reinstate(),
            Some(ejection) if is_trial => ejection.back_off(now_ms),
            Some(_) => {}
        }
    }

    /// The evidence of the engine's health in an attempt's outcome; `None` if the outcome has no bearing on it.
    fn classify_outcome(&self, event: &AttemptEnded, now_ms: f64) -> Option<HealthSignal> {
        match event.outcome {
            Outcome::Completed => Some(HealthSignal::Success),
            // All attempts that waited for the same connection fail at the same time and count as one failure.
            Outcome::NoConnection if self.unreachable_ms == Some(now_ms) => None,
            // The query failed on another engine before: the cause may be the query itself.
            Outcome::Error if event.attempt > 0 => None,
            Outcome::Error | Outcome::Reset | Outcome::NoConnection | Outcome::Timeout => {
                Some(HealthSignal::Failure)
            }
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => None,
        }
    }

    fn record_outcome(&mut self, outcome: Outcome, signal: HealthSignal, now_ms: f64) {
        if matches!(outcome, Outcome::Completed | Outcome::Error) {
            self.last_signal_ms = now_ms;
        }
        self.unreachable_ms = (outcome == Outcome::NoConnection).then_some(now_ms);
        let failure = match signal {
            HealthSignal::Success => 0.0,
            HealthSignal::Failure => 1.0,
        };
        self.error_rate += ERROR_RATE_STEP * (failure - self.error_rate);
    }

    /// Records the outcome of a health check.
    pub(crate) fn record_health_check(&mut self, outcome: Outcome, now_ms: f64) {
        let silent_ms = now_ms - self.last_signal_ms;
        if outcome != Outcome::Completed {
            if self.ejection.is_none() && silent_ms > EJECTION_SILENCE_MS {
                self.eject(EjectionCause::Silence, now_ms);
            }
            return;
        }
        self.last_signal_ms = now_ms;
        let Some(ejection) = &mut self.ejection else {
            return;
        };
        if ejection.cause == EjectionCause::Silence {
            ejection.next_trial_ms = now_ms;
        }
        // The engine accepted the health check's connection and answered, so it is reachable again.
        if self.unreachable_ms.is_some() {
            self.reinstate();
        }
    }

    /// Whether a health check is due for an engine that has been silent for `silent_ms`, if a healthy engine may be
    /// silent for `usual_silence_ms`.
    pub(crate) fn is_check_due(&self, silent_ms: f64, usual_silence_ms: f64, now_ms: f64) -> bool {
        let is_wanted = match &self.ejection {
            None => silent_ms > OVERDUE_SIGNAL_MS + usual_silence_ms,
            Some(ejection) => {
                ejection.cause == EjectionCause::Silence && now_ms >= ejection.next_trial_ms
            }
        };
        is_wanted && now_ms - self.last_check_ms > MIN_CHECK_INTERVAL_MS
    }

    /// Records that a health check is sent.
    pub(crate) fn begin_health_check(&mut self, now_ms: f64) {
        self.last_check_ms = now_ms;
    }

    /// Resets the error rate and the ejection, because a new process has taken the engine's place.
    pub(crate) fn reset_process(&mut self) {
        self.ejection = None;
        self.error_rate = 0.0;
    }

    fn eject(&mut self, cause: EjectionCause, now_ms: f64) {
        self.ejection = Some(Ejection {
            cause,
            next_trial_ms: now_ms + FIRST_BACKOFF_MS,
            backoff_ms: FIRST_BACKOFF_MS,
        });
    }

    /// Ends the ejection. The error rate starts so high that a failure as the next outcome ejects the engine again.
    fn reinstate(&mut self) {
        self.ejection = None;
        self.error_rate = ERROR_RATE_STEP;
    }
}

impl Ejection {
    /// Postpones the next trial after a failed one.
    fn back_off(&mut self, now_ms: f64) {
        self.backoff_ms = (2.0 * self.backoff_ms).min(MAX_BACKOFF_MS);
        self.next_trial_ms = now_ms + self.backoff_ms;
    }
}
