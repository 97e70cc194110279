//! Faults of the experiment: cuts between zones, slow engines, and what the endpoint list says of them.

use super::events::Event;
use super::{engine_name, Simulation, EPOCH_MS};
use crate::schema::fault;
use rand::RngExt;
use tansymux::events::EndpointState;
use tansymux_testbed::record::EventKind;

impl Simulation<'_> {
    /// Whether nothing gets through between a dispatcher and an engine.
    pub(super) fn is_cut(&self, dispatcher: usize, engine: usize) -> bool {
        let from = self.dispatchers[dispatcher].zone;
        let zone = self.engine_zones[engine];
        let faults = self.experiment.fault.iter().zip(&self.active_faults);
        faults.into_iter().any(|(fault, is_active)| {
            let is_from_there = match fault.from.as_deref() {
                Some(name) => name == self.zones[from],
                None => from != zone,
            };
            *is_active
                && fault.kind() == fault::Kind::Cut
                && fault.hall() == self.zones[zone]
                && is_from_there
        })
    }

    /// A fault begins or ends.
    pub(super) fn on_fault(&mut self, number: usize, begins: bool) {
        self.active_faults[number] = begins;
        let fault = &self.experiment.fault[number];
        if self.ideal && fault.kind() == fault::Kind::Cut {
            self.announce_truth();
        }
        for engine in 0..self.engines.len() {
            if self.zones[self.engine_zones[engine]] != fault.hall() {
                continue;
            }
            match fault.kind() {
                fault::Kind::Slow => {
                    let slowdown = if begins { fault.factor() } else { 1.0 };
                    self.engines[engine].set_slowdown(self.now_ms, slowdown);
                    self.schedule_completion(engine);
                }
                fault::Kind::Cut if !begins && fault.cold() => self.restart_cold(engine),
                fault::Kind::Cut => {}
            }
        }
    }

    fn restart_cold(&mut self, engine: usize) {
        self.engines[engine].started_ms = self.now_ms;
        let cores = self.engines[engine].cores;
        self.record(|| EventKind::Started {
            engine: engine_name(engine),
            cores,
        });
        self.announce_start(engine, EPOCH_MS + self.now_ms);
    }

    /// The endpoint list has an engine's new start (decisions' clock); each dispatcher gets it after a while.
    pub(super) fn announce_start(&mut self, engine: usize, started_ms: f64) {
        self.endpoints[engine].started_ms = Some(started_ms);
        let max_delay_ms = self.experiment.network.unwrap_or_default().list_ms();
        for dispatcher in 0..self.dispatchers.len() {
            let delay_ms = max_delay_ms * self.rng.random::<f64>();
            self.schedule(self.now_ms + delay_ms, Event::EndpointUpdate { dispatcher });
        }
    }

    /// The endpoint list as the truth is: engines that no dispatcher reaches are gone, for all of them and at once.
    fn announce_truth(&mut self) {
        for engine in 0..self.engines.len() {
            let is_reached =
                (0..self.dispatchers.len()).any(|dispatcher| !self.is_cut(dispatcher, engine));
            self.endpoints[engine].state = if is_reached {
                EndpointState::Ready
            } else {
                EndpointState::Gone
            };
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.schedule(self.now_ms, Event::EndpointUpdate { dispatcher });
        }
    }
}
