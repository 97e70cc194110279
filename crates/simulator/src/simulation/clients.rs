//! Clients: queries by the classes' rates, and what becomes of their answers.

use super::events::Event;
use super::inbox::{Incoming, IncomingQuery};
use super::{Query, Simulation, EPOCH_MS};
use crate::schema::Class;
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use tansymux_testbed::record::EventKind;

/// How much before the client's patience ends a dispatcher must have answered (ms).
const ANSWER_MARGIN_MS: f64 = 10.0;
/// The phase after the last fault that is told apart from the rest (s).
const RECOVERY_PHASE_S: f64 = 60.0;

/// What an answer is worth: all of the class's worth in time, later a third.
fn value_of(class: &Class, latency_ms: f64) -> f64 {
    if latency_ms <= class.target_ms() {
        class.worth()
    } else {
        class.worth() / 3.0
    }
}

impl Simulation<'_> {
    /// A query of a class arrives, and the next one is drawn.
    pub(super) fn on_query_arrival(&mut self, class_number: usize) {
        let class = &self.experiment.class[class_number];
        let gap_ms = Exp::new(class.rate() / 1000.0)
            .expect("a rate above 0")
            .sample(&mut self.rng);
        let next = Event::QueryArrival {
            class: class_number,
        };
        self.schedule(self.now_ms + gap_ms, next);
        let work_ms = LogNormal::new(class.work_ms().ln(), class.scatter())
            .expect("a finite spread")
            .sample(&mut self.rng);
        let estimate_error = LogNormal::new(0.0, class.estimate_scatter())
            .expect("a finite spread")
            .sample(&mut self.rng);
        let dispatcher = self.rng.random_range(0..self.dispatchers.len());
        let id = self.next_query_id;
        self.next_query_id += 1;
        let query = Query {
            dispatcher,
            class: class_number,
            arrived_ms: self.now_ms,
            work_ms,
            attempts: 0,
            answered: false,
        };
        self.queries.insert(id, query);
        self.outcomes.asked += 1;
        let phase = self.phase();
        self.values[phase].max += class.worth();
        self.sample.max_value += class.worth();
        let group = self.groups[class_number].clone();
        let max_wait_ms = class.wait_ms();
        self.record(|| EventKind::Asked {
            id: id.to_string(),
            class: group,
            max_wait_ms,
            key: None,
        });
        self.inboxes[dispatcher].push(Incoming::Query(IncomingQuery {
            id,
            class: class_number,
            estimated_cost_ms: work_ms * estimate_error,
            deadline_ms: EPOCH_MS + self.now_ms + max_wait_ms - ANSWER_MARGIN_MS,
        }));
        self.run_round(dispatcher);
    }

    /// 0 before the first fault, 1 during faults, 2 for a minute after the last one, then 3.
    pub(super) fn phase(&self) -> usize {
        let now_s = self.now_ms / 1000.0;
        let faults = &self.experiment.fault;
        let first_s = faults
            .iter()
            .map(|fault| fault.begins_s())
            .fold(f64::INFINITY, f64::min);
        let last_s = faults
            .iter()
            .map(|fault| fault.ends_s())
            .fold(f64::NEG_INFINITY, f64::max);
        if now_s < first_s {
            0
        } else if now_s < last_s {
            1
        } else if now_s < last_s + RECOVERY_PHASE_S {
            2
        } else {
            3
        }
    }

    /// A client gets an answer. A second one changes nothing but the record, where the checker finds it.
    pub(super) fn answer(&mut self, id: u64, status: u16, retry_after_ms: Option<f64>) {
        let query = self.queries.get_mut(&id).filter(|query| !query.answered);
        if let Some(query) = query {
            query.answered = true;
            let class = &self.experiment.class[query.class];
            let latency_ms = self.now_ms - query.arrived_ms;
            self.count_answer(class, status, latency_ms);
        }
        self.record(|| EventKind::Answered {
            id: id.to_string(),
            status,
            retry_after_ms,
        });
    }

    fn count_answer(&mut self, class: &Class, status: u16, latency_ms: f64) {
        match status {
            200 if latency_ms <= class.target_ms() => self.outcomes.in_time += 1,
            200 => self.outcomes.late += 1,
            429 => {
                self.outcomes.rejected += 1;
                self.sample.rejected += 1;
            }
            _ => self.outcomes.failed += 1,
        }
        if status != 200 {
            return;
        }
        let value = value_of(class, latency_ms);
        let phase = self.phase();
        self.values[phase].got += value;
        self.sample.value += value;
        let is_fast = class.threads() <= 1.0 && !class.changes();
        if is_fast {
            let _ = self.fast_latencies_ms.record(latency_ms.max(1.0) as u64);
        }
    }
}
