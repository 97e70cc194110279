//! Completion: what an attempt's end and notes change, the concurrency limit, and final answers. Every final
//! answer that is not an engine's passes here.

use crate::control::pressure::CROWD_PER_CORE;
use crate::events::{AttemptEnded, DecisionSink, EndReason, Outcome, ProgressNote};
use crate::model::{Attempt, ClosedAttempt, Control, Lane, QueryIndex, LEARNING};

const RETRY_AFTER_MS: f64 = 1000.0; // A rejected client may come back then; cut to what clients follow.
const QUICK_FRACTION: f64 = 0.5; // Of the objective; quicker low answers raise the limit,
const MAX_THREADS_PER_CORE: f64 = 1.2; // up to this many low threads a core of our share,
const MAX_CROWD: f64 = 1.5; // and the concurrency estimate up to this many a core.
const MAX_USAGE_FACTOR: f64 = 5.0; // Reported usage corrects estimates by this factor at most.
/// Fraction of a group's lowest scatter that is no slowdown yet.
const TOLERATED_SCATTER: f64 = 0.5;
const LOCK_NOTES: f64 = 1.5; // After a note of a wait for a load its tables count as locked, in intervals.

impl Control {
    /// An attempt ended; one that is not in flight, or not known, is ignored.
    pub fn on_attempt_ended(&mut self, event: &AttemptEnded, out: &mut dyn DecisionSink) {
        let Some(closed) = self.close_attempt(event) else {
            return;
        };
        // Rule 5: after an attempt whose end is unknown its key cools down.
        if let Some(key) = closed.key.filter(|_| event.outcome.is_unknown()) {
            let until_ms = self.now_ms + self.settings.key_cooldown_ms;
            self.key_queues.cool_down(key, until_ms);
        }
        let objective_ms = self.groups[closed.group].objective_of(closed.cost);
        if event.outcome == Outcome::Completed {
            let group = &mut self.groups[closed.group];
            group.learn_usage(closed.cost, event.used, LEARNING.mean, MAX_USAGE_FACTOR);
            let stalls = &mut self.engines[closed.engine].stalls;
            stalls.record_completion(closed.group, self.now_ms);
            self.learn_answer(&closed, event.latency_ms);
        }
        self.adapt_limit(&closed, event, objective_ms);
        self.detect_outlier(&closed, event);
        self.release_zone_capacity(closed.attempt.reservation, closed.group, closed.engine);
        if self.queries[closed.query].is_over {
            self.retire(closed.query, out);
        } else if event.outcome != Outcome::NotSent && self.has_time_for_run(closed.query) {
            self.place(closed.query, out);
        } else {
            self.finish(closed.query, EndReason::NotInTime, out);
        }
    }

    /// Learns from an answer how slow its engine is. A late answer counts as slow whatever the best was: a dispatcher
    /// that started during an incident has seen no better one.
    fn learn_answer(&mut self, closed: &ClosedAttempt, latency_ms: f64) {
        let group = &mut self.groups[closed.group];
        let Some(above_best) = group.learn_run_time(closed.cost, latency_ms, LEARNING) else {
            return;
        };
        let engine = &mut self.engines[closed.engine];
        if latency_ms > group.objective_of(closed.cost) {
            return self
                .slowdowns
                .record_slow_answer(engine, closed.lane, self.now_ms);
        }
        let slowdown = above_best - TOLERATED_SCATTER * group.slowdown.min_scatter;
        self.slowdowns
            .record_answer(engine, closed.lane, slowdown, self.now_ms);
    }

    /// Records what an attempt's end shows of its engine's health.
    fn detect_outlier(&mut self, closed: &ClosedAttempt, event: &AttemptEnded) {
        let is_slow = event.outcome == Outcome::Timeout && self.may_be_slow(&closed.attempt);
        let engine = &mut self.engines[closed.engine];
        if is_slow {
            self.slowdowns
                .record_slow_answer(engine, Lane::Fast, self.now_ms);
        } else {
            let is_trial = closed.attempt.is_trial;
            engine.health.record_end(event, is_trial, self.now_ms);
        }
    }

