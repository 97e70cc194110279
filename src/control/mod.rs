//! All decisions: which engine runs a query, what is rejected, migrated, cancelled or failed.
//!
//! A program calls [`Control::run_round`] once a round. Its [`EventSource`] calls the handlers with the events that
//! arrived, and the decisions go straight into the [`DecisionSink`]. Times are milliseconds; "rule N" is the platform's
//! rule of that number. docs/design.md gives the reasons for the mechanism.
//!
//! `Control` composes the components of `model`, which own their state and the constants of their rules and never name
//! `Control`. The files of this module need several components at once. They follow a query's life: `admission`,
//! `placement`, `dispatch` (rules 1 to 7), `completion`, and `periodic` for the checks in between. This file has the
//! events that concern engines, peers and the program itself; it uses the endpoint list request, the peer load, the
//! zone plan and the tables of engines and queries.

mod admission;
mod completion;
mod dispatch;
mod periodic;
mod placement;
#[cfg(test)]
mod tests;

use crate::events::{
    DecisionSink, EndpointListKind, EndpointUpdate, HealthCheckEnded, PeerMessage,
};
use crate::interner::Interner;
use crate::model::{
    EndpointListRequest, Engine, EngineIndex, EngineTable, KeyQueues, LevelEffects, LowLane,
    PeerLoad, PoolView, Query, QueryIndex, QueryTable, ResourceGroup, RetryBudget, SlowStart,
    Slowdowns, TenantQuotas, ZoneFilter,
};
use crate::pcg::Pcg;
use crate::settings::{Capabilities, Settings, SettingsError, SettingsMap};
use crate::zone_plan::{ActiveZonePlan, ZonePlan};
use periodic::CheckSchedule;

/// One round's events, in order.
pub trait EventSource {
    /// Calls the handlers of [`Control`] with the round's events.
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink);
}

/// One dispatcher's decisions and the state behind them: settings, what is in flight, and what was learned.
///
/// Memory grows with the queries in flight, the engines listed and the keys, tenants and zones named.
pub struct Control {
    /// The clock of the round (ms).
    now_ms: f64,
    settings: Settings,
    /// The zone of this dispatcher.
    local_zone: Option<u32>,
    rng: Pcg,
    interner: Interner,
    groups: Vec<ResourceGroup>,
    queries: QueryTable,
    engines: EngineTable,
    tenant_quotas: TenantQuotas,
    key_queues: KeyQueues,
    retry_budget: RetryBudget,
    low_lane: LowLane,
    slow_start: SlowStart,
    slowdowns: Slowdowns,
    peer_load: PeerLoad,
    endpoint_list: EndpointListRequest,
    level: LevelEffects,
    zone_plan: ActiveZonePlan,
    schedule: CheckSchedule,
    /// Scratch space of placement.
    candidates: Vec<EngineIndex>,
}

impl Control {
    /// Decisions with these settings, and with random draws that `seed` fixes.
    ///
    /// # Errors
    /// Those of [`Settings::read`].
    pub fn new(seed: u64, settings: &SettingsMap) -> Result<Self, SettingsError> {
        let settings = Settings::read(settings)?;
        let mut interner = Interner::default();
        let mut groups = Vec::new();
        for group in &settings.groups {
            groups.push(ResourceGroup::new(group.clone(), &mut interner));
        }
        let tenant_quotas = TenantQuotas::new(&settings, &mut interner.tenants);
        let local_zone = settings.local_zone.as_ref();
        Ok(Control {
            now_ms: 0.0,
            local_zone: local_zone.map(|zone| interner.zones.index(zone)),
            rng: Pcg::new(seed),
            interner,
            groups,
            queries: QueryTable::default(),
            engines: EngineTable::default(),
            tenant_quotas,
            key_queues: KeyQueues::new(settings.key_cooldown_ms),
            retry_budget: RetryBudget::new(settings.retry_budget),
            low_lane: LowLane::default(),
            slow_start: SlowStart::new(&settings),
            slowdowns: Slowdowns::default(),
            peer_load: PeerLoad::new(&settings),
            endpoint_list: EndpointListRequest::new(settings.endpoints_on_request),
            level: LevelEffects::default(),
            zone_plan: ActiveZonePlan::default(),
            schedule: CheckSchedule::default(),
            candidates: Vec::new(),
            settings,
        })
    }

    /// One round at `now_ms`: all events that arrived, then the periodic checks where they are due.
    pub fn run_round(
        &mut self,
        now_ms: f64,
        source: &mut dyn EventSource,
        out: &mut dyn DecisionSink,
    ) {
        self.now_ms = now_ms;
        self.slow_start.begin_round(now_ms);
        source.deliver(self, out);
        self.run_periodic_checks(out);
        self.set_timer(out);
    }

    /// What the settings let this dispatcher do.
    pub fn capabilities(&self) -> Capabilities {
        self.settings.capabilities
    }

    /// Applies the effects of the service level in force.
    pub fn set_level_effects(&mut self, effects: LevelEffects) {
        self.level = effects;
    }

    /// Cuts the deadline of all queries in flight to `deadline_ms`, by which the program ends.
    pub fn limit_deadlines(&mut self, deadline_ms: f64) {
        for query in self.queries.iter_mut() {
            query.deadline_ms = query.deadline_ms.min(deadline_ms);
        }
    }

