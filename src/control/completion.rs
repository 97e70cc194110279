//! Completion: handles progress notes and the completion, failure or cancellation of attempts.
//!
//! Every final answer that does not come from an engine is sent here.
//!
//! Uses the tables of queries and engines, the key queues, the retry budget, the resource groups, slowdowns and stalls,
//! the concurrency limits, engine health, the peer load and the zone plan.

use crate::control::Control;
use crate::events::{AttemptEnded, DecisionSink, EndReason, NoteKind, Outcome, ProgressNote};
use crate::model::{
    Attempt, AttemptResult, EngineIndex, GroupIndex, Lane, QueryCost, QueryIndex, TableLock,
};

/// Delay after which a rejected client may retry (ms), at full service; capped by the settings' maximum.
const RETRY_AFTER_MS: f64 = 1000.0;
/// Number of note intervals for which tables count as locked after a note reports a wait for a load.
const LOCK_NOTE_INTERVALS: f64 = 1.5;
/// Amount in a [`NoteKind::Waiting`] note if the attempt waits for a load.
const WAIT_FOR_LOAD_AMOUNT: f64 = 2.0;

/// An attempt that is no longer in flight, with the data of its query.
struct ClosedAttempt {
    query: QueryIndex,
    engine: EngineIndex,
    group: GroupIndex,
    lane: Lane,
    /// Slot of the query's key queue.
    key: Option<u32>,
    cost: QueryCost,
    attempt: Attempt,
}

impl Control {
    /// Handles an attempt that completed, failed or was cancelled. Ignores an attempt that is unknown or not in flight.
    pub fn on_attempt_ended(&mut self, event: &AttemptEnded, out: &mut dyn DecisionSink) {
        let Some(closed) = self.close_attempt(event) else {
            return;
        };
        // Rule 5: the ordering key cools down after an attempt that may still be running or may have completed.
        if let Some(key) = closed.key.filter(|_| event.outcome.is_unknown()) {
            self.key_queues.start_cooldown(key, self.now_ms);
        }
        let objective_ms = self.groups[closed.group].latency_objective_ms(closed.cost);
        if event.outcome == Outcome::Completed {
            self.learn_from_answer(&closed, event);
        }
        self.adapt_limit(&closed, event, objective_ms);
        self.detect_outlier(&closed, event);
        self.zone_plan.release(
            closed.attempt.reservation,
            closed.group,
            self.location_of(closed.engine),
        );
        if self.queries[closed.query].is_over {
            self.remove_if_done(closed.query, out);
        } else if event.outcome != Outcome::NotSent && self.has_time_for_run(closed.query) {
            self.place(closed.query, out);
        } else {
            self.reject_or_fail(closed.query, EndReason::NotInTime, out);
        }
    }

    /// Marks an attempt as no longer in flight. Returns `None` if it is unknown or not in flight.
    fn close_attempt(&mut self, event: &AttemptEnded) -> Option<ClosedAttempt> {
        let index = self.queries.find(event.query_id)?;
        let engine = self.engines.find(event.engine_id)?;
        let query = &mut self.queries[index];
        let attempt = query.attempts.in_flight_mut(event.attempt)?;
        attempt.in_flight = false;
        attempt.may_have_run = !event.outcome.never_ran();
        let attempt = *attempt;
        let group = &self.groups[query.group];
        let locked_tables = group.settings.is_load.then_some(query.tables);
        let load = &mut self.engines[engine].load;
        load.remove(&attempt, query.lane, group.threads(), locked_tables);
        if query.is_migrating {
            query.is_migrating = false;
            self.retry_budget.finish_migration();
        }
        query.is_over |= event.answer_delivered;
        if query.lane == Lane::Low {
            self.peer_load.record_change();
        }
        Some(ClosedAttempt {
            query: index,
            engine,
            group: query.group,
            lane: query.lane,
            key: query.key,
            cost: query.cost,
            attempt,
        })
    }

    /// Updates the group's cost estimate, and the engine's stall level and slowdown, from a completed attempt.
    fn learn_from_answer(&mut self, closed: &ClosedAttempt, event: &AttemptEnded) {
        self.groups[closed.group].learn_usage(closed.cost, event.used);
        let stalls = &mut self.engines[closed.engine].stalls;
        stalls.record_completion(closed.group, self.now_ms);
        self.learn_slowdown(closed, event.latency_ms);
    }

    /// Updates the engine's slowdown from the latency of an answer.
    ///
    /// An answer above the latency objective counts as slow even if the group's best run time is no lower: a dispatcher
    /// that started during an incident has seen no faster answer.
    fn learn_slowdown(&mut self, closed: &ClosedAttempt, latency_ms: f64) {
        let group = &mut self.groups[closed.group];
        let Some(slowdown_over_best) = group.learn_run_time(closed.cost, latency_ms) else {
            return;
        };
        let engine = &mut self.engines[closed.engine];
        if latency_ms > group.latency_objective_ms(closed.cost) {
            return self
                .slowdowns
                .record_slow_answer(engine, closed.lane, self.now_ms);
        }
        let slowdown = slowdown_over_best - group.tolerated_scatter();
        self.slowdowns
            .record_answer(engine, closed.lane, slowdown, self.now_ms);
    }

    /// Adapts the engine's concurrency limit to the outcome of an attempt.
    fn adapt_limit(&mut self, closed: &ClosedAttempt, event: &AttemptEnded, objective_ms: f64) {
        let share = self.peer_load.pool_share(self.now_ms);
        let engine = &mut self.engines[closed.engine];
        let result = AttemptResult {
            lane: closed.lane,
            outcome: event.outcome,
            sent_ms: closed.attempt.sent_ms,
            latency_ms: event.latency_ms,
            objective_ms,
        };
        engine
            .limit
            .adapt(&result, engine.cores, share, self.now_ms);
    }

