//! Periodic checks: of the endpoint list, engines, peers, and each query, which may migrate or be given up.

use crate::events::{DecisionSink, EndReason};
use crate::model::{Attempt, Control, QueryIndex, CHECK_INTERVAL_MS};

const TIMER_SLACK_MS: f64 = 1.0; // A timer counts as due so much before its time.
const MIGRATION_GAIN: f64 = 2.5; // A query migrates when what is left is this many times a new run.
const OVERDUE_RUNS: f64 = 5.0; // Without notes an attempt is overdue after this many expected runs
const OVERDUE_MIN_MS: f64 = 400.0; // and this time.
const MISSED_NOTES: f64 = 2.5; // One whose notes stopped is overdue after this many note intervals.
const HOPELESS_RATIO: f64 = 1.25; // An attempt is hopeless that needs this many times the time left.

impl Control {
    pub(super) fn run_periodic_checks(&mut self, out: &mut dyn DecisionSink) {
        let elapsed_ms = self.now_ms - self.checked_ms;
        if elapsed_ms < CHECK_INTERVAL_MS {
            return;
        }
        self.low_lane.refill(self.pool_headroom(), elapsed_ms);
        self.checked_ms = self.now_ms;
        self.request_endpoints(out);
        for engine in &mut self.engines {
            self.slow_start
                .advance(&mut engine.warm_up, self.now_ms, &mut self.rng);
        }
        self.check_engines(out);
        self.exchange_load(out);
        for slot in 0..self.queries.capacity() {
            self.check_query(QueryIndex(slot), out);
        }
    }

    /// Sends health checks to engines that are silent for longer than usual.
    fn check_engines(&mut self, out: &mut dyn DecisionSink) {
        if !self.settings.capabilities.health_checks {
            return;
        }
        let now_ms = self.now_ms;
        let usual_silence_ms = self.settings.usual_silence_ms();
        for engine in &mut self.engines {
            let silent_ms = engine.silent_for_ms(now_ms);
            let is_due = engine
                .health
                .is_check_due(silent_ms, usual_silence_ms, now_ms);
            if engine.endpoint.ready && is_due {
                engine.health.begin_health_check(now_ms);
                out.check_health(engine.engine_id);
            }
        }
    }

    pub(super) fn set_timer(&mut self, out: &mut dyn DecisionSink) {
        let has_ejected = self
            .ready_engines()
            .any(|engine| engine.health.is_ejected());
        let is_needed = has_ejected || self.endpoint_list.is_wanted || !self.queries.is_empty();
        if is_needed && self.now_ms + TIMER_SLACK_MS > self.timer_due_ms {
            self.timer_due_ms = self.now_ms + CHECK_INTERVAL_MS;
            out.set_timer(CHECK_INTERVAL_MS, 0);
        }
    }

    fn check_query(&mut self, index: QueryIndex, out: &mut dyn DecisionSink) {
        if self.is_settled(index) {
            return;
        }
        let query = &self.queries[index];
        if let Some(number) = query.in_flight() {
            self.check_attempt(index, query.attempts.all()[number], out);
        } else if self.is_first_of_key(index) {
            self.place(index, out);
        } else if self.expected_run_time_ms(index) + CHECK_INTERVAL_MS > self.time_left_ms(index) {
            self.finish(index, EndReason::TurnTooLate, out); // Its key's order held it back for too long.
        }
    }

    /// Guards against attempts that stall or are slow, whatever the cause (a bad plan, a slow or silent
    /// engine, a wait for a load): what is left is set against a new run and the time that the client gives.
    fn check_attempt(&mut self, query: QueryIndex, attempt: Attempt, out: &mut dyn DecisionSink) {
        let time_left_ms = self.time_left_ms(query);
        let new_run_ms = self.expected_run_time_ms(query);
        let is_overdue = self.is_overdue(&attempt, new_run_ms);
        let health = &self.engines[attempt.engine].health;
        let is_silent = health.is_ejected_for_silence() && !attempt.is_trial;
        let progress = &attempt.progress;
        let mut left_ms = progress.time_left_ms(self.now_ms).unwrap_or(new_run_ms);
        if is_silent || is_overdue {
            left_ms = f64::INFINITY;
        }
        let has_run_time = progress.run_time_ms().is_some();
        let is_hopeless = has_run_time && left_ms > HOPELESS_RATIO * time_left_ms;
        let gains = left_ms > MIGRATION_GAIN * new_run_ms && new_run_ms < time_left_ms;
        // Under pressure a new run of a hopeless query would only keep others from their time.
        let harms = is_hopeless && self.is_under_pressure(attempt.engine);
        if gains && !harms && self.may_migrate(query) {
            let group = self.queries[query].group;
            let stalls = &mut self.engines[attempt.engine].stalls;
            if is_overdue {
                stalls.record_stall(group, self.now_ms);
            } else {
                stalls.record_slow_attempt(group, self.now_ms);
            }
            self.begin_migration(query);
            self.cancel_in_flight(query, out);
        } else if is_hopeless {
            self.finish(query, EndReason::Hopeless, out);
        }
    }

    /// No note for longer than notes take: the work ended and its answer was lost, or nothing runs it.
    fn is_overdue(&self, attempt: &Attempt, new_run_ms: f64) -> bool {
        let interval_ms = self.settings.engine_features.note_interval_ms;
        let silent_ms = self.now_ms - attempt.progress.last_note_ms;
        let age_ms = self.now_ms - attempt.sent_ms;
        let max_age_ms = OVERDUE_RUNS * new_run_ms + OVERDUE_MIN_MS;
        interval_ms > 0.0 && silent_ms > MISSED_NOTES * interval_ms
            || attempt.progress.done <= 0.0 && age_ms > max_age_ms
    }
}
