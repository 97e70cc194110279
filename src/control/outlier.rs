//! Outlier detection: engines that fail, fall silent or refuse connections are ejected, whatever the cause,
//! and get single half-open trials until one succeeds. A group keeps off engines where it stalls.

use crate::control::pressure::MEMORY;
use crate::events::{AttemptEnded, DecisionSink, HealthCheckEnded, Outcome};
use crate::model::{Attempt, ClosedAttempt, Control, EngineIndex, Lane, QueryIndex};

const ERROR_STEP: f64 = 0.2; // Step of an engine's error average (fraction of the distance).
pub(super) const STALL_STEP: f64 = ERROR_STEP; // Step of a group's stall level.
const EJECTION_LEVEL: f64 = 0.35; // Error average, or stall level, above which an engine is left out.
const FIRST_TRIAL_MS: f64 = 500.0; // The first half-open trial goes out after this time;
const MAX_TRIAL_MS: f64 = 4000.0; // each that fails doubles it, up to this.
const SILENCE_MS: f64 = 900.0; // A failed health check ejects an engine that is silent for this time.
const CHECK_AFTER_MS: f64 = 300.0; // A health check goes out when a sign is overdue by this time.

impl Control {
    /// Whether outlier detection lets a query go to an engine.
    ///
    /// An ejected engine takes one half-open trial at a time, and only a read-only query of the fast lane: it
    /// can be retried elsewhere. One that fell silent must first answer a health check, where these are
    /// allowed.
    pub(super) fn is_eligible(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let query = &self.queries[query];
        let health = &self.engines[engine].health;
        if !health.is_ejected {
            return true;
        }
        let must_answer = health.is_silent && self.settings.capabilities.health_checks;
        query.lane == Lane::Fast
            && query.is_read_only()
            && (health.has_answered() || !must_answer)
            && self.now_ms >= health.next_trial_ms
    }

    /// Whether attempts of the query's group stall there, while others may go on as ever.
    pub(super) fn is_stalled(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let group = self.queries[query].group;
        let engine = &self.engines[engine];
        engine.stall_level(group, self.now_ms, MEMORY.engine_decay_ms) > EJECTION_LEVEL
    }

    /// Takes in what an outcome says of the engine.
    pub(super) fn detect_outlier(&mut self, closed: &ClosedAttempt, event: &AttemptEnded) {
        let health = &self.engines[closed.engine].health;
        let is_failure = match event.outcome {
            Outcome::Completed => false,
            // All that waited for one connection are one sign.
            Outcome::NoConnection if health.last_unreachable_ms == self.now_ms => return,
            // A query that failed elsewhere before may be at fault itself.
            Outcome::Error if event.attempt > 0 => return,
            Outcome::Error | Outcome::Reset | Outcome::NoConnection => true,
            Outcome::Timeout if self.may_be_slow(&closed.attempt) => {
                return self.learn_slow_answer(closed.engine, Lane::Fast);
            }
            Outcome::Timeout => true,
            // Neither says anything of the engine's health.
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        let health = &mut self.engines[closed.engine].health;
        health.record_outcome(self.now_ms, event.outcome, is_failure, ERROR_STEP);
        if !health.is_ejected && health.error_rate > EJECTION_LEVEL {
            health.eject(self.now_ms, event.outcome != Outcome::Error, FIRST_TRIAL_MS);
        } else if health.is_ejected && is_failure && closed.attempt.is_trial {
            health.back_off(self.now_ms, MAX_TRIAL_MS);
        } else if health.is_ejected && !is_failure {
            health.reinstate(ERROR_STEP);
        }
    }

    /// A time-out on an engine that answers others, or before a first note: crowded out, or behind a load.
    fn may_be_slow(&self, attempt: &Attempt) -> bool {
        let note_interval_ms = self.settings.engine_features.note_interval_ms;
        self.engines[attempt.engine].health.last_signal_ms > attempt.sent_ms
            || self.now_ms - attempt.sent_ms < note_interval_ms
    }

    /// A health check ended.
    pub fn on_health_check_ended(&mut self, event: &HealthCheckEnded) {
        let Some(engine) = self.find_engine(event.engine_id) else {
            return;
        };
        let health = &mut self.engines[engine].health;
        let silent_ms = self.now_ms - health.last_signal_ms;
        if event.outcome == Outcome::Completed {
            health.last_signal_ms = self.now_ms;
            if health.is_silent {
                health.next_trial_ms = self.now_ms;
            }
            // Ejected as no connection came up: one has, and its process answers.
            if health.is_ejected && health.was_unreachable() {
                health.reinstate(ERROR_STEP);
            }
        } else if !health.is_ejected && silent_ms > SILENCE_MS {
            health.eject(self.now_ms, true, FIRST_TRIAL_MS);
        }
    }

    /// Starts health checks of engines that are silent for longer than they should be.
    pub(super) fn check_engines(&mut self, out: &mut dyn DecisionSink) {
        let max_silence_ms = CHECK_AFTER_MS + self.settings.usual_silence_ms();
        let now_ms = self.now_ms;
        for engine in &mut self.engines {
            let mut wants_check = engine.silent_for_ms(now_ms) > max_silence_ms;
            let health = &mut engine.health;
            if health.is_ejected {
                wants_check = health.is_silent && now_ms >= health.next_trial_ms;
            }
            let may_check = self.settings.capabilities.health_checks && engine.endpoint.ready;
            if may_check && wants_check && now_ms - health.last_check_ms > FIRST_TRIAL_MS {
                health.last_check_ms = now_ms;
                out.check_health(engine.engine_id);
            }
        }
    }
}
