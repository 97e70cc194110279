//! Attempts: on their way to an engine, cancelled or past their deadline, and on their way back.

use super::events::Event;
use super::inbox::Incoming;
use super::{engine_id, engine_name, Attempt, Simulation, NOTE_INTERVAL_MS};
use tansymux::events::{AttemptEnded, NoteKind, Outcome, ProgressNote};
use tansymux_testbed::record::EventKind;

/// The most progress that an engine reports of an attempt that still runs.
const MAX_REPORTED_PROGRESS: f64 = 0.9999;

impl Simulation<'_> {
    /// A dispatcher sends an attempt. What is written to a connection that nobody knows to be dead gets no answer.
    pub(super) fn submit(
        &mut self,
        dispatcher: usize,
        query_id: u64,
        engine: usize,
        deadline_ms: f64,
    ) {
        let Some(query) = self.queries.get_mut(&query_id) else {
            return;
        };
        let number = query.attempts;
        query.attempts += 1;
        let attempt = self.next_attempt_id;
        self.next_attempt_id += 1;
        self.attempts.insert(
            attempt,
            Attempt {
                query_id,
                number,
                engine,
                sent_ms: self.now_ms,
                running: false,
                cancelled: false,
            },
        );
        let refused = Event::AttemptEnd {
            attempt,
            outcome: Outcome::NoConnection,
        };
        let is_down = self.is_down(engine);
        if !is_down && !self.is_cut(dispatcher, engine) {
            self.dispatchers[dispatcher].known_dead[engine] = false;
            let latency_ms = self.draw_latency_ms();
            self.schedule(self.now_ms + latency_ms, Event::AttemptArrival { attempt });
        } else if is_down {
            let latency_ms = self.draw_latency_ms();
            self.schedule(self.now_ms + latency_ms, refused);
        } else if self.dispatchers[dispatcher].known_dead[engine] {
            // Its connections were found dead, and new ones do not come up.
            let network = self.experiment.network.unwrap_or_default();
            self.schedule(self.now_ms + network.connect_timeout_ms(), refused);
        }
        self.schedule(deadline_ms, Event::AttemptDeadline { attempt });
    }

    pub(super) fn on_attempt_deadline(&mut self, attempt: u64) {
        let is_open = self
            .attempts
            .get(&attempt)
            .is_some_and(|attempt| !attempt.cancelled);
        if is_open {
            self.end_attempt(attempt, Outcome::Timeout, 0.0);
        }
    }

    /// A dispatcher stops waiting for an attempt; the decisions learn of it after `delay_ms`.
    pub(super) fn end_attempt(&mut self, attempt_id: u64, outcome: Outcome, delay_ms: f64) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else {
            return;
        };
        attempt.cancelled = true;
        let engine = attempt.engine;
        let running = attempt.running;
        let query_id = attempt.query_id;
        if running
            && self.engines[engine]
                .remove(self.now_ms, attempt_id)
                .is_some()
        {
            self.schedule_completion(engine);
            self.record(|| EventKind::GivenUp {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
        } else if !running {
            let query = self.queries.get(&query_id);
            let dispatcher = query.map_or(0, |query| query.dispatcher);
            let is_cut = self.is_cut(dispatcher, engine);
            self.dispatchers[dispatcher].known_dead[engine] |= is_cut;
        }
        let end = Event::AttemptEnd {
            attempt: attempt_id,
            outcome,
        };
        self.schedule(self.now_ms + delay_ms, end);
    }

    /// An attempt's end reaches its dispatcher.
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
        self.observe_engine(dispatcher, attempt.engine, outcome);
        self.inboxes[dispatcher].push(Incoming::AttemptEnded(AttemptEnded {
            query_id,
            attempt: attempt.number,
            outcome,
            engine_id: engine_id(attempt.engine),
            answer_delivered: outcome == Outcome::Completed,
            latency_ms: self.now_ms - attempt.sent_ms,
            used: None,
        }));
        self.run_round(dispatcher);
        // Nothing refers to it any more once it is answered and this was its last attempt.
        let is_over = self
            .queries
            .get(&query_id)
            .is_some_and(|query| query.answered && query.attempts == attempt.number + 1);
        if is_over {
            self.queries.remove(&query_id);
        }
    }

    /// An attempt reaches its engine, which may have fallen or been cut off while it was under way.
    pub(super) fn on_attempt_arrival(&mut self, attempt_id: u64) {
        let attempt = self.attempts.get(&attempt_id);
        let Some(attempt) = attempt.filter(|attempt| !attempt.cancelled) else {
            return;
        };
        let engine = attempt.engine;
        let query_id = attempt.query_id;
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let work_ms = query.work_ms;
        let threads = self.experiment.class[query.class].threads();
        let is_cut = self.is_cut(query.dispatcher, engine);
        if self.is_down(engine) {
            let refused = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::NoConnection,
            };
            return self.schedule(self.now_ms, refused);
        }
        if is_cut {
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.running = true;
        }
        self.record(|| EventKind::Arrived {
            engine: engine_name(engine),
            id: query_id.to_string(),
            work_ms,
        });
        self.engines[engine].add(self.now_ms, attempt_id, work_ms, threads);
        let note = Event::ProgressNote {
            attempt: attempt_id,
        };
        self.schedule(self.now_ms + NOTE_INTERVAL_MS, note);
        self.schedule_completion(engine);
        self.check_cold_load(engine, work_ms);
    }

    /// An engine reports an attempt's progress, and will report it again.
    pub(super) fn on_progress_note(&mut self, attempt_id: u64) {
        let attempt = self.attempts.get(&attempt_id);
        let Some(attempt) = attempt.filter(|attempt| attempt.running && !attempt.cancelled) else {
            return;
        };
        let engine = attempt.engine;
        let number = attempt.number;
        let query_id = attempt.query_id;
        self.engines[engine].advance(self.now_ms);
        let Some(fraction) = self.engines[engine].done_fraction(attempt_id) else {
            return;
        };
        let note = Event::ProgressNote {
            attempt: attempt_id,
        };
        self.schedule(self.now_ms + NOTE_INTERVAL_MS, note);
        let Some(dispatcher) = self.queries.get(&query_id).map(|query| query.dispatcher) else {
            return;
        };
        if !self.is_cut(dispatcher, engine) {
            self.observe_engine(dispatcher, engine, Outcome::Completed);
            self.inboxes[dispatcher].push(Incoming::Progress(ProgressNote {
                query_id,
                attempt: number,
                kind: NoteKind::Progress,
                amount: fraction.min(MAX_REPORTED_PROGRESS),
            }));
            self.run_round(dispatcher);
        }
    }
}