    /// Records an attempt's outcome in its engine's health, or as a slow answer if the engine may be healthy but slow.
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

    /// Returns whether an attempt that timed out may be slow on a healthy engine: the engine has sent a signal since
    /// the submission, or no note was due yet. The cause is then a busy engine, or a load that the attempt waits for.
    fn may_be_slow(&self, attempt: &Attempt) -> bool {
        let note_interval_ms = self.settings.engine_features.note_interval_ms;
        self.engines[attempt.engine].health.last_signal_ms() > attempt.sent_ms
            || self.now_ms - attempt.sent_ms < note_interval_ms
    }

    /// Handles an engine's note on a running attempt.
    pub fn on_progress_note(&mut self, event: &ProgressNote) {
        let Some(query) = self.queries.find(event.query_id) else {
            return;
        };
        let Some(attempt) = self.queries[query].attempts.in_flight_mut(event.attempt) else {
            return;
        };
        attempt.progress.record_note(self.now_ms);
        let engine = attempt.engine;
        self.engines[engine].health.record_signal(self.now_ms);
        match event.kind {
            NoteKind::Progress => self.record_progress(query, event),
            NoteKind::Waiting => {
                attempt.progress.begin_wait();
                if event.amount == WAIT_FOR_LOAD_AMOUNT {
                    self.lock_tables(query, engine);
                }
            }
            NoteKind::Spilling => {}
        }
    }

    /// Records that a load locks the tables of a query on an engine. The lock expires [`LOCK_NOTE_INTERVALS`] note
    /// intervals from now, so that it lasts until the next note arrives.
    fn lock_tables(&mut self, query: QueryIndex, engine: EngineIndex) {
        let lock_ms = LOCK_NOTE_INTERVALS * self.settings.engine_features.note_interval_ms;
        let lock = TableLock {
            tables: self.queries[query].tables,
            until_ms: self.now_ms + lock_ms,
        };
        self.engines[engine].load.lock(lock);
    }

    /// Records the fraction done, and updates the group and the engine's slowdown from the run time that it predicts.
    fn record_progress(&mut self, query: QueryIndex, event: &ProgressNote) {
        let query = &mut self.queries[query];
        let Some(attempt) = query.attempts.in_flight_mut(event.attempt) else {
            return;
        };
        let progress = &mut attempt.progress;
        let is_first_prediction = progress.run_time_ms().is_none();
        progress.record(self.now_ms, event.amount.clamp(0.0, 1.0));
        let run_time_ms = progress.run_time_ms().unwrap_or(0.0);
        let group = &mut self.groups[query.group];
        let slowdown_over_best = group.learn_progress(query.cost, run_time_ms);
        // Only the first prediction updates the engine's slowdown: if the query has a bad plan, later predictions say
        // nothing new about the engine.
        if let Some(slowdown_over_best) = slowdown_over_best.filter(|_| is_first_prediction) {
            let engine = &mut self.engines[attempt.engine];
            self.slowdowns
                .record_progress(engine, Lane::Low, slowdown_over_best, self.now_ms);
        }
    }

    /// Handles a client that disconnected: cancels its query's attempt and sends no answer.
    pub fn on_client_disconnected(&mut self, query_id: u64, out: &mut dyn DecisionSink) {
        if let Some(query) = self.queries.find(query_id) {
            self.end_query(query, out);
        }
    }

    /// Ends a query without a result: rejects it if its client can safely retry, fails it otherwise.
    pub(super) fn reject_or_fail(
        &mut self,
        index: QueryIndex,
        reason: EndReason,
        out: &mut dyn DecisionSink,
    ) {
        let query = &self.queries[index];
        if query.is_over {
            return;
        }
        out.report_end_reason(query.id, reason);
        let has_no_effect_in_flight = query.is_read_only() || query.in_flight().is_none();
        if has_no_effect_in_flight && self.may_repeat(index, None) {
            let max_ms = self.settings.max_retry_after_ms;
            let level = &self.level;
            let retry_after_ms = level.retry_after_ms(RETRY_AFTER_MS, max_ms, &mut self.rng);
            out.reject(query.id, retry_after_ms);
        } else {
            out.fail(query.id);
        }
        self.end_query(index, out);
    }

    /// Ends a query: cancels its attempt in flight and removes it once no attempt is in flight.
    fn end_query(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        self.queries[query].is_over = true;
        self.cancel_in_flight(query, out);
        self.remove_if_done(query, out);
    }

    /// Cancels a query's attempt in flight, at most once and only if the platform supports cancellation.
    pub(super) fn cancel_in_flight(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        let query = &mut self.queries[query];
        let Some(attempt_number) = query.in_flight() else {
            return;
        };
        if self.settings.capabilities.cancellation && query.attempts.set_cancelled(attempt_number) {
            out.cancel(query.id, attempt_number);
        }
    }

    /// Removes a query that is over and has no attempt in flight, and places the next query of its ordering key.
    fn remove_if_done(&mut self, index: QueryIndex, out: &mut dyn DecisionSink) {
        if !self.queries[index].is_done() {
            return;
        }
        let query = self.queries.remove(index);
        let Some(key) = query.key else {
            return;
        };
        self.key_queues.remove(key, index, self.now_ms);
        let Some(next) = self.key_queues.first(key) else {
            return;
        };
        if self.queries[next].attempts.count() == 0 && self.is_first_of_key(next) {
            self.place(next, out);
        }
    }
}
