//! ZoneRouting in the program: gathers evidence of them, tells peers, the log and whoever asks, and hands the decisions the
//! plan that follows. Nothing here places a query.

use crate::fleet::FleetService;
use crate::query_registry::EndpointEntry;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::control::Control;
use tansymux::events::{EndpointState, Outcome};
use tansymux::settings::{self, RawSettings, SettingsMap};
use tansymux::zone_plan::{ZoneLimits, ZonePlan};
use tansymux_operator_config::schema;
use tansymux_zone_evacuation::{Evidence, Reachability, ZoneUse};
use tansymux_zone_routing::{
    Engine, Event, Observation, ObservationKind, Reachability as Observed, RoutingPlan, ZoneChange,
    ZoneEvidence, ZoneHealthDetector, ZoneState,
};

/// Who has nothing running at the moment wants a little all the same (threads).
const MIN_DEMAND: f64 = 0.1;
/// Looks at the evidence are so far apart (ms).
const LOOK_EVERY: f64 = 100.0;

pub struct ZoneRouting {
    on: RefCell<Option<ZoneHealthDetector>>,
    /// The dispatcher's own zone, the resource groups, how many dispatchers there are, cores by kind.
    own: String,
    groups: Vec<String>,
    dispatchers: f64,
    settings: SettingsMap,
    /// The list as last told.
    listed: RefCell<Vec<Engine>>,
    looked: Cell<f64>,
    changes: Cell<u64>,
}

impl ZoneRouting {
    pub fn new(settings: &SettingsMap) -> Self {
        let count = settings
            .number(&settings::list_count("services"))
            .unwrap_or(0.0) as usize;
        let name = |i| {
            settings
                .get(&format!("{}.name", settings::list_item("services", i)))
                .cloned()
                .unwrap_or_default()
        };
        ZoneRouting {
            on: RefCell::default(),
            own: settings.get("zone").cloned().unwrap_or_default(),
            groups: (0..count).map(name).collect(),
            dispatchers: settings.number("balancers").unwrap_or(1.0),
            settings: settings.clone(),
            listed: RefCell::default(),
            looked: Cell::new(f64::NEG_INFINITY),
            changes: Cell::default(),
        }
    }

    /// Takes on what the operators' file says; it was checked before. What is known of zones stays.
    pub fn set(&self, told: Option<&schema::Halls>, now: f64, control: &mut Control) {
        let mut on = self.on.borrow_mut();
        match (on.as_mut(), told.map(tansymux_operator_config::zones)) {
            (_, None) => {
                if on.take().is_some() {
                    tracing::info!("tiers between halls are off");
                }
                control.set_zone_plan(None);
            }
            (Some(judge), Some(definition)) if *judge.config() != definition => {
                judge.set_config(definition)
            }
            (Some(_), Some(_)) => {}
            (None, Some(definition)) => {
                let mut judge = ZoneHealthDetector::new(definition, self.dispatchers);
                judge.handle(Event::EnginesListed(&self.listed.borrow()), now);
                *on = Some(judge);
            }
        }
        self.looked.set(f64::NEG_INFINITY);
    }

    /// The list as it was told: whole.
    pub fn listed(&self, now: f64, engines: &[EndpointEntry]) {
        let mut listed = self.listed.borrow_mut();
        for engine in engines {
            listed.retain(|known| known.engine_id != engine.engine_id);
            if engine.status != EndpointState::Gone {
                let cores = self
                    .settings
                    .for_kind(&engine.kind, "family-info.cores-by-kind")
                    .unwrap_or(1.0);
                let ready = engine.status == EndpointState::Ready;
                listed.push(Engine {
                    engine_id: engine.engine_id,
                    zone: engine.zone.clone(),
                    cores,
                    ready,
                });
            }
        }
        listed.sort_by_key(|engine| engine.engine_id);
        if let Some(judge) = self.on.borrow_mut().as_mut() {
            judge.handle(Event::EnginesListed(&listed), now);
        }
    }

