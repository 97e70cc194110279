//! Runs the rounds of dispatchers, and applies their decisions to attempts, answers, health checks and timers.

use super::engines::{engine_id, engine_index};
use super::environment::simulation_time_ms;
use super::events::Event;
use super::inbox::{Decision, Incoming};
use super::Simulation;
use tansymux::events::{EndpointState, HealthCheckEnded, Outcome};

/// Delay between the cancellation of an attempt and the report of its end to the admission controller, as in the real
/// dispatcher (ms).
const CANCEL_DELAY_MS: f64 = 40.0;
/// Minimum delay of a timer (ms).
const MIN_TIMER_MS: f64 = 1.0;

impl Simulation<'_> {
    pub(super) fn on_timer(&mut self, dispatcher: usize) {
        let now_ms = self.environment.now_ms;
        if self.dispatchers[dispatcher].take_due_timer(now_ms) {
            self.run_round(dispatcher);
        }
    }

    /// Runs a round of a dispatcher and applies its decisions.
    pub(super) fn run_round(&mut self, dispatcher: usize) {
        let clock_ms = self.environment.controller_clock_ms();
        let decisions =
            self.dispatchers[dispatcher].run_round(clock_ms, &self.groups, &self.endpoints);
        for decision in decisions {
            self.apply(dispatcher, &decision);
        }
    }

    fn apply(&mut self, dispatcher: usize, decision: &Decision) {
        match *decision {
            Decision::Submit {
                query_id,
                engine_id,
                deadline_ms,
            } => {
                let engine = engine_index(engine_id);
                let deadline_ms = simulation_time_ms(deadline_ms);
                self.submit(dispatcher, query_id, engine, deadline_ms);
            }
            Decision::Reject {
                query_id,
                retry_after_ms,
            } => self.answer(query_id, 429, Some(retry_after_ms)),
            Decision::Fail { query_id } => self.answer(query_id, 500, None),
            Decision::Cancel { query_id, attempt } => self.cancel(query_id, attempt),
            Decision::CheckHealth { engine_id } => {
                self.check_health(dispatcher, engine_index(engine_id));
            }
            Decision::SetTimer { delay_ms } => {
                let at_ms = self.environment.now_ms + delay_ms.max(MIN_TIMER_MS);
                if self.dispatchers[dispatcher].set_timer(at_ms) {
                    self.environment
                        .schedule(at_ms, Event::DispatcherTimer { dispatcher });
                }
            }
        }
    }

    fn cancel(&mut self, query_id: u64, number: usize) {
        let found = self.attempts.iter().find(|(_, attempt)| {
            attempt.query_id == query_id && attempt.number == number && !attempt.abandoned
        });
        if let Some(attempt) = found.map(|(attempt, _)| *attempt) {
            self.abandon_attempt(attempt, Outcome::Cancelled, CANCEL_DELAY_MS);
        }
    }

    fn check_health(&mut self, dispatcher: usize, engine: usize) {
        let is_unreachable = self.is_cut(dispatcher, engine) || self.is_down(engine);
        let (delay_ms, outcome) = if is_unreachable {
            let timeout_ms = self.environment.network().connect_timeout_ms();
            (timeout_ms, Outcome::Timeout)
        } else {
            let round_trip_ms = 2.0 * self.environment.draw_latency_ms();
            (round_trip_ms, Outcome::Completed)
        };
        let end = Event::HealthCheckEnd {
            dispatcher,
            engine,
            outcome,
        };
        self.schedule_in(delay_ms, end);
    }

    pub(super) fn on_health_check_end(
        &mut self,
        dispatcher: usize,
        engine: usize,
        outcome: Outcome,
    ) {
        let clock_ms = self.environment.controller_clock_ms();
        let observer = &mut self.dispatchers[dispatcher];
        observer.observe_engine(engine, outcome, clock_ms);
        observer.push(Incoming::HealthCheckEnded(HealthCheckEnded {
            engine_id: engine_id(engine),
            outcome,
        }));
        self.run_round(dispatcher);
    }

    /// Evaluates the health of zones at all dispatchers, and starts the health checks that they request.
    pub(super) fn evaluate_zones(&mut self) {
        let clock_ms = self.environment.controller_clock_ms();
        for dispatcher in 0..self.dispatchers.len() {
            let engine_to_check =
                self.dispatchers[dispatcher].evaluate_zones(&self.zones, &self.groups, clock_ms);
            if let Some(engine_id) = engine_to_check {
                self.check_health(dispatcher, engine_index(engine_id));
            }
        }
    }

    /// Delivers the current endpoint list to a dispatcher.
    pub(super) fn deliver_endpoint_list(&mut self, dispatcher: usize) {
        let engines: Vec<tansymux_zone_routing::Engine> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(engine, endpoint)| tansymux_zone_routing::Engine {
                engine_id: endpoint.engine_id,
                zone: endpoint.zone.clone(),
                cores: self.engines.cores(engine),
                is_ready: endpoint.state == EndpointState::Ready,
            })
            .collect();
        let clock_ms = self.environment.controller_clock_ms();
        self.dispatchers[dispatcher].update_endpoints(&engines, clock_ms);
        self.run_round(dispatcher);
    }
}
