//! Dispatchers: the rounds of their decisions, their view of zones, and the endpoint list that they get.

use super::events::Event;
use super::inbox::{Decision, Decisions, Inbox, Incoming};
use super::settings::dispatcher_settings;
use super::{engine_id, engine_of, Simulation, EPOCH_MS};
use crate::schema::{Arm, Experiment};
use tansymux::control::Control;
use tansymux::events::{EndpointState, HealthCheckEnded, Outcome};
use tansymux::zone_plan::{ZoneLimits, ZonePlan};
use tansymux_zone_routing::{
    Event as ZoneEvent, Observation, ObservationKind, RoutingPlan, ZoneHealthDetector,
};

/// A cancelled attempt's end is reported to the decisions so much later, as in the program (ms).
const CANCEL_DELAY_MS: f64 = 40.0;
/// Timers are never shorter (ms).
const MIN_TIMER_MS: f64 = 1.0;

/// A dispatcher.
pub(super) struct Dispatcher {
    pub control: Control,
    /// None where the variant's operators' file defines no zones.
    pub zone_health: Option<ZoneHealthDetector>,
    pub zone: usize,
    timer_ms: f64,
    /// Engines whose connections are known to be dead.
    pub known_dead: Vec<bool>,
}

/// The dispatchers of a variant, spread over zones in turn.
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
    (0..experiment.dispatchers() as usize)
        .map(|n| {
            let zone = n % zones.len();
            let settings = dispatcher_settings(experiment, &zones[zone]);
            Dispatcher {
                control: Control::new(seed.wrapping_mul(1000) + n as u64, &settings)
                    .expect("the simulator's own settings are whole"),
                zone_health: zone_config.clone().map(|config| {
                    ZoneHealthDetector::new(config, f64::from(experiment.dispatchers()))
                }),
                zone,
                timer_ms: f64::INFINITY,
                known_dead: vec![false; engine_count],
            }
        })
        .collect()
}

/// The zones' plan in the form that the decisions take.
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
        cross_zone_retry_ratio: plan.cross_zone_retry_fraction,
        isolated: plan.is_isolated,
    }
}

