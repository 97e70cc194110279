//! Outlier detection: an engine that fails, falls silent or refuses connections is ejected, whatever the cause, and
//! gets single half-open trials until one succeeds.

use crate::events::{AttemptEnded, Outcome};
use crate::model::{Lane, Query, LONG_AGO};

/// Step of an engine's error average (fraction of the distance).
pub(super) const ERROR_STEP: f64 = 0.2;
/// Error average above which an engine is ejected.
pub(super) const EJECTION_LEVEL: f64 = 0.35;
/// Time from an ejection to the first half-open trial (ms).
const FIRST_BACKOFF_MS: f64 = 500.0;
/// Upper bound of the time between two trials (ms); each failed trial doubles it up to this.
const MAX_BACKOFF_MS: f64 = 4000.0;
/// Silence after which a failed health check ejects an engine (ms).
const MAX_SILENCE_MS: f64 = 900.0;
/// Time by which a signal must be overdue before a health check is sent (ms).
const OVERDUE_SIGNAL_MS: f64 = 300.0;
/// Minimum time between two health checks of an engine (ms).
const MIN_CHECK_INTERVAL_MS: f64 = FIRST_BACKOFF_MS;

/// The health of one engine as this dispatcher sees it.
#[derive(Debug, Clone)]
pub(crate) struct EngineHealth {
    /// When an answer, a note or a health check's answer last arrived (ms).
    last_signal_ms: f64,
    /// Moving average of failures, from 0 to 1.
    error_rate: f64,
    /// When the last attempt ended without a connection (ms), if that was the last outcome.
    unreachable_ms: Option<f64>,
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
    /// It answered with errors.
    Errors,
    /// It did not answer, or did not accept connections.
    Silence,
}

/// What the end of an attempt shows of its engine.
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

    /// Whether the engine is ejected for silence rather than for errors.
    pub(crate) fn is_ejected_for_silence(&self) -> bool {
        self.ejection
            .is_some_and(|ejection| ejection.cause == EjectionCause::Silence)
    }

    /// Whether outlier detection lets a query go to the engine.
    ///
    /// An ejected engine takes one half-open trial at a time, and only a read-only query of the fast lane: it can be
    /// retried elsewhere. After an ejection for silence the engine must first answer a health check, where health
    /// checks are allowed.
    pub(crate) fn admits(&self, query: &Query, has_health_checks: bool, now_ms: f64) -> bool {
        let Some(ejection) = &self.ejection else {
            return true;
        };
        let must_answer = ejection.cause == EjectionCause::Silence && has_health_checks;
        let has_answered = self.last_signal_ms >= ejection.next_trial_ms;
        query.lane == Lane::Fast
            && query.is_read_only()
            && (has_answered || !must_answer)
            && now_ms >= ejection.next_trial_ms
    }

    /// Postpones the next half-open trial, if the engine is ejected. Returns whether the attempt that is being sent is
    /// such a trial.
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

    /// Records a note of the engine.
    pub(crate) fn record_signal(&mut self, now_ms: f64) {
        self.last_signal_ms = now_ms;
    }

    /// Records the end of an attempt, and ejects or reinstates the engine where it shows that.
    pub(crate) fn record_end(&mut self, event: &AttemptEnded, is_trial: bool, now_ms: f64) {
        let Some(signal) = self.classify_end(event, now_ms) else {
            return;
        };
        self.record_outcome(event.outcome, signal, now_ms);
        match &mut self.ejection {
            None if self.error_rate > EJECTION_LEVEL => {
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

    /// What the end of an attempt shows of the engine; none where it shows nothing.
    fn classify_end(&self, event: &AttemptEnded, now_ms: f64) -> Option<HealthSignal> {
        match event.outcome {
            Outcome::Completed => Some(HealthSignal::Success),
            // All attempts that waited for one connection fail at once and count once.
            Outcome::NoConnection if self.unreachable_ms == Some(now_ms) => None,
            // The query failed elsewhere before: the cause may be the query.
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
        self.error_rate += ERROR_STEP * (failure - self.error_rate);
    }

    /// Records the end of a health check.
    pub(crate) fn record_health_check(&mut self, outcome: Outcome, now_ms: f64) {
        let silent_ms = now_ms - self.last_signal_ms;
        if outcome != Outcome::Completed {
            if self.ejection.is_none() && silent_ms > MAX_SILENCE_MS {
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
        // The health check's connection was accepted, and the process answers.
        if self.unreachable_ms.is_some() {
            self.reinstate();
        }
    }

    /// Whether a health check should be sent now, to an engine that is silent for `silent_ms` where `usual_silence_ms`
    /// is normal.
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

    /// Forgets failures and ejection: another process has taken the engine's place.
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

    /// Ends the ejection. The next outcome ejects the engine again if it is a failure.
    fn reinstate(&mut self) {
        self.ejection = None;
        self.error_rate = ERROR_STEP;
    }
}

impl Ejection {
    /// Postpones the next trial after a failed one.
    fn back_off(&mut self, now_ms: f64) {
        self.backoff_ms = (2.0 * self.backoff_ms).min(MAX_BACKOFF_MS);
        self.next_trial_ms = now_ms + self.backoff_ms;
    }
}
