//! A dispatcher: its admission controller, its view of the zones' health, and the events since its last round.

use super::engines::engine_id;
use super::inbox::{Decision, Decisions, Endpoint, Inbox, Incoming};
use super::settings::dispatcher_settings;
use crate::schema::{Arm, Experiment};
use tansymux::control::Control;
use tansymux::events::Outcome;
use tansymux::zone_plan::{ZoneLimits, ZonePlan};
use tansymux_zone_routing::{
    Event as ZoneEvent, Observation, ObservationKind, RoutingPlan, ZoneHealthDetector,
};

/// A dispatcher of the simulation.
pub(super) struct Dispatcher {
    control: Control,
    /// `None` if the variant's operators' file defines no zones.
    zone_health: Option<ZoneHealthDetector>,
    /// Index of its zone.
    zone: usize,
    /// Time of the next round if no event arrives earlier (ms); infinite if no timer is set.
    timer_ms: f64,
    /// For each engine, whether the dispatcher knows that the connections to the engine are dead.
    known_dead: Vec<bool>,
    inbox: Vec<Incoming>,
}

/// Creates the dispatchers of a variant, assigned to zones round-robin.
pub(super) fn start(
    experiment: &Experiment,
    variant: &Arm,
    zones: &[String],
    engine_count: usize,
    seed: u64,
) -> Vec<Dispatcher> {
    let operator = tansymux_operator_config::parse(variant.operator()).unwrap_or_default();
    let zone_config = operator
        .halls
        .as_ref()
        .map(tansymux_operator_config::zone_routing_config);
    let dispatcher_count = experiment.dispatchers();
    (0..dispatcher_count as usize)
        .map(|index| {
            let zone = index % zones.len();
            let settings = dispatcher_settings(experiment, &zones[zone]);
            let control_seed = seed.wrapping_mul(1000) + index as u64;
            Dispatcher {
                control: Control::new(control_seed, &settings)
                    .expect("the settings that the simulator generates are valid"),
                zone_health: zone_config
                    .clone()
                    .map(|config| ZoneHealthDetector::new(config, f64::from(dispatcher_count))),
                zone,
                timer_ms: f64::INFINITY,
                known_dead: vec![false; engine_count],
                inbox: Vec::new(),
            }
        })
        .collect()
}

impl Dispatcher {
    /// The index of the dispatcher's zone.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Queues an event for the next round.
    pub fn push(&mut self, event: Incoming) {
        self.inbox.push(event);
    }

    /// Delivers all events since the last round to the admission controller, and returns its decisions.
    pub fn run_round(
        &mut self,
        clock_ms: f64,
        groups: &[String],
        endpoints: &[Endpoint],
    ) -> Vec<Decision> {
        let mut inbox = Inbox {
            events: std::mem::take(&mut self.inbox),
            groups,
            endpoints,
        };
        let mut decisions = Decisions::default();
        self.control.run_round(clock_ms, &mut inbox, &mut decisions);
        self.inbox = inbox.events;
        decisions.0
    }

    /// Sets the timer, unless it is already due earlier. Returns whether it was set.
    pub fn set_timer(&mut self, at_ms: f64) -> bool {
        let is_earlier = at_ms < self.timer_ms;
        if is_earlier {
            self.timer_ms = at_ms;
        }
        is_earlier
    }

    /// Clears the timer if it is due. Returns whether it was.
    pub fn take_due_timer(&mut self, now_ms: f64) -> bool {
        let is_due = now_ms >= self.timer_ms;
        if is_due {
            self.timer_ms = f64::INFINITY;
        }
        is_due
    }

    /// Whether the dispatcher knows that its connections to an engine are dead.
    pub fn knows_dead(&self, engine: usize) -> bool {
        self.known_dead[engine]
    }

    /// Sets whether the dispatcher knows that its connections to an engine are dead.
    pub fn set_known_dead(&mut self, engine: usize, is_dead: bool) {
        self.known_dead[engine] = is_dead;
    }

    /// Passes the outcome of an attempt or a health check to the zone health detector. A progress note is passed as
    /// `Completed`.
    pub fn observe_engine(&mut self, engine: usize, outcome: Outcome, clock_ms: f64) {
        let kind = match outcome {
            Outcome::Completed | Outcome::Error | Outcome::Full => ObservationKind::Answered,
            Outcome::NoConnection | Outcome::Reset | Outcome::Timeout => ObservationKind::NoAnswer,
            Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        if let Some(zone_health) = &mut self.zone_health {
            let observation = Observation {
                engine_id: engine_id(engine),
                kind,
            };
            zone_health.handle(ZoneEvent::EngineObserved(observation), clock_ms);
        }
    }

    /// Evaluates the health of zones and updates the zone plan. Returns the id of an engine whose health must be
    /// checked.
    pub fn evaluate_zones(
        &mut self,
        zones: &[String],
        groups: &[String],
        clock_ms: f64,
    ) -> Option<u64> {
        let zone_health = self.zone_health.as_mut()?;
        zone_health.evaluate(clock_ms);
        let plan = zone_health.routing_plan(&zones[self.zone], groups);
        self.control.set_zone_plan(Some(&zone_plan(&plan)));
        zone_health.poll_health_check(clock_ms)
    }

    /// Passes the engines of the endpoint list to the zone health detector, and queues the list for the next round.
    pub fn update_endpoints(&mut self, engines: &[tansymux_zone_routing::Engine], clock_ms: f64) {
        if let Some(zone_health) = &mut self.zone_health {
            zone_health.handle(ZoneEvent::EnginesListed(engines), clock_ms);
        }
        self.inbox.push(Incoming::EndpointList);
    }

    /// Number of threads of the dispatcher's low-lane queries in `zone` that spilled over from other zones.
    pub fn spilled_threads(&self, zone: &str) -> f64 {
        self.control.spilled_threads(zone)
    }

    /// The limit of spilled threads in a zone as a fraction of the zone's cores; `None` if no zones are defined.
    pub fn spill_limit(&self, zone: &str) -> Option<f64> {
        let zone_health = self.zone_health.as_ref()?;
        Some(zone_health.config().spill_limit(zone, None))
    }
}

/// Converts a routing plan to the zone plan of the admission controller.
fn zone_plan(plan: &RoutingPlan) -> ZonePlan {
    let limits = |zone: &tansymux_zone_routing::ZonePlan| ZoneLimits {
        name: zone.name.clone(),
        tiers: zone.ranks.clone(),
        max_spill_threads: zone.spill_threads,
        max_spill_threads_by_group: zone.spill_threads_by_class.clone(),
    };
    ZonePlan {
        zones: plan.zones.iter().map(limits).collect(),
        engines: plan
            .engines
            .iter()
            .map(|engine| (engine.engine_id, engine.threads))
            .collect(),
        cross_zone_retry_ratio: plan.cross_zone_retry_ratio,
        isolated: plan.is_isolated,
    }
}
