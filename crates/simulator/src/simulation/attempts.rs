//! The lifecycle of attempts: submission, arrival at the engine, progress notes, completion, cancellation and deadline.

use super::engines::{engine_id, engine_name, OUTAGE_MS};
use super::events::Event;
use super::inbox::Incoming;
use super::{Attempt, Simulation, NOTE_INTERVAL_MS};
use tansymux::events::{AttemptEnded, NoteKind, Outcome, ProgressNote};
use tansymux_testbed::record::EventKind;

/// Maximum progress that an engine reports for a running attempt.
const MAX_REPORTED_PROGRESS: f64 = 0.9999;

impl Simulation<'_> {
    /// Sends an attempt from a dispatcher to an engine. If the engine is cut off and the dispatcher does not yet know
    /// that its connections are dead, the attempt gets no answer before its deadline.
    pub(super) fn submit(
        &mut self,
        dispatcher: usize,
        query_id: u64,
        engine: usize,
        deadline_ms: f64,
    ) {
        let Some(attempt) = self.add_attempt(query_id, engine) else {
            return;
        };
        let refused = Event::AttemptEnd {
            attempt,
            outcome: Outcome::NoConnection,
        };
        let is_down = self.is_down(engine);
        if !is_down && !self.is_cut(dispatcher, engine) {
            self.dispatchers[dispatcher].set_known_dead(engine, false);
            let latency_ms = self.environment.draw_latency_ms();
            self.schedule_in(latency_ms, Event::AttemptArrival { attempt });
        } else if is_down {
            let latency_ms = self.environment.draw_latency_ms();
            self.schedule_in(latency_ms, refused);
        } else if self.dispatchers[dispatcher].knows_dead(engine) {
            // The dead connections were closed, and a new connection cannot be established.
            let timeout_ms = self.environment.network().connect_timeout_ms();
            self.schedule_in(timeout_ms, refused);
        }
        self.environment
            .schedule(deadline_ms, Event::AttemptDeadline { attempt });
    }

    /// Adds the next attempt of a query. Returns the attempt's id; `None` if the query is no longer in flight.
    fn add_attempt(&mut self, query_id: u64, engine: usize) -> Option<u64> {
        let query = self.queries.get_mut(&query_id)?;
        let number = query.attempts;
        query.attempts += 1;
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let attempt = Attempt {
            query_id,
            number,
            engine,
            sent_ms: self.environment.now_ms,
            running: false,
            abandoned: false,
        };
        self.attempts.insert(attempt_id, attempt);
        Some(attempt_id)
    }

    pub(super) fn on_attempt_deadline(&mut self, attempt: u64) {
        let is_open = self
            .attempts
            .get(&attempt)
            .is_some_and(|attempt| !attempt.abandoned);
        if is_open {
            self.abandon_attempt(attempt, Outcome::Timeout, 0.0);
        }
    }

    /// Abandons an attempt, at its deadline or by cancellation. The dispatcher's admission controller gets the outcome
    /// after `delay_ms`.
    pub(super) fn abandon_attempt(&mut self, attempt_id: u64, outcome: Outcome, delay_ms: f64) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else {
            return;
        };
        attempt.abandoned = true;
        let engine = attempt.engine;
        let running = attempt.running;
        let query_id = attempt.query_id;
        let now_ms = self.environment.now_ms;
        if running && self.engines.remove(engine, attempt_id, now_ms) {
            self.engines
                .schedule_completion(engine, &mut self.environment);
            self.environment.record(|| EventKind::GivenUp {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
        } else if !running {
            let query = self.queries.get(&query_id);
            let dispatcher = query.map_or(0, |query| query.dispatcher);
            if self.is_cut(dispatcher, engine) {
                self.dispatchers[dispatcher].set_known_dead(engine, true);
            }
        }
        let end = Event::AttemptEnd {
            attempt: attempt_id,
            outcome,
        };
        self.schedule_in(delay_ms, end);
    }

    /// Handles the end of an attempt at its dispatcher.
    pub(super) fn on_attempt_end(&mut self, attempt_id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        let query_id = attempt.query_id;
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let dispatcher = query.dispatcher;
        if outcome == Outcome::Completed {
            self.answer(query_id, 200, None);
        }
        let clock_ms = self.environment.controller_clock_ms();
        let observer = &mut self.dispatchers[dispatcher];
        observer.observe_engine(attempt.engine, outcome, clock_ms);
        observer.push(Incoming::AttemptEnded(AttemptEnded {
            query_id,
            attempt: attempt.number,
            outcome,
            engine_id: engine_id(attempt.engine),
            answer_delivered: outcome == Outcome::Completed,
            latency_ms: self.environment.now_ms - attempt.sent_ms,
            used: None,
        }));
        self.run_round(dispatcher);
        // A query can be removed once it is answered and its last attempt has ended.
        let is_over = self
            .queries
            .get(&query_id)
            .is_some_and(|query| query.answered && query.attempts == attempt.number + 1);
        if is_over {
            self.queries.remove(&query_id);
        }
    }

    /// Handles the arrival of an attempt at its engine, which may have failed or been cut off in the meantime.
    pub(super) fn on_attempt_arrival(&mut self, attempt_id: u64) {
        let attempt = self.attempts.get(&attempt_id);
        let Some(attempt) = attempt.filter(|attempt| !attempt.abandoned) else {
            return;
        };
        let engine = attempt.engine;
        let query_id = attempt.query_id;
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let work_ms = query.work_ms;
        let threads = self.environment.experiment.class[query.class].threads();
        let is_cut = self.is_cut(query.dispatcher, engine);
        if self.is_down(engine) {
            let refused = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::NoConnection,
            };
            return self.schedule_in(0.0, refused);
        }
        if is_cut {
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.running = true;
        }
        self.environment.record(|| EventKind::Arrived {
            engine: engine_name(engine),
            id: query_id.to_string(),
            work_ms,
        });
        let now_ms = self.environment.now_ms;
        self.engines
            .add(engine, attempt_id, work_ms, threads, now_ms);
        self.schedule_note(attempt_id);
        self.engines
            .schedule_completion(engine, &mut self.environment);
        self.check_cold_load(engine, work_ms);
    }

    fn schedule_note(&mut self, attempt: u64) {
        self.schedule_in(NOTE_INTERVAL_MS, Event::ProgressNote { attempt });
    }

    /// Sends a progress note of an attempt to its dispatcher, and schedules the next note.
    pub(super) fn on_progress_note(&mut self, attempt_id: u64) {
        let attempt = self.attempts.get(&attempt_id);
        let Some(attempt) = attempt.filter(|attempt| attempt.running && !attempt.abandoned) else {
            return;
        };
        let engine = attempt.engine;
        let number = attempt.number;
        let query_id = attempt.query_id;
        let now_ms = self.environment.now_ms;
        let Some(fraction) = self.engines.done_fraction(engine, attempt_id, now_ms) else {
            return;
        };
        self.schedule_note(attempt_id);
        let Some(dispatcher) = self.queries.get(&query_id).map(|query| query.dispatcher) else {
            return;
        };
        if self.is_cut(dispatcher, engine) {
            return;
        }
        let clock_ms = self.environment.controller_clock_ms();
        let observer = &mut self.dispatchers[dispatcher];
        observer.observe_engine(engine, Outcome::Completed, clock_ms);
        observer.push(Incoming::Progress(ProgressNote {
            query_id,
            attempt: number,
            kind: NoteKind::Progress,
            amount: fraction.min(MAX_REPORTED_PROGRESS),
        }));
        self.run_round(dispatcher);
    }

    /// Completes the attempts on an engine whose work is done.
    pub(super) fn on_engine_completion(&mut self, engine: usize) {
        let now_ms = self.environment.now_ms;
        for attempt_id in self.engines.take_completed(engine, now_ms) {
            self.complete_attempt(engine, attempt_id);
        }
        self.engines
            .schedule_completion(engine, &mut self.environment);
    }

    fn complete_attempt(&mut self, engine: usize, attempt_id: u64) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        let query_id = attempt.query_id;
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let dispatcher = query.dispatcher;
        if self.environment.experiment.class[query.class].changes() {
            self.environment.record(|| EventKind::Applied {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
        }
        self.environment.record(|| EventKind::Ended {
            engine: engine_name(engine),
            id: query_id.to_string(),
            reply: "DONE".into(),
            ran: true,
        });
        if !self.is_cut(dispatcher, engine) {
            let latency_ms = self.environment.draw_latency_ms();
            let end = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::Completed,
            };
            self.schedule_in(latency_ms, end);
        }
    }

    /// Makes an engine that is warming up fail if it received more work than it sustains.
    fn check_cold_load(&mut self, engine: usize, work_ms: f64) {
        let load = self
            .engines
            .record_arrival(engine, work_ms, &self.environment);
        if let Some(load) = load {
            self.results.record_cold_load(load);
            if load > 1.0 {
                self.fail_engine(engine);
            }
        }
    }

    /// Makes an engine fail under its load, and schedules its cold restart.
    fn fail_engine(&mut self, engine: usize) {
        self.results.record_engine_failure();
        let now_ms = self.environment.now_ms;
        for attempt_id in self.engines.fail(engine, now_ms) {
            let latency_ms = self.environment.draw_latency_ms();
            let attempt = self.attempts.get(&attempt_id);
            let query_id = attempt.map_or(0, |attempt| attempt.query_id);
            self.environment.record(|| EventKind::GivenUp {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
            let reset = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::Reset,
            };
            self.schedule_in(latency_ms, reset);
        }
        let restart_ms = self.environment.controller_clock_ms() + OUTAGE_MS;
        self.publish_engine_start(engine, restart_ms);
    }
}
