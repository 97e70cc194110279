//! The environment that all parts of a simulation share: the experiment, the virtual clock, the event queue, the random
//! number generator and the record of events.

use super::events::{Event, EventQueue};
use crate::schema::{Cold, Experiment, Network};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tansymux_testbed::record::{Entry, EventKind};

/// Time on the admission controller's clock at the start of a run (ms). Prevents times below 0.
const EPOCH_MS: f64 = 1e6;
/// Maximum expected number of queries of a run that is recorded for the checker. The record of a longer run would not
/// fit into memory.
const MAX_RECORDED_QUERIES: f64 = 400_000.0;
/// Minimum one-way delay as a fraction of the configured latency.
const MIN_LATENCY_FRACTION: f64 = 0.7;
/// Width of the range of one-way delays as a fraction of the configured latency.
const LATENCY_RANGE_FRACTION: f64 = 0.6;
/// Length of the phase after the last fault, whose value is reported separately (s).
const RECOVERY_PHASE_S: f64 = 60.0;

/// The environment of a simulation's dispatchers, engines and clients.
pub(super) struct Environment<'a> {
    pub experiment: &'a Experiment,
    pub now_ms: f64,
    /// Source of all random numbers.
    pub rng: Pcg64,
    events: EventQueue,
    /// `None` for a run that is too long to be checked.
    record: Option<Vec<Entry>>,
}

impl<'a> Environment<'a> {
    /// Creates the environment of a run at time 0, with no event scheduled.
    pub fn new(experiment: &'a Experiment, seed: u64) -> Self {
        let queries_per_s: f64 = experiment.class.iter().map(|class| class.rate()).sum();
        let is_recorded = queries_per_s * experiment.seconds() <= MAX_RECORDED_QUERIES;
        Environment {
            experiment,
            now_ms: 0.0,
            rng: Pcg64::seed_from_u64(seed),
            events: EventQueue::default(),
            record: is_recorded.then(Vec::new),
        }
    }

    /// Schedules an event. Events with the same time are handled in the order in which they were scheduled.
    pub fn schedule(&mut self, at_ms: f64, event: Event) {
        self.events.push(at_ms, event);
    }

    /// Advances the clock to the next event and returns the event; `None` if no event is scheduled up to `end_ms`.
    pub fn next_event(&mut self, end_ms: f64) -> Option<Event> {
        let (at_ms, event) = self.events.pop()?;
        if at_ms > end_ms {
            return None;
        }
        self.now_ms = at_ms;
        Some(event)
    }

    /// The current time on the admission controller's clock (ms).
    pub fn controller_clock_ms(&self) -> f64 {
        EPOCH_MS + self.now_ms
    }

    /// Adds an entry to the record, if the run has one.
    pub fn record(&mut self, event: impl FnOnce() -> EventKind) {
        if let Some(record) = &mut self.record {
            record.push(Entry {
                at_ms: self.now_ms,
                event: event(),
            });
        }
    }

    /// Removes and returns the record, if the run has one.
    pub fn take_record(&mut self) -> Option<Vec<Entry>> {
        self.record.take()
    }

    /// The network of the experiment.
    pub fn network(&self) -> Network {
        self.experiment.network.unwrap_or_default()
    }

    /// The experiment's parameters for engines that are warming up.
    pub fn warm_up(&self) -> Cold {
        self.experiment.cold.unwrap_or_default()
    }

    /// Draws a one-way delay around the configured latency of the network (ms).
    pub fn draw_latency_ms(&mut self) -> f64 {
        let configured_ms = self.network().latency_ms();
        let range = LATENCY_RANGE_FRACTION * self.rng.random::<f64>();
        configured_ms * (MIN_LATENCY_FRACTION + range)
    }

    /// The phase of the run: 0 before the first fault, 1 until the last fault ends, 2 for [`RECOVERY_PHASE_S`] after
    /// that, then 3.
    pub fn phase(&self) -> usize {
        let now_s = self.now_ms / 1000.0;
        let faults = &self.experiment.fault;
        let first_fault_begin_s = faults
            .iter()
            .map(|fault| fault.begins_s())
            .fold(f64::INFINITY, f64::min);
        let last_fault_end_s = faults
            .iter()
            .map(|fault| fault.ends_s())
            .fold(f64::NEG_INFINITY, f64::max);
        if now_s < first_fault_begin_s {
            0
        } else if now_s < last_fault_end_s {
            1
        } else if now_s < last_fault_end_s + RECOVERY_PHASE_S {
            2
        } else {
            3
        }
    }
}

/// Converts a time on the admission controller's clock to a time of the simulation (ms).
pub(super) fn simulation_time_ms(controller_clock_ms: f64) -> f64 {
    controller_clock_ms - EPOCH_MS
}
