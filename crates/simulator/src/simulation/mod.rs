//! Simulates a pool in virtual time by discrete events. Dispatchers run the real admission controller, called in the
//! same way as in the real dispatcher.
//!
//! Start reading at [`run`], then at `Simulation::handle`.

mod attempts;
mod clients;
mod dispatcher;
mod engines;
mod environment;
mod events;
mod faults;
mod inbox;
mod results;
mod rounds;
mod settings;

pub use results::{Outcomes, Sample};

use crate::schema::{fault, Experiment};
use dispatcher::Dispatcher;
use engines::{engine_id, engine_name, EnginePool};
use environment::Environment;
use events::{Event, FaultEdge};
use faults::ActiveFaults;
use inbox::Endpoint;
use rand::RngExt;
use results::Results;
use std::collections::HashMap;
use std::time::Instant;
use tansymux::events::EndpointState;
use tansymux_testbed::record::{EventKind, Status};

/// Interval between progress notes of an attempt (ms).
const NOTE_INTERVAL_MS: f64 = 100.0;
/// Interval between evaluations of the zones' health (ms).
const ZONE_CHECK_INTERVAL_MS: f64 = 100.0;
/// Interval between samples (ms).
const SAMPLE_INTERVAL_MS: f64 = 250.0;
/// Time for which a run continues after the last arrival, so that all queries are answered (ms).
const DRAIN_MS: f64 = 6000.0;

/// A query, kept from its arrival until it is answered and its last attempt has ended.
struct Query {
    dispatcher: usize,
    class: usize,
    arrived_ms: f64,
    work_ms: f64,
    attempts: usize,
    answered: bool,
}

/// An attempt in flight.
struct Attempt {
    query_id: u64,
    number: usize,
    engine: usize,
    sent_ms: f64,
    /// Whether the attempt has arrived at its engine.
    running: bool,
    /// Whether the dispatcher has abandoned the attempt, at its deadline or by cancellation.
    abandoned: bool,
}

/// A run of one variant with one seed.
struct Simulation<'a> {
    environment: Environment<'a>,
    /// Whether the endpoint list follows faults immediately.
    ideal: bool,
    zones: Vec<String>,
    groups: Vec<String>,
    engines: EnginePool,
    dispatchers: Vec<Dispatcher>,
    queries: HashMap<u64, Query>,
    attempts: HashMap<u64, Attempt>,
    next_query_id: u64,
    next_attempt_id: u64,
    faults: ActiveFaults<'a>,
    /// The endpoint list, in the order of the engines.
    endpoints: Vec<Endpoint>,
    results: Results,
}

/// Runs one seed of one variant.
pub fn run(experiment: &Experiment, variant: usize, seed: u64) -> Outcomes {
    let started = Instant::now();
    let mut simulation = Simulation::new(experiment, variant, seed);
    simulation.initialize();
    let end_ms = experiment.seconds() * 1000.0;
    while let Some(event) = simulation.environment.next_event(end_ms + DRAIN_MS) {
        simulation.handle(event, end_ms);
    }
    let record = simulation.environment.take_record();
    let elapsed_s = started.elapsed().as_secs_f64();
    simulation.results.finish(experiment, record, elapsed_s)
}

