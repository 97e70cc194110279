//! Periodic checks: request the endpoint list, check engines, exchange load with peers, migrate queries from slow
//! attempts, and end queries that cannot meet their deadline.
//!
//! Uses the low lane's token bucket, the endpoint list request, slow start, engine health, the peer load, stalls, the
//! retry budget and the pool view.

use crate::control::Control;
use crate::events::{DecisionSink, EndReason};
use crate::model::{Attempt, QueryIndex, CHECK_INTERVAL_MS};

/// Time before its expiry from which a timer counts as due (ms).
const TIMER_SLACK_MS: f64 = 1.0;
/// Ratio of an attempt's remaining time to the run time of a new attempt above which the query migrates.
const MIGRATION_FACTOR: f64 = 2.5;
/// Multiple of the expected run time after which, with [`OVERDUE_GRACE_MS`] added, an attempt without progress is
/// overdue.
const OVERDUE_RUN_TIME_FACTOR: f64 = 5.0;
/// Time added to the multiple of the expected run time (ms).
const OVERDUE_GRACE_MS: f64 = 400.0;
/// Number of note intervals without a note after which an attempt is overdue.
const OVERDUE_NOTE_INTERVALS: f64 = 2.5;
/// Ratio of an attempt's remaining time to the time until its deadline above which it cannot meet the deadline.
const UNATTAINABLE_FACTOR: f64 = 1.25;

/// Time of the last periodic checks, and expiry of the timer for the next ones.
#[derive(Debug, Default)]
pub(super) struct CheckSchedule {
    /// Time at which the checks last ran (ms).
    checked_ms: f64,
    /// Time at which the most recently set timer expires (ms).
    timer_due_ms: f64,
}

impl Control {
    /// Runs all checks if [`CHECK_INTERVAL_MS`] has passed since they last ran.
    pub(super) fn run_periodic_checks(&mut self, out: &mut dyn DecisionSink) {
        let elapsed_ms = self.now_ms - self.schedule.checked_ms;
        if elapsed_ms < CHECK_INTERVAL_MS {
            return;
        }
        let headroom_threads = self.pool().total_headroom();
        self.low_lane.refill(headroom_threads, elapsed_ms);
        self.schedule.checked_ms = self.now_ms;
        self.request_endpoints(out);
        self.advance_slow_start();
        self.check_engines(out);
        self.peer_load.exchange(&mut self.engines, self.now_ms, out);
        for query in self.queries.slots() {
            self.check_query(query, out);
        }
    }

    /// Sets a timer for the next checks if any are needed and no timer is pending.
    pub(super) fn set_timer(&mut self, out: &mut dyn DecisionSink) {
        let mut ready = self.engines.ready();
        let has_ejected = ready.any(|engine| engine.health.is_ejected());
        let is_needed = has_ejected || self.endpoint_list.is_wanted() || !self.queries.is_empty();
        if is_needed && self.now_ms + TIMER_SLACK_MS > self.schedule.timer_due_ms {
            self.schedule.timer_due_ms = self.now_ms + CHECK_INTERVAL_MS;
            out.set_timer(CHECK_INTERVAL_MS, 0);
        }
    }

    fn advance_slow_start(&mut self) {
        for engine in self.engines.iter_mut() {
            self.slow_start
                .advance(&mut engine.warm_up, self.now_ms, &mut self.rng);
        }
    }

    /// Sends health checks to ready engines that have been silent for longer than usual or are ejected for silence.
    fn check_engines(&mut self, out: &mut dyn DecisionSink) {
        if !self.settings.capabilities.health_checks {
            return;
        }
        let now_ms = self.now_ms;
        let usual_silence_ms = self.settings.usual_silence_ms();
        for engine in self.engines.iter_mut() {
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

    fn check_query(&mut self, index: QueryIndex, out: &mut dyn DecisionSink) {
        let Some(query) = self.queries.get(index) else {
            return;
        };
        if query.is_over_or_migrating() {
            return;
        }
        if let Some(attempt) = query.attempt_in_flight().copied() {
            self.check_attempt(index, attempt, out);
        } else if self.is_first_of_key(index) {
            self.place(index, out);
        } else if self.expected_run_time_ms(index) + CHECK_INTERVAL_MS > self.time_left_ms(index) {
            self.reject_or_fail(index, EndReason::TurnTooLate, out);
        }
    }

    /// Migrates or ends a query whose attempt needs too long, compared with a new attempt and with the deadline.
    ///
    /// This covers stalled and slow attempts of any cause: a bad plan, a slow or silent engine, or tables that a load
    /// locks.
    fn check_attempt(&mut self, query: QueryIndex, attempt: Attempt, out: &mut dyn DecisionSink) {
        let time_left_ms = self.time_left_ms(query);
        let new_run_ms = self.expected_run_time_ms(query);
        let is_overdue = self.is_overdue(&attempt, new_run_ms);
        let health = &self.engines[attempt.engine].health;
        let is_silent = health.is_ejected_for_silence() && !attempt.is_trial;
        let progress = &attempt.progress;
        let mut remaining_ms = progress.remaining_ms(self.now_ms).unwrap_or(new_run_ms);
        if is_silent || is_overdue {
            remaining_ms = f64::INFINITY;
        }
        let is_predicted = progress.run_time_ms().is_some();
        let is_unattainable = is_predicted && remaining_ms > UNATTAINABLE_FACTOR * time_left_ms;
        let saves_time = remaining_ms > MIGRATION_FACTOR * new_run_ms && new_run_ms < time_left_ms;
        // Under pressure, a new attempt of a query that cannot meet its deadline would only delay other queries.
        let would_only_delay_others =
            is_unattainable && self.pool().is_under_pressure(attempt.engine);
        if saves_time && !would_only_delay_others && self.may_migrate(query) {
            self.migrate(query, &attempt, is_overdue, out);
        } else if is_unattainable {
            self.reject_or_fail(query, EndReason::Unattainable, out);
        }
    }

    /// Cancels an attempt in order to migrate its query, which is placed again once the cancellation is confirmed.
    fn migrate(
        &mut self,
        query: QueryIndex,
        attempt: &Attempt,
        is_overdue: bool,
        out: &mut dyn DecisionSink,
    ) {
        let group = self.queries[query].group;
        let stalls = &mut self.engines[attempt.engine].stalls;
        if is_overdue {
            stalls.record_stall(group, self.now_ms);
        } else {
            stalls.record_slow_attempt(group, self.now_ms);
        }
        self.retry_budget.begin_migration();
        self.queries[query].is_migrating = true;
        self.cancel_in_flight(query, out);
    }

    /// Returns whether an attempt has sent no note for [`OVERDUE_NOTE_INTERVALS`] note intervals, or has made no
    /// progress in the time in which a run should complete: its answer was lost, or no engine is running it.
    fn is_overdue(&self, attempt: &Attempt, new_run_ms: f64) -> bool {
        let interval_ms = self.settings.engine_features.note_interval_ms;
        let silent_ms = self.now_ms - attempt.progress.last_note_ms();
        let age_ms = self.now_ms - attempt.sent_ms;
        let max_age_ms = OVERDUE_RUN_TIME_FACTOR * new_run_ms + OVERDUE_GRACE_MS;
        interval_ms > 0.0 && silent_ms > OVERDUE_NOTE_INTERVALS * interval_ms
            || attempt.progress.has_no_progress() && age_ms > max_age_ms
    }
}