    /// Whether an attempt that timed out may be slow on a healthy engine: the engine sent signals since, or no note was
    /// due yet. The cause is then a busy engine, or a load that the attempt waits for.
    fn may_be_slow(&self, attempt: &Attempt) -> bool {
        let note_interval_ms = self.settings.engine_features.note_interval_ms;
        self.engines[attempt.engine].health.last_signal_ms() > attempt.sent_ms
            || self.now_ms - attempt.sent_ms < note_interval_ms
    }

    /// The concurrency limit: up by one for a low answer well within its objective, halved on "full",
    /// time-outs and late answers, once for all attempts that were in flight at the time.
    fn adapt_limit(&mut self, closed: &ClosedAttempt, event: &AttemptEnded, objective_ms: f64) {
        let share = self.pool_share();
        let engine = &mut self.engines[closed.engine];
        let limit = &mut engine.limit;
        let is_low_answer = event.outcome == Outcome::Completed && closed.lane == Lane::Low;
        if is_low_answer && event.latency_ms <= QUICK_FRACTION * objective_ms {
            limit.grow(engine.cores, share, MAX_THREADS_PER_CORE, MAX_CROWD);
        }
        if event.outcome == Outcome::Full {
            limit.last_full_ms = self.now_ms;
        }
        let is_late = is_low_answer && event.latency_ms > objective_ms;
        let is_overload = is_late || matches!(event.outcome, Outcome::Full | Outcome::Timeout);
        if is_overload && closed.attempt.sent_ms > limit.halved_ms {
            limit.halve(self.now_ms, CROWD_PER_CORE * engine.cores);
        }
    }

    /// An engine sent a note on a running attempt.
    pub fn on_progress_note(&mut self, event: &ProgressNote) {
        let lock_ms = LOCK_NOTES * self.settings.engine_features.note_interval_ms;
        let Some(note) = self.record_note(event, lock_ms) else {
            return;
        };
        let group = &mut self.groups[note.group];
        let above_best = group.learn_progress(note.cost, note.run_time_ms, LEARNING.median);
        // Only the first note counts: the later ones of a query with a bad plan show nothing new about its engine.
        if let Some(above_best) = above_best.filter(|_| note.is_first) {
            let engine = &mut self.engines[note.engine];
            self.slowdowns
                .record_progress(engine, Lane::Low, above_best, self.now_ms);
        }
    }

    /// A query's client left: nothing is answered, and its attempt is cancelled.
    pub fn on_client_gone(&mut self, query_id: u64, out: &mut dyn DecisionSink) {
        if let Some(query) = self.find_query(query_id) {
            self.end(query, out);
        }
    }

    /// Ends the query at once: rejected where a retry is harmless, failed where it may not be.
    pub(super) fn finish(
        &mut self,
        index: QueryIndex,
        reason: EndReason,
        out: &mut dyn DecisionSink,
    ) {
        let query = &self.queries[index];
        if query.is_over {
            return;
        }
        out.note_end_reason(query.id, reason);
        let is_safe = query.is_read_only() || query.in_flight().is_none();
        if is_safe && self.may_repeat(index, None) {
            let max_ms = self.settings.max_retry_after_ms;
            let level = &self.level;
            let retry_after_ms = level.retry_after_ms(RETRY_AFTER_MS, max_ms, &mut self.rng);
            out.reject(query.id, retry_after_ms);
        } else {
            out.fail(query.id);
        }
        self.end(index, out);
    }

    fn end(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        self.queries[query].is_over = true;
        self.cancel_in_flight(query, out);
        self.retire(query, out);
    }

    /// Forgets a query that is over and has nothing in flight; the next of its key may go.
    fn retire(&mut self, index: QueryIndex, out: &mut dyn DecisionSink) {
        if !self.queries[index].is_done() {
            return;
        }
        let Some(next) = self.remove_query(index) else {
            return;
        };
        if self.queries[next].attempts.count() == 0 && self.is_first_of_key(next) {
            self.place(next, out);
        }
    }
}
