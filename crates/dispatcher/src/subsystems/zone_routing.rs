//! Zone routing: collects evidence on the health of zones, exchanges it with peers and the fleet, and passes the
//! resulting routing plan to the admission controller. This module places no query.
//!
//! The `tansymux-zone-routing` package evaluates the evidence. Start reading at [`ZoneRouting::tick`].
//!
//! | file | concern |
//! | --- | --- |
//! | `conversion` | conversion of evidence for the fleet, and of the plan for the admission controller |
//! | `display` | JSON for `/_halls`, log lines |

mod conversion;
mod display;

use super::endpoint_list::merge_endpoints;
use super::fleet::FleetService;
use crate::query_registry::EndpointEntry;
use conversion::{controller_plan, fleet_evidence};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use tansymux::control::Control;
use tansymux::events::{AttemptEnded, EndpointState, HealthCheckEnded, Outcome, PeerMessage};
use tansymux::settings::Settings;
use tansymux_operator_config::schema;
use tansymux_zone_evacuation::ZoneUse;
use tansymux_zone_routing::codec::MESSAGE_KIND;
use tansymux_zone_routing::{
    Engine, Event, Observation, ObservationKind, RoutingPlan, ZoneHealthDetector, ZoneState,
};

/// Threads that a dispatcher requests from the fleet in addition to its threads in flight, so that an idle dispatcher
/// also gets a quota.
const MIN_DEMAND_THREADS: f64 = 0.1;
/// Interval (ms) between evaluations of the evidence.
const TICK_INTERVAL_MS: f64 = 100.0;

/// Result of [`ZoneRouting::tick`].
#[derive(Debug, Default)]
pub struct ZoneTick {
    /// Whether the evidence was evaluated in this round: health checks and spills are due then.
    pub is_evaluated: bool,
    /// Message for all peers, if one is due.
    pub peer_message: Option<Vec<u8>>,
}

/// Zone routing of this dispatcher.
pub struct ZoneRouting {
    detector: RefCell<Option<ZoneHealthDetector>>,
    local_zone: String,
    /// Names of the resource groups, by index.
    groups: Vec<String>,
    dispatcher_count: f64,
    settings: Rc<Settings>,
    /// The current endpoint list, sorted by engine id.
    endpoints: RefCell<Vec<Engine>>,
    last_tick_ms: Cell<f64>,
    /// Number of changes of a zone's state since the start.
    state_changes: Cell<u64>,
}

impl ZoneRouting {
    /// Creates the subsystem, which is off until [`reconfigure`](Self::reconfigure) defines zone routing.
    pub fn new(settings: &Rc<Settings>) -> Self {
        ZoneRouting {
            detector: RefCell::default(),
            local_zone: settings.local_zone.clone().unwrap_or_default(),
            groups: settings
                .groups
                .iter()
                .map(|group| group.name.clone())
                .collect(),
            dispatcher_count: settings.dispatchers,
            settings: settings.clone(),
            endpoints: RefCell::default(),
            last_tick_ms: Cell::new(f64::NEG_INFINITY),
            state_changes: Cell::default(),
        }
    }

    /// Applies `halls` of a valid operators' file. Zones keep their state.
    pub fn reconfigure(&self, zones: Option<&schema::Halls>, now_ms: f64, control: &mut Control) {
        let definition = zones.map(tansymux_operator_config::zone_routing_config);
        let mut detector = self.detector.borrow_mut();
        match (detector.as_mut(), definition) {
            (current, None) => {
                if current.is_some() {
                    *detector = None;
                    tracing::info!("zone routing disabled");
                }
                control.set_zone_plan(None);
            }
            (Some(current), Some(definition)) => {
                if *current.config() != definition {
                    current.set_config(definition);
                }
            }
            (None, Some(definition)) => {
                let mut new_detector = ZoneHealthDetector::new(definition, self.dispatcher_count);
                new_detector.handle(Event::EnginesListed(&self.endpoints.borrow()), now_ms);
                *detector = Some(new_detector);
            }
        }
        // The next round evaluates the evidence without waiting for the interval.
        self.last_tick_ms.set(f64::NEG_INFINITY);
    }

