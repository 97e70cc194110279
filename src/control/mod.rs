//! The admission controller. It makes all decisions: which engine runs a query, and which queries are rejected,
//! migrated, cancelled or failed.
//!
//! A program calls [`Control::run_round`] once per round. Its [`EventSource`] calls the handlers with the events that
//! arrived, and the [`DecisionSink`] receives each decision as it is made. Times are milliseconds. "Rule 1" to "rule 7"
//! are the platform's rules for queries and their attempts. docs/design.md gives the reasons for the design.
//!
//! `Control` composes the components of `model`, which own their state and the constants of their rules and do not
//! depend on `Control`. This module has the logic that needs several components. Its files follow the life of a query:
//! `admission`, `placement`, `dispatch` (rules 1 to 7), `completion`, and `periodic` for the checks in between. This
//! file handles the events that concern engines, peers and the program itself; it uses the endpoint list request, the
//! peer load, the zone plan and the tables of engines and queries.

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

/// Source of the events of one round, in order.
pub trait EventSource {
    /// Calls the handlers of [`Control`] with the round's events.
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink);
}

/// The admission controller of one dispatcher and its state: settings, queries in flight, engines and learned
/// statistics.
///
/// Memory grows with the queries in flight, the listed engines, the ordering keys in use (a bounded number of keys in
/// their cooldown included), and the names in the settings. It does not grow with the number of queries handled.
pub struct Control {
    /// Time of the current round (ms).
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
    /// Buffer for the candidates of a placement, reused to avoid allocation.
    candidates: Vec<EngineIndex>,
}

impl Control {
    /// Creates the admission controller from settings. `seed` determines all random draws.
    ///
    /// # Errors
    /// Returns the errors of [`Settings::read`].
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

    /// Runs one round at `now_ms`: handles all events of `source`, then runs the periodic checks if they are due.
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

    /// Returns the optional capabilities that the settings enable.
    pub fn capabilities(&self) -> Capabilities {
        self.settings.capabilities
    }

    /// Applies the effects of the service level in force.
    pub fn set_level_effects(&mut self, effects: LevelEffects) {
        self.level = effects;
    }

    /// Limits the deadlines of all queries in flight to `deadline_ms`, the time at which the program exits.
    pub fn limit_deadlines(&mut self, deadline_ms: f64) {
        for query in self.queries.iter_mut() {
            query.deadline_ms = query.deadline_ms.min(deadline_ms);
        }
    }

    /// Applies a zone plan, or removes it if `plan` is `None`. Reservations of attempts in flight are kept.
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

    /// Begins an endpoint list. Its entries follow until [`finish_update`](Control::finish_update).
    pub fn begin_update(&mut self, kind: EndpointListKind) {
        if matches!(kind, EndpointListKind::Snapshot | EndpointListKind::Cached) {
            self.engines.begin_snapshot();
        }
    }

    /// Adds or updates the engine of one entry of the endpoint list.
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

    /// Completes an endpoint list, or for [`EndpointListKind::Failed`] records that none could be obtained.
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

    /// Handles the outcome of a health check.
    pub fn on_health_check_ended(&mut self, event: &HealthCheckEnded) {
        if let Some(engine) = self.engines.find(event.engine_id) {
            let health = &mut self.engines[engine].health;
            health.record_health_check(event.outcome, self.now_ms);
        }
    }

    /// Handles a message from another dispatcher. Ignores a message of an unknown kind, and a report from an unknown
    /// sender.
    pub fn on_peer_message(&mut self, message: &PeerMessage) {
        self.peer_load
            .record_message(message, &mut self.engines, self.now_ms);
    }
}

/// Metrics of the pool, which determine the service level. A fraction is NaN if its denominator is zero.
impl Control {
    /// Returns the fraction of the ready engines, in `zone` if one is given, that are under pressure.
    pub fn pressured_fraction(&self, zone: Option<&str>) -> f64 {
        let zone = zone.map(|name| {
            let zone = self.interner.zones.find(name);
            zone.map_or(ZoneFilter::Unknown, ZoneFilter::Zone)
        });
        self.pool().pressured_fraction(zone)
    }

    /// Returns the threads of low work on all ready engines as a fraction of the concurrency limits that apply to this
    /// dispatcher at full service; at most 1.
    pub fn concurrency_used_fraction(&self) -> f64 {
        self.pool().concurrency_used_fraction()
    }

    /// Returns the number of threads that this dispatcher's attempts use. An attempt of the fast lane counts as one.
    pub fn threads_in_flight(&self) -> f64 {
        self.pool().threads_in_flight()
    }

    /// Returns the fraction of the engines in the endpoint list that are ready.
    pub fn ready_fraction(&self) -> f64 {
        self.pool().ready_fraction()
    }

    /// Returns the fraction of the ready engines that are warming up.
    pub fn warming_fraction(&self) -> f64 {
        self.pool().warming_fraction()
    }

    /// Returns the fraction of the ready engines that are ejected.
    pub fn ejected_fraction(&self) -> f64 {
        self.pool().ejected_fraction()
    }

    /// Returns the threads of this dispatcher's low work in `zone` that spilled over from other zones.
    pub fn spilled_threads(&self, zone: &str) -> f64 {
        let zone = self.interner.zones.find(zone);
        zone.map_or(0.0, |zone| self.zone_plan.spilled_threads(zone))
    }
}

/// Helpers that the submodules share.
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

    /// Returns the expected run time of a new attempt (ms), from the recent answers of the query's group.
    fn expected_run_time_ms(&self, query: QueryIndex) -> f64 {
        let query = &self.queries[query];
        self.group_of(query).expected_run_time_ms(query.cost)
    }

    /// Returns the time until the query's deadline (ms).
    fn time_left_ms(&self, query: QueryIndex) -> f64 {
        self.queries[query].deadline_ms - self.now_ms
    }

    /// Returns whether a new attempt is expected to complete before the query's deadline.
    fn has_time_for_run(&self, query: QueryIndex) -> bool {
        let end_ms = self.now_ms + self.expected_run_time_ms(query);
        end_ms < self.queries[query].deadline_ms
    }
}