    /// Applies a zone plan, or none. What is in flight stays counted.
    pub fn set_zone_plan(&mut self, plan: Option<&ZonePlan>) {
        match plan {
            Some(plan) => {
                let zones = &mut self.interner.zones;
                self.zone_plan
                    .apply(plan, zones, &self.engines, self.now_ms);
            }
            None => self.zone_plan.deactivate(),
        }
    }

    /// An endpoint list begins; its entries follow until [`finish_update`](Control::finish_update).
    pub fn begin_update(&mut self, kind: EndpointListKind) {
        if matches!(kind, EndpointListKind::Snapshot | EndpointListKind::Cached) {
            self.engines.begin_snapshot();
        }
    }

    /// One entry of the endpoint list.
    pub fn upsert_endpoint(&mut self, update: &EndpointUpdate) {
        let known = self.engines.find(update.engine_id);
        let engine = known.unwrap_or_else(|| self.add_engine(update));
        self.engines[engine].apply_update(update);
    }

    fn add_engine(&mut self, update: &EndpointUpdate) -> EngineIndex {
        let engine = Engine::new(update, &self.settings, &mut self.interner);
        self.slowdowns.add_zone(engine.zone);
        let queries = &self.queries;
        let unused = self.engines.find_unused(|slot| queries.has_tried(slot));
        let Some(slot) = unused else {
            return self.engines.push(engine);
        };
        self.engines.replace(slot, engine);
        self.peer_load.forget(slot);
        slot
    }

    /// The endpoint list is complete, or, for [`EndpointListKind::Failed`], could not be obtained.
    pub fn finish_update(&mut self, kind: EndpointListKind, out: &mut dyn DecisionSink) {
        match kind {
            EndpointListKind::Failed => return self.endpoint_list.record_failure(self.now_ms),
            EndpointListKind::Cached => self.request_endpoints(out),
            EndpointListKind::Delta | EndpointListKind::Snapshot => {
                self.endpoint_list.record_success();
            }
        }
        self.engines.finish_update();
    }

    fn request_endpoints(&mut self, out: &mut dyn DecisionSink) {
        if self.endpoint_list.begin_if_due(self.now_ms) {
            out.watch_endpoints();
        }
    }

    /// A health check ended.
    pub fn on_health_check_ended(&mut self, event: &HealthCheckEnded) {
        if let Some(engine) = self.engines.find(event.engine_id) {
            let health = &mut self.engines[engine].health;
            health.record_health_check(event.outcome, self.now_ms);
        }
    }

    /// A message from another dispatcher arrived. A message of an unknown kind or sender is ignored.
    pub fn on_peer_message(&mut self, message: &PeerMessage) {
        self.peer_load
            .record_message(message, &mut self.engines, self.now_ms);
    }
}

/// Metrics of the pool, by which service levels are set. A fraction of nothing is not a number.
impl Control {
    /// Fraction of the ready engines, of a zone if one is named, that are under pressure.
    pub fn pressured_fraction(&self, zone: Option<&str>) -> f64 {
        let zone = zone.map(|name| {
            let zone = self.interner.zones.find(name);
            zone.map_or(ZoneFilter::Unknown, ZoneFilter::Zone)
        });
        self.pool().pressured_fraction(zone)
    }

    /// Low threads of all ready engines against their concurrency limits at full service.
    pub fn concurrency_used_fraction(&self) -> f64 {
        self.pool().concurrency_used_fraction()
    }

    /// Threads that this dispatcher's attempts run on; an attempt of the fast lane counts as one.
    pub fn threads_in_flight(&self) -> f64 {
        self.pool().threads_in_flight()
    }

    /// Fraction of the known engines that are ready.
    pub fn ready_fraction(&self) -> f64 {
        self.pool().ready_fraction()
    }

    /// Fraction of the ready engines that are warming up.
    pub fn warming_fraction(&self) -> f64 {
        self.pool().warming_fraction()
    }

    /// Fraction of the ready engines that are ejected.
    pub fn ejected_fraction(&self) -> f64 {
        self.pool().ejected_fraction()
    }

    /// Threads of this dispatcher's low work in a zone that spilled over from elsewhere.
    pub fn spilled_threads(&self, zone: &str) -> f64 {
        let zone = self.interner.zones.find(zone);
        zone.map_or(0.0, |zone| self.zone_plan.spilled_threads(zone))
    }
}

/// What the other files of this module share.
impl Control {
    fn pool(&self) -> PoolView<'_> {
        PoolView {
            engines: &self.engines,
            slowdowns: &self.slowdowns,
            peer_load: &self.peer_load,
            slow_start: &self.slow_start,
            level: &self.level,
            now_ms: self.now_ms,
        }
    }

    fn group_of(&self, query: &Query) -> &ResourceGroup {
        &self.groups[query.group]
    }

    /// Expected run time of a new attempt (ms), by the recent answers of the query's group.
    fn expected_run_time_ms(&self, query: QueryIndex) -> f64 {
        let query = &self.queries[query];
        self.group_of(query).expected_run_time_ms(query.cost)
    }

    /// Time until the query's deadline (ms).
    fn time_left_ms(&self, query: QueryIndex) -> f64 {
        self.queries[query].deadline_ms - self.now_ms
    }

    /// Whether a new attempt would complete before the query's deadline.
    fn has_time_for_run(&self, query: QueryIndex) -> bool {
        let end_ms = self.now_ms + self.expected_run_time_ms(query);
        end_ms < self.queries[query].deadline_ms
    }
}