/// The endpoint list at the beginning of a run: all engines are ready, and none has a start time.
fn initial_endpoints(zones: &[String], engines: &EnginePool) -> Vec<Endpoint> {
    (0..engines.len())
        .map(|engine| Endpoint {
            engine_id: engine_id(engine),
            zone: zones[engines.zone(engine)].clone(),
            state: EndpointState::Ready,
            started_ms: None,
        })
        .collect()
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, variant: usize, seed: u64) -> Self {
        let zones: Vec<String> = experiment
            .hall
            .iter()
            .map(|zone| zone.name().to_owned())
            .collect();
        let groups = experiment
            .class
            .iter()
            .map(|class| class.name().to_owned())
            .collect();
        let engines = EnginePool::new(experiment);
        let arm = &experiment.arm[variant];
        Simulation {
            environment: Environment::new(experiment, seed),
            ideal: arm.ideal(),
            dispatchers: dispatcher::start(experiment, arm, &zones, engines.len(), seed),
            endpoints: initial_endpoints(&zones, &engines),
            zones,
            groups,
            engines,
            queries: HashMap::new(),
            attempts: HashMap::new(),
            next_query_id: 1,
            next_attempt_id: 1,
            faults: ActiveFaults::new(experiment),
            results: Results::new(arm.name(), seed),
        }
    }

    /// Schedules an event after a delay.
    fn schedule_in(&mut self, delay_ms: f64, event: Event) {
        let at_ms = self.environment.now_ms + delay_ms;
        self.environment.schedule(at_ms, event);
    }

    /// Delivers the endpoint list to all dispatchers, and schedules the first recurring events and all faults.
    fn initialize(&mut self) {
        for engine in 0..self.engines.len() {
            let zone = self.zones[self.engines.zone(engine)].clone();
            self.environment.record(|| EventKind::Listed {
                engine: engine_name(engine),
                status: Status::Ready,
                zone,
                kind: "std".into(),
                cell: 0,
            });
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.deliver_endpoint_list(dispatcher);
        }
        let experiment = self.environment.experiment;
        for class in 0..experiment.class.len() {
            self.environment
                .schedule(0.0, Event::QueryArrival { class });
        }
        for (fault, times) in experiment.fault.iter().enumerate() {
            for (at_s, edge) in [
                (times.begins_s(), FaultEdge::Begin),
                (times.ends_s(), FaultEdge::End),
            ] {
                self.environment
                    .schedule(at_s * 1000.0, Event::Fault { fault, edge });
            }
        }
        self.environment
            .schedule(ZONE_CHECK_INTERVAL_MS, Event::ZoneCheck);
        self.environment.schedule(SAMPLE_INTERVAL_MS, Event::Sample);
    }

    /// Handles an event. After `end_ms`, no queries arrive and no recurring events are scheduled.
    fn handle(&mut self, event: Event, end_ms: f64) {
        let is_before_end = self.environment.now_ms < end_ms;
        match event {
            Event::QueryArrival { class } => {
                if is_before_end {
                    self.on_query_arrival(class);
                }
            }
            Event::DispatcherTimer { dispatcher } => self.on_timer(dispatcher),
            Event::AttemptArrival { attempt } => self.on_attempt_arrival(attempt),
            Event::AttemptEnd { attempt, outcome } => self.on_attempt_end(attempt, outcome),
            Event::AttemptDeadline { attempt } => self.on_attempt_deadline(attempt),
            Event::ProgressNote { attempt } => self.on_progress_note(attempt),
            Event::EngineCompletion { engine, generation } => {
                if self.engines.is_current(engine, generation) {
                    self.on_engine_completion(engine);
                }
            }
            Event::HealthCheckEnd {
                dispatcher,
                engine,
                outcome,
            } => self.on_health_check_end(dispatcher, engine, outcome),
            Event::Fault { fault, edge } => self.on_fault(fault, edge),
            Event::EndpointUpdate { dispatcher } => self.deliver_endpoint_list(dispatcher),
            Event::ZoneCheck => {
                self.evaluate_zones();
                if is_before_end {
                    self.schedule_in(ZONE_CHECK_INTERVAL_MS, Event::ZoneCheck);
                }
            }
            Event::Sample => {
                self.take_sample();
                if is_before_end {
                    self.schedule_in(SAMPLE_INTERVAL_MS, Event::Sample);
                }
            }
        }
    }

    /// Whether an engine is down after a failure.
    fn is_down(&self, engine: usize) -> bool {
        self.engines.is_down(engine, self.environment.now_ms)
    }

    /// Whether a dispatcher cannot reach an engine.
    fn is_cut(&self, dispatcher: usize, engine: usize) -> bool {
        let dispatcher_zone = &self.zones[self.dispatchers[dispatcher].zone()];
        let engine_zone = &self.zones[self.engines.zone(engine)];
        self.faults.is_cut(dispatcher_zone, engine_zone)
    }

    /// Handles the beginning or end of a fault.
    fn on_fault(&mut self, index: usize, edge: FaultEdge) {
        self.faults.apply(index, edge);
        let fault = &self.environment.experiment.fault[index];
        if self.ideal && fault.kind() == fault::Kind::Cut {
            self.publish_reachability();
        }
        let now_ms = self.environment.now_ms;
        for engine in 0..self.engines.len() {
            if self.zones[self.engines.zone(engine)] != fault.hall() {
                continue;
            }
            match (fault.kind(), edge) {
                (fault::Kind::Slow, edge) => {
                    let slowdown = match edge {
                        FaultEdge::Begin => fault.factor(),
                        FaultEdge::End => 1.0,
                    };
                    self.engines.set_slowdown(engine, slowdown, now_ms);
                    self.engines
                        .schedule_completion(engine, &mut self.environment);
                }
                (fault::Kind::Cut, FaultEdge::End) if fault.cold() => self.restart_cold(engine),
                (fault::Kind::Cut, _) => {}
            }
        }
    }

    fn restart_cold(&mut self, engine: usize) {
        self.engines.restart_cold(engine, self.environment.now_ms);
        let cores = self.engines.cores(engine);
        self.environment.record(|| EventKind::Started {
            engine: engine_name(engine),
            cores,
        });
        let started_ms = self.environment.controller_clock_ms();
        self.publish_engine_start(engine, started_ms);
    }

    /// Sets an engine's start time (on the admission controller's clock) in the endpoint list, which each dispatcher
    /// receives after a random delay.
    fn publish_engine_start(&mut self, engine: usize, started_ms: f64) {
        self.endpoints[engine].started_ms = Some(started_ms);
        let max_delay_ms = self.environment.network().list_ms();
        for dispatcher in 0..self.dispatchers.len() {
            let delay_ms = max_delay_ms * self.environment.rng.random::<f64>();
            self.schedule_in(delay_ms, Event::EndpointUpdate { dispatcher });
        }
    }

    /// Marks the engines that no dispatcher reaches as gone in the endpoint list, and delivers the list to all
    /// dispatchers immediately.
    fn publish_reachability(&mut self) {
        for engine in 0..self.engines.len() {
            let is_reachable =
                (0..self.dispatchers.len()).any(|dispatcher| !self.is_cut(dispatcher, engine));
            self.endpoints[engine].state = if is_reachable {
                EndpointState::Ready
            } else {
                EndpointState::Gone
            };
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.schedule_in(0.0, Event::EndpointUpdate { dispatcher });
        }
    }

    fn take_sample(&mut self) {
        let mut spilled = vec![0.0; self.zones.len()];
        for dispatcher in &self.dispatchers {
            for (threads, zone) in spilled.iter_mut().zip(&self.zones) {
                *threads += dispatcher.spilled_threads(zone);
            }
        }
        self.record_spill(&spilled);
        let threads = self.engines.threads_by_zone(self.zones.len());
        self.results
            .take_sample(self.environment.now_ms, threads, spilled);
    }

    /// Records the spilled threads of each zone as a fraction of the zone's limit.
    fn record_spill(&mut self, spilled: &[f64]) {
        for (index, zone) in self.zones.iter().enumerate() {
            let Some(limit_fraction) = self.dispatchers[0].spill_limit(zone) else {
                return;
            };
            let limit = limit_fraction * self.engines.zone_cores(index);
            if limit.is_finite() && limit > 0.0 {
                self.results.record_spill(spilled[index] / limit);
            }
        }
    }
}