    /// Applies an endpoint list update.
    pub fn on_endpoints(&self, entries: &[EndpointEntry], now_ms: f64) {
        let mut endpoints = self.endpoints.borrow_mut();
        merge_endpoints(
            &mut endpoints,
            entries,
            |engine| engine.engine_id,
            |entry| Engine {
                engine_id: entry.engine_id,
                zone: entry.zone.clone(),
                cores: self.settings.engine_kind(&entry.kind).cores,
                is_ready: entry.state == EndpointState::Ready,
            },
        );
        if let Some(detector) = self.detector.borrow_mut().as_mut() {
            detector.handle(Event::EnginesListed(&endpoints), now_ms);
        }
    }

    /// Records evidence on an engine's zone: whether the attempt reached the engine.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, now_ms: f64) {
        self.observe_outcome(event.engine_id, event.outcome, now_ms);
    }

    /// Records evidence on an engine's zone: whether the health check reached the engine.
    pub fn on_health_check_ended(&self, event: &HealthCheckEnded, now_ms: f64) {
        self.observe_outcome(event.engine_id, event.outcome, now_ms);
    }

    fn observe_outcome(&self, engine_id: u64, outcome: Outcome, now_ms: f64) {
        let kind = match outcome {
            Outcome::Completed | Outcome::Error | Outcome::Full => ObservationKind::Answered,
            Outcome::NoConnection | Outcome::Reset | Outcome::Timeout => ObservationKind::NoAnswer,
            // The dispatcher cancelled the attempt or never sent it, which is no evidence on the engine.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        self.observe(engine_id, kind, now_ms);
    }

    /// Records evidence on an engine's zone: a progress note shows that the engine is reachable.
    pub fn on_progress_note(&self, engine_id: u64, now_ms: f64) {
        self.observe(engine_id, ObservationKind::Answered, now_ms);
    }

    fn observe(&self, engine_id: u64, kind: ObservationKind, now_ms: f64) {
        if let Some(detector) = self.detector.borrow_mut().as_mut() {
            let observation = Observation { engine_id, kind };
            detector.handle(Event::EngineObserved(observation), now_ms);
        }
    }

    /// Whether the operators' file defines zone routing.
    pub fn is_enabled(&self) -> bool {
        self.detector.borrow().is_some()
    }

    /// Evaluates the evidence every [`TICK_INTERVAL_MS`], and passes the resulting plan to the admission controller.
    pub fn tick(
        &self,
        now_ms: f64,
        control: &mut Control,
        fleet: Option<&FleetService>,
    ) -> ZoneTick {
        let mut detector = self.detector.borrow_mut();
        let Some(detector) = detector.as_mut() else {
            return ZoneTick::default();
        };
        if now_ms - self.last_tick_ms.get() < TICK_INTERVAL_MS {
            return ZoneTick {
                // A second round at the same time counts as a part of the first.
                is_evaluated: self.last_tick_ms.get() == now_ms,
                peer_message: None,
            };
        }
        self.last_tick_ms.set(now_ms);
        detector.evaluate(now_ms);
        self.record_changes(detector);
        let mut plan = detector.routing_plan(&self.local_zone, &self.groups);
        if let Some(fleet) = fleet.filter(|fleet| fleet.coordinates_zones()) {
            let demand_threads = control.threads_in_flight() + MIN_DEMAND_THREADS;
            let evidence = fleet_evidence(detector, demand_threads);
            fleet.report_zones(evidence, detector.is_isolated());
            let max_threads_per_core = detector.config().recovery_ramp.full_threads_per_core;
            self.apply_fleet_decisions(fleet, max_threads_per_core, &mut plan);
        }
        control.set_zone_plan(Some(&controller_plan(&plan)));
        ZoneTick {
            is_evaluated: true,
            peer_message: detector.poll_message(now_ms),
        }
    }

    /// Counts and logs the changes of zones' states since the last tick.
    fn record_changes(&self, detector: &mut ZoneHealthDetector) {
        for change in detector.take_changes() {
            self.state_changes.set(self.state_changes.get() + 1);
            display::log_change(&change);
        }
    }

    /// Overrides the state and the threads of the zones that the fleet has decided on. `max_threads_per_core`: threads
    /// per core of an engine in a zone at full use.
    fn apply_fleet_decisions(
        &self,
        fleet: &FleetService,
        max_threads_per_core: f64,
        plan: &mut RoutingPlan,
    ) {
        let endpoints = self.endpoints.borrow();
        for zone in &mut plan.zones {
            let fraction = match fleet.zone_use(&zone.name) {
                ZoneUse::LocalDecision => continue,
                ZoneUse::Closed => 0.0,
                ZoneUse::Fraction(fraction) => fraction,
            };
            zone.state = if fraction > 0.0 {
                ZoneState::Recovering(fraction)
            } else {
                ZoneState::Unreachable
            };
            for engine in &mut plan.engines {
                let endpoint = endpoints.iter().find(|endpoint| {
                    endpoint.engine_id == engine.engine_id && endpoint.zone == zone.name
                });
                if let Some(endpoint) = endpoint {
                    engine.threads = endpoint.cores * max_threads_per_core * fraction;
                }
            }
        }
    }

    /// Returns the id of the engine in an unreachable zone whose health check is due, if any.
    pub fn next_health_check(&self, now_ms: f64) -> Option<u64> {
        self.detector
            .borrow_mut()
            .as_mut()?
            .poll_health_check(now_ms)
    }

    /// Handles a message about zones, and ignores it while zone routing is off. Returns false for other messages.
    pub fn on_peer_message(&self, message: &PeerMessage, now_ms: f64) -> bool {
        if message.content.first() != Some(&MESSAGE_KIND) {
            return false;
        }
        if let Some(detector) = self.detector.borrow_mut().as_mut() {
            let event = Event::PeerMessage {
                peer: message.peer,
                content: message.content,
            };
            detector.handle(event, now_ms);
        }
        true
    }

    /// Returns the low-lane threads that spilled into each zone of the endpoint list. `spilled_threads` reads a zone's
    /// number from the admission controller.
    pub fn spills(&self, spilled_threads: impl Fn(&str) -> f64) -> Vec<(String, f64)> {
        let mut spills: Vec<(String, f64)> = Vec::new();
        for engine in &*self.endpoints.borrow() {
            if !spills.iter().any(|(zone, _)| *zone == engine.zone) {
                spills.push((engine.zone.clone(), spilled_threads(&engine.zone)));
            }
        }
        spills
    }

    /// Returns the response body of `/_halls`. `spilled_threads` returns the last number of low-lane threads that
    /// spilled into a zone.
    pub fn to_json(&self, now_ms: f64, spilled_threads: impl Fn(&str) -> f64) -> Value {
        let detector = self.detector.borrow();
        let Some(detector) = detector.as_ref() else {
            return display::disabled();
        };
        let plan = detector.routing_plan(&self.local_zone, &self.groups);
        let mut zones = Vec::new();
        for zone in &plan.zones {
            let spilled = spilled_threads(&zone.name);
            zones.push(display::zone_json(zone, &self.groups, spilled));
        }
        display::to_json(&display::ZoneReport {
            now_ms,
            local_zone: &self.local_zone,
            is_isolated: plan.is_isolated,
            zones,
            history: detector.history(),
        })
    }

    /// Appends one line per counter; none while zone routing is off.
    pub fn write_counters(&self, text: &mut String) {
        let detector = self.detector.borrow();
        let Some(detector) = detector.as_ref() else {
            return;
        };
        // Writing to a String cannot fail.
        let _ = writeln!(text, "hall_changes {}", self.state_changes.get());
        let _ = writeln!(text, "halls_alone {}", u8::from(detector.is_isolated()));
    }
}
