//! A pool in virtual time. Everything that happens is an event with a time; dispatchers are the real decisions, called
//! as the program calls them.
//!
//! Start reading at [`run`], then at `Simulation::handle`.

mod attempts;
mod clients;
mod dispatchers;
mod engines;
mod events;
mod faults;
mod inbox;
mod results;
mod settings;

pub use results::{Outcomes, Sample};

use crate::engine::Engine;
use crate::schema::Experiment;
use dispatchers::Dispatcher;
use events::{Event, EventQueue};
use hdrhistogram::Histogram;
use inbox::{Endpoint, Incoming};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use results::Value;
use std::collections::HashMap;
use std::time::Instant;
use tansymux::events::EndpointState;
use tansymux_testbed::record::{Entry, EventKind, Status};

/// The decisions' clock begins here (ms), so that none of their times lies before 0.
const EPOCH_MS: f64 = 1e6;
/// Time between two progress notes of an attempt (ms).
const NOTE_INTERVAL_MS: f64 = 100.0;
/// Time between two evaluations of the zones' health (ms).
const ZONE_CHECK_INTERVAL_MS: f64 = 100.0;
/// Time between two samples (ms).
const SAMPLE_INTERVAL_MS: f64 = 250.0;
/// How long after its end a run is played on, so that all queries get their answer (ms).
const DRAIN_MS: f64 = 6000.0;
/// A run of more queries than this keeps no record for the checker, which would not fit into memory.
const MAX_RECORDED_QUERIES: f64 = 400_000.0;

/// A query, from its arrival until nothing refers to it.
struct Query {
    dispatcher: usize,
    class: usize,
    arrived_ms: f64,
    work_ms: f64,
    attempts: usize,
    answered: bool,
}

/// An attempt that is out.
struct Attempt {
    query_id: u64,
    number: usize,
    engine: usize,
    sent_ms: f64,
    running: bool,
    cancelled: bool,
}

/// Work that reached an engine which warms up.
struct ColdArrival {
    at_ms: f64,
    work_ms: f64,
}

struct Simulation<'a> {
    experiment: &'a Experiment,
    /// The endpoint list follows faults at once.
    ideal: bool,
    now_ms: f64,
    events: EventQueue,
    rng: Pcg64,
    zones: Vec<String>,
    groups: Vec<String>,
    /// The zone of each engine.
    engine_zones: Vec<usize>,
    engines: Vec<Engine>,
    /// Until when each engine is down.
    down_until_ms: Vec<f64>,
    cold_arrivals: Vec<Vec<ColdArrival>>,
    dispatchers: Vec<Dispatcher>,
    inboxes: Vec<Vec<Incoming>>,
    queries: HashMap<u64, Query>,
    attempts: HashMap<u64, Attempt>,
    next_query_id: u64,
    next_attempt_id: u64,
    /// Whether each fault is in force.
    active_faults: Vec<bool>,
    endpoints: Vec<Endpoint>,
    record: Option<Vec<Entry>>,
    outcomes: Outcomes,
    fast_latencies_ms: Histogram<u64>,
    sample: Sample,
    /// By phase.
    values: [Value; 4],
}