    /// A attempt or a probe ended.
    pub fn ended(&self, now: f64, engine_id: u64, outcome: Outcome) {
        let kind = match outcome {
            Outcome::Completed | Outcome::Error | Outcome::Full => ObservationKind::Answered,
            Outcome::NoConnection | Outcome::Reset | Outcome::Timeout => ObservationKind::NoAnswer,
            // ZonePlan up from here, or never sent: nothing was seen of the engine.
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        self.seen(now, engine_id, kind);
    }

    /// A note came.
    pub fn noted(&self, now: f64, engine_id: u64) {
        self.seen(now, engine_id, ObservationKind::Answered);
    }

    fn seen(&self, now: f64, engine_id: u64, kind: ObservationKind) {
        if let Some(judge) = self.on.borrow_mut().as_mut() {
            let observation = Observation { engine_id, kind };
            judge.handle(Event::EngineObserved(observation), now);
        }
    }

    /// What is seen of each zone, for the fleet.
    fn evidence(judge: &ZoneHealthDetector, threads: f64) -> Vec<Evidence> {
        let of = |evidence: ZoneEvidence<'_>| {
            let reachability = match evidence.reachability {
                Observed::Reachable => Reachability::Reachable,
                Observed::Recovering => Reachability::Recovering,
                Observed::Unreachable => Reachability::Unreachable,
                Observed::Unknown => Reachability::Unknown,
            };
            Evidence {
                zone: tansymux_operator_config::number_of(evidence.zone),
                reachability,
                threads: threads as f32,
                successes: evidence.successes,
                failures: evidence.failures,
            }
        };
        judge.evidence().map(of).collect()
    }

    /// Puts what the fleet agreed on above what this dispatcher judged alone.
    fn agreed(&self, fleet: &FleetService, whole: f64, plan: &mut RoutingPlan) {
        let listed = self.listed.borrow();
        for zone in &mut plan.zones {
            let part = match fleet.use_of(&zone.name) {
                ZoneUse::LocalDecision => continue,
                ZoneUse::Closed => 0.0,
                ZoneUse::Fraction(part) => part,
            };
            zone.state = if part > 0.0 {
                ZoneState::Recovering(part)
            } else {
                ZoneState::Unreachable
            };
            for engine in &mut plan.engines {
                let of = listed
                    .iter()
                    .find(|e| e.engine_id == engine.engine_id && e.zone == zone.name);
                if let Some(of) = of {
                    engine.threads = of.cores * whole * part;
                }
            }
        }
    }

    pub fn is_on(&self) -> bool {
        self.on.borrow().is_some()
    }

    /// Whether the evidence was looked at in this round: what follows from it is done then, and not in every round.
    pub fn looked_at(&self, now: f64) -> bool {
        self.is_on() && self.looked.get() == now
    }

    /// Looks at the evidence where it is time; what is to be told to peers.
    pub fn look(
        &self,
        now: f64,
        control: &mut Control,
        fleet: Option<&FleetService>,
    ) -> Option<Vec<u8>> {
        let mut on = self.on.borrow_mut();
        let judge = on.as_mut()?;
        if now - self.looked.get() < LOOK_EVERY {
            return None;
        }
        self.looked.set(now);
        judge.evaluate(now);
        for change in judge.take_changes() {
            self.changes.set(self.changes.get() + 1);
            let ZoneChange {
                zone,
                state,
                reason,
                ..
            } = change;
            tracing::warn!(zone, state = %state_name(state), %reason, "zone state changed");
        }
        let mut plan = judge.routing_plan(&self.own, &self.groups);
        if let Some(fleet) = fleet.filter(|fleet| fleet.has_zones()) {
            fleet.sees(
                ZoneRouting::evidence(judge, control.threads_in_flight() + MIN_DEMAND),
                judge.is_isolated(),
            );
            self.agreed(
                fleet,
                judge.config().recovery_ramp.full_threads_per_core,
                &mut plan,
            );
        }
        control.set_zone_plan(Some(&zone_plan(&plan)));
        judge.poll_message(now)
    }

