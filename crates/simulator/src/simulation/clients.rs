//! Clients: send queries at the rates of their classes, and receive answers.

use super::events::Event;
use super::inbox::{Incoming, IncomingQuery};
use super::{Query, Simulation};
use crate::schema::Class;
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use tansymux_testbed::record::EventKind;

/// Time by which a query's deadline precedes its client's timeout (ms).
const ANSWER_MARGIN_MS: f64 = 10.0;

impl Simulation<'_> {
    /// Sends a query of a class to a random dispatcher, and schedules the arrival of the next query.
    pub(super) fn on_query_arrival(&mut self, class_number: usize) {
        let class = &self.environment.experiment.class[class_number];
        let gap_ms = Exp::new(class.rate() / 1000.0)
            .expect("the rate is above 0")
            .sample(&mut self.environment.rng);
        let next = Event::QueryArrival {
            class: class_number,
        };
        self.schedule_in(gap_ms, next);
        let work_ms = self.draw_log_normal(class.work_ms().ln(), class.scatter());
        let estimate_error = self.draw_log_normal(0.0, class.estimate_scatter());
        let dispatcher = self.environment.rng.random_range(0..self.dispatchers.len());
        let query = Query {
            dispatcher,
            class: class_number,
            arrived_ms: self.environment.now_ms,
            work_ms,
            attempts: 0,
            answered: false,
        };
        let id = self.add_query(query, class);
        let clock_ms = self.environment.controller_clock_ms();
        self.dispatchers[dispatcher].push(Incoming::Query(IncomingQuery {
            id,
            class: class_number,
            estimated_cost_ms: work_ms * estimate_error,
            deadline_ms: clock_ms + class.wait_ms() - ANSWER_MARGIN_MS,
        }));
        self.run_round(dispatcher);
    }

    fn draw_log_normal(&mut self, mean_log: f64, log_deviation: f64) -> f64 {
        LogNormal::new(mean_log, log_deviation)
            .expect("the standard deviation is finite")
            .sample(&mut self.environment.rng)
    }

    /// Adds a query to the queries in flight and to the record. Returns the query's id.
    fn add_query(&mut self, query: Query, class: &Class) -> u64 {
        let id = self.next_query_id;
        self.next_query_id += 1;
        let group = self.groups[query.class].clone();
        self.queries.insert(id, query);
        self.results.record_query(class, self.environment.phase());
        let max_wait_ms = class.wait_ms();
        self.environment.record(|| EventKind::Asked {
            id: id.to_string(),
            class: group,
            max_wait_ms,
            key: None,
        });
        id
    }

    /// Delivers an answer to the client. A second answer to a query is only recorded, so that the checker reports it.
    pub(super) fn answer(&mut self, id: u64, status: u16, retry_after_ms: Option<f64>) {
        let query = self.queries.get_mut(&id).filter(|query| !query.answered);
        if let Some(query) = query {
            query.answered = true;
            let class = &self.environment.experiment.class[query.class];
            let latency_ms = self.environment.now_ms - query.arrived_ms;
            let phase = self.environment.phase();
            self.results.record_answer(class, status, latency_ms, phase);
        }
        self.environment.record(|| EventKind::Answered {
            id: id.to_string(),
            status,
            retry_after_ms,
        });
    }
}