impl Simulation<'_> {
    pub(super) fn on_timer(&mut self, dispatcher: usize) {
        if self.now_ms >= self.dispatchers[dispatcher].timer_ms {
            self.dispatchers[dispatcher].timer_ms = f64::INFINITY;
            self.run_round(dispatcher);
        }
    }

    /// Gives a dispatcher's decisions all that came in, and does what they decide.
    pub(super) fn run_round(&mut self, dispatcher: usize) {
        let mut inbox = Inbox {
            events: std::mem::take(&mut self.inboxes[dispatcher]),
            groups: &self.groups,
            endpoints: &self.endpoints,
        };
        let mut decisions = Decisions::default();
        self.dispatchers[dispatcher].control.run_round(
            EPOCH_MS + self.now_ms,
            &mut inbox,
            &mut decisions,
        );
        self.inboxes[dispatcher] = inbox.events;
        for decision in decisions.0 {
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
                let engine = engine_of(engine_id);
                self.submit(dispatcher, query_id, engine, deadline_ms - EPOCH_MS);
            }
            Decision::Reject {
                query_id,
                retry_after_ms,
            } => self.answer(query_id, 429, Some(retry_after_ms)),
            Decision::Fail { query_id } => self.answer(query_id, 500, None),
            Decision::Cancel { query_id, attempt } => self.cancel(query_id, attempt),
            Decision::CheckHealth { engine_id } => {
                self.check_health(dispatcher, engine_of(engine_id));
            }
            Decision::SetTimer { delay_ms } => {
                let at_ms = self.now_ms + delay_ms.max(MIN_TIMER_MS);
                if at_ms < self.dispatchers[dispatcher].timer_ms {
                    self.dispatchers[dispatcher].timer_ms = at_ms;
                    self.schedule(at_ms, Event::DispatcherTimer { dispatcher });
                }
            }
        }
    }

    fn cancel(&mut self, query_id: u64, number: usize) {
        let found = self.attempts.iter().find(|(_, attempt)| {
            attempt.query_id == query_id && attempt.number == number && !attempt.cancelled
        });
        if let Some(attempt) = found.map(|(attempt, _)| *attempt) {
            self.end_attempt(attempt, Outcome::Cancelled, CANCEL_DELAY_MS);
        }
    }

    fn check_health(&mut self, dispatcher: usize, engine: usize) {
        let lost = self.is_cut(dispatcher, engine) || self.is_down(engine);
        let network = self.experiment.network.unwrap_or_default();
        let (after_ms, outcome) = if lost {
            (network.connect_timeout_ms(), Outcome::Timeout)
        } else {
            (2.0 * self.draw_latency_ms(), Outcome::Completed)
        };
        let end = Event::HealthCheckEnd {
            dispatcher,
            engine,
            outcome,
        };
        self.schedule(self.now_ms + after_ms, end);
    }

    pub(super) fn on_health_check_end(
        &mut self,
        dispatcher: usize,
        engine: usize,
        outcome: Outcome,
    ) {
        self.observe_engine(dispatcher, engine, outcome);
        self.inboxes[dispatcher].push(Incoming::HealthCheckEnded(HealthCheckEnded {
            engine_id: engine_id(engine),
            outcome,
        }));
        self.run_round(dispatcher);
    }

    /// What an outcome says about an engine's zone.
    pub(super) fn observe_engine(&mut self, dispatcher: usize, engine: usize, outcome: Outcome) {
        let kind = match outcome {
            Outcome::Completed | Outcome::Error | Outcome::Full => ObservationKind::Answered,
            Outcome::NoConnection | Outcome::Reset | Outcome::Timeout => ObservationKind::NoAnswer,
            Outcome::Cancelled | Outcome::NotSent | Outcome::Withdrawn => return,
        };
        if let Some(zone_health) = &mut self.dispatchers[dispatcher].zone_health {
            let observation = Observation {
                engine_id: engine_id(engine),
                kind,
            };
            let now_ms = EPOCH_MS + self.now_ms;
            zone_health.handle(ZoneEvent::EngineObserved(observation), now_ms);
        }
    }

    /// A dispatcher evaluates the zones' health and plans by it.
    pub(super) fn evaluate_zones(&mut self, dispatcher_number: usize) {
        let now_ms = EPOCH_MS + self.now_ms;
        let dispatcher = &mut self.dispatchers[dispatcher_number];
        let Some(zone_health) = &mut dispatcher.zone_health else {
            return;
        };
        zone_health.evaluate(now_ms);
        let plan = zone_health.routing_plan(&self.zones[dispatcher.zone], &self.groups);
        dispatcher.control.set_zone_plan(Some(&zone_plan(&plan)));
        if let Some(engine_id) = zone_health.poll_health_check(now_ms) {
            self.check_health(dispatcher_number, engine_of(engine_id));
        }
    }

    /// A dispatcher gets the endpoint list as it is now.
    pub(super) fn announce_endpoints(&mut self, dispatcher: usize) {
        let engines: Vec<tansymux_zone_routing::Engine> = self
            .endpoints
            .iter()
            .zip(&self.engines)
            .map(|(endpoint, engine)| tansymux_zone_routing::Engine {
                engine_id: endpoint.engine_id,
                zone: endpoint.zone.clone(),
                cores: engine.cores,
                ready: endpoint.state == EndpointState::Ready,
            })
            .collect();
        if let Some(zone_health) = &mut self.dispatchers[dispatcher].zone_health {
            let now_ms = EPOCH_MS + self.now_ms;
            zone_health.handle(ZoneEvent::EnginesListed(&engines), now_ms);
        }
        self.inboxes[dispatcher].push(Incoming::EndpointList);
        self.run_round(dispatcher);
    }
}