    /// The engine of a cut zone that is to be probed now, if one is.
    pub fn probes(&self, now: f64) -> Option<u64> {
        self.on.borrow_mut().as_mut()?.poll_health_check(now)
    }

    /// A peer's message, if it is one about zones.
    pub fn heard(&self, now: f64, peer: u32, content: &[u8]) -> bool {
        if content.first() != Some(&tansymux_zone_routing::codec::MESSAGE_KIND) {
            return false;
        }
        if let Some(judge) = self.on.borrow_mut().as_mut() {
            judge.handle(Event::PeerMessage { peer, content }, now);
        }
        true
    }

    /// Reads for each zone that is listed what spilled into it.
    pub fn spills(&self, read: impl Fn(&str) -> f64, to: &mut Vec<(String, f64)>) {
        to.clear();
        for engine in &*self.listed.borrow() {
            if !to.iter().any(|(zone, _)| *zone == engine.zone) {
                to.push((engine.zone.clone(), read(&engine.zone)));
            }
        }
    }

    /// All that there is to show, as JSON.
    pub fn shown(&self, now: f64, spilled: impl Fn(&str) -> f64) -> Value {
        let on = self.on.borrow();
        let Some(judge) = on.as_ref() else {
            return json!({"defined": false});
        };
        let plan = judge.routing_plan(&self.own, &self.groups);
        let number = |value: f64| {
            if value.is_finite() {
                json!(value)
            } else {
                Value::Null
            }
        };
        let zone = |zone: &tansymux_zone_routing::ZonePlan| {
            let part = if let ZoneState::Recovering(part) = zone.state {
                json!(part)
            } else {
                Value::Null
            };
            let ranks: Value = self
                .groups
                .iter()
                .cloned()
                .zip(zone.ranks.iter().map(|rank| json!(rank)))
                .collect();
            json!({"hall": zone.name, "state": state_name(zone.state), "part": part, "rank": ranks,
                "spilled_threads": spilled(&zone.name), "spill_most": number(zone.spill_threads)})
        };
        let history: Vec<Value> = judge
            .history()
            .iter()
            .rev()
            .map(|c| json!({"at": c.at_ms, "hall": c.zone, "state": state_name(c.state), "why": c.reason.to_string()}))
            .collect();
        json!({"defined": true, "own": self.own, "alone": plan.is_isolated, "now": now,
            "halls": plan.zones.iter().map(zone).collect::<Vec<_>>(), "history": history})
    }

    /// Lines for the counters; none while off.
    pub fn report(&self, text: &mut String) {
        let on = self.on.borrow();
        let Some(judge) = on.as_ref() else { return };
        let _ = writeln!(text, "hall_changes {}", self.changes.get());
        let _ = writeln!(text, "halls_alone {}", u8::from(judge.is_isolated()));
    }
}

fn state_name(state: ZoneState) -> &'static str {
    match state {
        ZoneState::Healthy => "well",
        ZoneState::Unreachable => "cut",
        ZoneState::Recovering(_) => "climbing",
    }
}

fn zone_plan(plan: &RoutingPlan) -> ZonePlan {
    let zone = |zone: &tansymux_zone_routing::ZonePlan| ZoneLimits {
        name: zone.name.clone(),
        tiers: zone.ranks.clone(),
        max_spill_threads: zone.spill_threads,
        max_spill_threads_by_group: zone.spill_threads_by_class.clone(),
    };
    ZonePlan {
        zones: plan.zones.iter().map(zone).collect(),
        engines: plan
            .engines
            .iter()
            .map(|engine| (engine.engine_id, engine.threads))
            .collect(),
        cross_zone_retry_ratio: plan.cross_zone_retry_fraction,
        isolated: plan.is_isolated,
    }
}
