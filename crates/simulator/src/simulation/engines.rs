//! Engines: completions, and what happens to one that is sent too much while it warms up.

use super::events::Event;
use super::{engine_name, ColdArrival, Simulation, EPOCH_MS};
use tansymux::events::Outcome;
use tansymux_testbed::record::EventKind;

/// How long an engine that fell is down (ms).
const FALL_MS: f64 = 3000.0;

impl Simulation<'_> {
    pub(super) fn is_down(&self, engine: usize) -> bool {
        self.now_ms < self.down_until_ms[engine]
    }

    /// Schedules an engine's next completion; one that was scheduled before no longer counts.
    pub(super) fn schedule_completion(&mut self, engine: usize) {
        let now_ms = self.now_ms;
        if let Some(next_ms) = self.engines[engine].next_completion_ms(now_ms) {
            let generation = self.engines[engine].generation;
            let completion = Event::EngineCompletion { engine, generation };
            self.schedule(next_ms.max(now_ms), completion);
        }
    }

    pub(super) fn on_engine_completion(&mut self, engine: usize) {
        for attempt_id in self.engines[engine].take_completed(self.now_ms) {
            self.engines[engine].remove(self.now_ms, attempt_id);
            self.complete_attempt(engine, attempt_id);
        }
        self.schedule_completion(engine);
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
        if self.experiment.class[query.class].changes() {
            self.record(|| EventKind::Applied {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
        }
        self.record(|| EventKind::Ended {
            engine: engine_name(engine),
            id: query_id.to_string(),
            reply: "DONE".into(),
            ran: true,
        });
        if !self.is_cut(dispatcher, engine) {
            let latency_ms = self.draw_latency_ms();
            let end = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::Completed,
            };
            self.schedule(self.now_ms + latency_ms, end);
        }
    }

    /// What an engine that warms up was sent in a span, against what makes it fall. One query alone never does.
    pub(super) fn check_cold_load(&mut self, engine: usize, work_ms: f64) {
        let cold = self.experiment.cold.unwrap_or_default();
        let now_ms = self.now_ms;
        if now_ms - self.engines[engine].started_ms >= cold.warm_s() * 1000.0 {
            return;
        }
        let arrivals = &mut self.cold_arrivals[engine];
        arrivals.push(ColdArrival {
            at_ms: now_ms,
            work_ms,
        });
        arrivals.retain(|arrival| now_ms - arrival.at_ms < cold.span_ms());
        let sent_ms: f64 = arrivals.iter().map(|arrival| arrival.work_ms).sum();
        let bearable_ms =
            cold.multiple() * cold.from() * self.engines[engine].cores * cold.span_ms();
        if arrivals.len() < 2 {
            return;
        }
        self.outcomes.max_cold_load = self.outcomes.max_cold_load.max(sent_ms / bearable_ms);
        if sent_ms > bearable_ms {
            self.fall(engine);
        }
    }

    /// An engine ends under its load, and comes back cold.
    fn fall(&mut self, engine: usize) {
        self.outcomes.engines_fallen += 1;
        let back_ms = self.now_ms + FALL_MS;
        self.down_until_ms[engine] = back_ms;
        self.engines[engine].started_ms = back_ms;
        self.cold_arrivals[engine].clear();
        for attempt_id in self.engines[engine].drop_all(self.now_ms) {
            let latency_ms = self.draw_latency_ms();
            let attempt = self.attempts.get(&attempt_id);
            let query_id = attempt.map_or(0, |attempt| attempt.query_id);
            self.record(|| EventKind::GivenUp {
                engine: engine_name(engine),
                id: query_id.to_string(),
            });
            let reset = Event::AttemptEnd {
                attempt: attempt_id,
                outcome: Outcome::Reset,
            };
            self.schedule(self.now_ms + latency_ms, reset);
        }
        self.announce_start(engine, EPOCH_MS + self.now_ms + FALL_MS);
    }
}