/// Plays one seed of one variant.
pub fn run(experiment: &Experiment, variant: usize, seed: u64) -> Outcomes {
    let from = Instant::now();
    let mut simulation = Simulation::new(experiment, variant, seed);
    simulation.begin();
    let end_ms = experiment.seconds() * 1000.0;
    while let Some((at_ms, event)) = simulation.events.pop() {
        if at_ms > end_ms + DRAIN_MS {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle(event, end_ms);
    }
    simulation.finish(from.elapsed().as_secs_f64())
}

/// The id by which decisions know an engine.
fn engine_id(engine: usize) -> u64 {
    engine as u64 + 1
}

/// The engine of an id.
fn engine_of(engine_id: u64) -> usize {
    engine_id as usize - 1
}

/// The name of an engine in the record.
fn engine_name(engine: usize) -> String {
    format!("s-{engine}")
}

/// The endpoint list at the begin: all engines are ready, and none started late.
fn initial_endpoints(zones: &[String], engine_zones: &[usize]) -> Vec<Endpoint> {
    engine_zones
        .iter()
        .enumerate()
        .map(|(engine, zone)| Endpoint {
            engine_id: engine_id(engine),
            zone: zones[*zone].clone(),
            state: EndpointState::Ready,
            started_ms: None,
        })
        .collect()
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, variant: usize, seed: u64) -> Self {
        let cold = experiment.cold.unwrap_or_default();
        let zones: Vec<String> = experiment
            .hall
            .iter()
            .map(|zone| zone.name().to_owned())
            .collect();
        let mut engines = Vec::new();
        let mut engine_zones = Vec::new();
        for (n, zone) in experiment.hall.iter().enumerate() {
            for _ in 0..zone.engines() {
                let warm_up_ms = cold.warm_s() * 1000.0;
                engines.push(Engine::new(zone.cores(), warm_up_ms, cold.from()));
                engine_zones.push(n);
            }
        }
        let arm = &experiment.arm[variant];
        let dispatchers = dispatchers::start(experiment, arm, &zones, engines.len(), seed);
        let queries_per_s: f64 = experiment.class.iter().map(|class| class.rate()).sum();
        let is_recorded = queries_per_s * experiment.seconds() <= MAX_RECORDED_QUERIES;
        Simulation {
            experiment,
            ideal: arm.ideal(),
            now_ms: 0.0,
            events: EventQueue::default(),
            rng: Pcg64::seed_from_u64(seed),
            groups: experiment
                .class
                .iter()
                .map(|class| class.name().to_owned())
                .collect(),
            down_until_ms: vec![0.0; engines.len()],
            cold_arrivals: engines.iter().map(|_| Vec::new()).collect(),
            inboxes: dispatchers.iter().map(|_| Vec::new()).collect(),
            endpoints: initial_endpoints(&zones, &engine_zones),
            zones,
            engine_zones,
            engines,
            dispatchers,
            queries: HashMap::new(),
            attempts: HashMap::new(),
            next_query_id: 1,
            next_attempt_id: 1,
            active_faults: vec![false; experiment.fault.len()],
            record: is_recorded.then(Vec::new),
            outcomes: Outcomes {
                seed,
                variant: arm.name().to_owned(),
                ..Outcomes::default()
            },
            fast_latencies_ms: Histogram::new_with_bounds(1, 600_000, 3).expect("bounds in order"),
            sample: Sample::default(),
            values: [Value::default(); 4],
        }
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        self.events.push(at_ms, event);
    }

    /// Adds to the record, where one is kept.
    fn record(&mut self, event: impl FnOnce() -> EventKind) {
        if let Some(record) = &mut self.record {
            record.push(Entry {
                at_ms: self.now_ms,
                event: event(),
            });
        }
    }

    /// Announces all engines, and schedules the first event of each kind.
    fn begin(&mut self) {
        for engine in 0..self.engines.len() {
            let zone = self.zones[self.engine_zones[engine]].clone();
            self.record(|| EventKind::Listed {
                engine: engine_name(engine),
                status: Status::Ready,
                zone,
                kind: "std".into(),
                cell: 0,
            });
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.announce_endpoints(dispatcher);
        }
        for class in 0..self.experiment.class.len() {
            self.schedule(0.0, Event::QueryArrival { class });
        }
        let experiment = self.experiment;
        for (fault, times) in experiment.fault.iter().enumerate() {
            let begins = true;
            self.schedule(times.begins_s() * 1000.0, Event::Fault { fault, begins });
            let begins = false;
            self.schedule(times.ends_s() * 1000.0, Event::Fault { fault, begins });
        }
        self.schedule(ZONE_CHECK_INTERVAL_MS, Event::ZoneCheck);
        self.schedule(SAMPLE_INTERVAL_MS, Event::Sample);
    }

    /// A one-way delay of the network, drawn around its usual one (ms).
    fn draw_latency_ms(&mut self) -> f64 {
        let usual_ms = self.experiment.network.unwrap_or_default().latency_ms();
        usual_ms * (0.7 + 0.6 * self.rng.random::<f64>())
    }

    /// Handles an event. No query arrives, and nothing recurs, after `end_ms`.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "an event taken from the queue is handled once"
    )]
    fn handle(&mut self, event: Event, end_ms: f64) {
        match event {
            Event::QueryArrival { class } => {
                if self.now_ms < end_ms {
                    self.on_query_arrival(class);
                }
            }
            Event::DispatcherTimer { dispatcher } => self.on_timer(dispatcher),
            Event::AttemptArrival { attempt } => self.on_attempt_arrival(attempt),
            Event::AttemptEnd { attempt, outcome } => self.on_attempt_end(attempt, outcome),
            Event::AttemptDeadline { attempt } => self.on_attempt_deadline(attempt),
            Event::ProgressNote { attempt } => self.on_progress_note(attempt),
            Event::EngineCompletion { engine, generation } => {
                if self.engines[engine].generation == generation {
                    self.on_engine_completion(engine);
                }
            }
            Event::HealthCheckEnd {
                dispatcher,
                engine,
                outcome,
            } => self.on_health_check_end(dispatcher, engine, outcome),
            Event::Fault { fault, begins } => self.on_fault(fault, begins),
            Event::EndpointUpdate { dispatcher } => self.announce_endpoints(dispatcher),
            Event::ZoneCheck => {
                for dispatcher in 0..self.dispatchers.len() {
                    self.evaluate_zones(dispatcher);
                }
                if self.now_ms < end_ms {
                    self.schedule(self.now_ms + ZONE_CHECK_INTERVAL_MS, Event::ZoneCheck);
                }
            }
            Event::Sample => {
                self.take_sample();
                if self.now_ms < end_ms {
                    self.schedule(self.now_ms + SAMPLE_INTERVAL_MS, Event::Sample);
                }
            }
        }
    }
}
