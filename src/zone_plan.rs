//! What a plan for zones leaves open: tiers of preference, limits on work that spills, and the recovery ramp of engines
//! that return.
//!
//! The plan comes from outside; here it is kept against what is in flight. Which engine is chosen among those that are
//! open stays with `control`. Without a plan all engines are open and of one tier.

use crate::control::Control;
use crate::interner::Interner;
use crate::model::{EngineIndex, GroupIndex, Lane, QueryIndex};

/// A plan as it is handed over: zones by their names, engines by their numbers, groups in the order of the settings.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZonePlan {
    /// Zones; one that is left out keeps what the plan before said of it.
    pub zones: Vec<ZoneLimits>,
    /// Threads of this dispatcher that each engine may have, by the engine's number.
    pub engines: Vec<(u64, f64)>,
    /// The fraction of retries that may go to another zone than the last attempt.
    pub cross_zone_retry_ratio: f64,
    /// This dispatcher is cut off itself: low work is better rejected at once than sent into silence.
    pub isolated: bool,
}

/// What a plan says of one zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneLimits {
    /// Its name.
    pub name: String,
    /// Its tier by group; 0 is preferred most.
    pub tiers: Vec<u8>,
    /// Threads of low work that may spill into it from elsewhere.
    pub max_spill_threads: f64,
    /// The same by group.
    pub max_spill_threads_by_group: Vec<f64>,
}

/// What an attempt took of a plan's capacity; given back when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reservation {
    threads: f64,
    /// It is low work in a zone that is not of the best tier.
    is_spilled: bool,
}

/// Cross-zone retries that may be saved up at most.
const MAX_CROSS_ZONE_CREDIT: f64 = 20.0;
/// Cross-zone retries that a plan begins with.
const INITIAL_CROSS_ZONE_CREDIT: f64 = 2.0;
/// Fraction of the ratio that a first attempt earns: a storm must not live on the calm before it.
const FIRST_ATTEMPT_EARNS: f64 = 0.05;
/// A query counts as taking this long (ms) at the least.
const MIN_RUN_TIME_MS: f64 = 1.0;

/// Threads that a query needs, and for how long.
#[derive(Debug, Clone, Copy)]
struct Demand {
    threads: f64,
    run_time_ms: f64,
}

/// Threads that may be in flight somewhere, and those that are.
///
/// Where fewer are allowed than a query needs, as when many dispatchers share them, thread time is saved up and one
/// query goes at a time: over time that keeps to the limit.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    max_threads: f64,
    threads: f64,
    /// Thread time saved up (ms), and when that was reckoned (ms).
    credit_ms: f64,
    updated_ms: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            max_threads: f64::INFINITY,
            threads: 0.0,
            credit_ms: 0.0,
            updated_ms: 0.0,
        }
    }
}

impl Capacity {
    /// Sets the limit; one that opens begins with nothing saved up.
    fn set_limit(&mut self, max_threads: f64, now_ms: f64) {
        if self.max_threads.is_infinite() || self.max_threads <= 0.0 {
            self.credit_ms = 0.0;
            self.updated_ms = now_ms;
        }
        self.max_threads = max_threads;
    }

    fn earned_ms(&self, demand: Demand, now_ms: f64) -> f64 {
        self.max_threads.min(demand.threads) * (now_ms - self.updated_ms)
    }

    fn admits(&self, demand: Demand, now_ms: f64) -> bool {
        if self.threads + demand.threads <= self.max_threads {
            return true;
        }
        let saved_ms = self.credit_ms + self.earned_ms(demand, now_ms);
        let is_idle = self.threads <= 0.0 && self.max_threads > 0.0;
        is_idle && saved_ms >= demand.threads * demand.run_time_ms
    }

    fn reserve(&mut self, demand: Demand, now_ms: f64) {
        if self.max_threads.is_finite() {
            // What is saved up, and what is overdrawn, is bounded by what a query needs.
            let needed_ms = demand.threads * demand.run_time_ms;
            let saved_ms = self.credit_ms + self.earned_ms(demand, now_ms);
            self.credit_ms = (saved_ms.min(2.0 * needed_ms) - needed_ms).max(-needed_ms);
            self.updated_ms = now_ms;
        }
        self.threads += demand.threads;
    }

    fn release(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
    }
}

/// A zone: its tier for each group, and the capacity for low work from elsewhere, in all and by group.
#[derive(Debug, Clone, Default)]
struct ZoneState {
    tiers: Vec<u8>,
    spill: Capacity,
    spill_by_group: Vec<Capacity>,
}

/// The plan in force, and what is in flight against it.
#[derive(Debug, Default)]
pub(crate) struct ActiveZonePlan {
    is_on: bool,
    is_isolated: bool,
    zones: Vec<ZoneState>,
    engines: Vec<Capacity>,
    cross_zone_retry_ratio: f64,
    /// Cross-zone retries saved up.
    cross_zone_credit: f64,
}

impl ActiveZonePlan {
    fn apply(&mut self, plan: &ZonePlan, interner: &mut Interner, now_ms: f64) {
        if !self.is_on {
            self.cross_zone_credit = INITIAL_CROSS_ZONE_CREDIT;
        }
        self.is_on = true;
        self.is_isolated = plan.isolated;
        self.cross_zone_retry_ratio = plan.cross_zone_retry_ratio;
        for limits in &plan.zones {
            let zone = interner.zones.index(&limits.name);
            self.set_zone(zone as usize, limits, now_ms);
        }
        for (engine_id, max_threads) in &plan.engines {
            if let Some(engine) = interner.engine_ids.find(*engine_id) {
                self.engine_mut(EngineIndex(engine))
                    .set_limit(*max_threads, now_ms);
            }
        }
    }

    fn set_zone(&mut self, zone: usize, limits: &ZoneLimits, now_ms: f64) {
        let len = self.zones.len().max(zone + 1);
        self.zones.resize(len, ZoneState::default());
        let zone = &mut self.zones[zone];
        zone.tiers.clone_from(&limits.tiers);
        zone.spill.set_limit(limits.max_spill_threads, now_ms);
        zone.spill_by_group
            .resize(limits.tiers.len(), Capacity::default());
        for (capacity, max_threads) in zone
            .spill_by_group
            .iter_mut()
            .zip(&limits.max_spill_threads_by_group)
        {
            capacity.set_limit(*max_threads, now_ms);
        }
    }

    fn engine_mut(&mut self, engine: EngineIndex) -> &mut Capacity {
        let len = self.engines.len().max(engine.0 + 1);
        self.engines.resize(len, Capacity::default());
        &mut self.engines[engine.0]
    }

    fn tier(&self, zone: u32, group: GroupIndex) -> u8 {
        if !self.is_on {
            return 0;
        }
        let zone = self.zones.get(zone as usize);
        let tier = zone.and_then(|zone| zone.tiers.get(group.0));
        tier.copied().unwrap_or(0)
    }

    fn engine_admits(&self, engine: EngineIndex, demand: Demand, now_ms: f64) -> bool {
        let capacity = self.engines.get(engine.0);
        capacity.is_none_or(|capacity| capacity.admits(demand, now_ms))
    }

    fn admits_spill(&self, zone: u32, group: GroupIndex, demand: Demand, now_ms: f64) -> bool {
        let Some(zone) = self.zones.get(zone as usize) else {
            return true;
        };
        let of_group = zone.spill_by_group.get(group.0);
        zone.spill.admits(demand, now_ms)
            && of_group.is_none_or(|capacity| capacity.admits(demand, now_ms))
    }

    fn reserve_spill(&mut self, zone: u32, group: GroupIndex, demand: Demand, now_ms: f64) {
        let Some(zone) = self.zones.get_mut(zone as usize) else {
            return;
        };
        zone.spill.reserve(demand, now_ms);
        if let Some(capacity) = zone.spill_by_group.get_mut(group.0) {
            capacity.reserve(demand, now_ms);
        }
    }

    fn release_spill(&mut self, zone: u32, group: GroupIndex, threads: f64) {
        let Some(zone) = self.zones.get_mut(zone as usize) else {
            return;
        };
        zone.spill.release(threads);
        if let Some(capacity) = zone.spill_by_group.get_mut(group.0) {
            capacity.release(threads);
        }
    }

    /// Counts an attempt in `zone` after one in `last_zone`, if there was one, against the cross-zone retries.
    fn count_crossing(&mut self, last_zone: Option<u32>, zone: u32) {
        let earned = match last_zone {
            Some(last_zone) if last_zone != zone => {
                self.cross_zone_credit = (self.cross_zone_credit - 1.0).max(0.0);
                return;
            }
            Some(_) => self.cross_zone_retry_ratio,
            None => FIRST_ATTEMPT_EARNS * self.cross_zone_retry_ratio,
        };
        self.cross_zone_credit = (self.cross_zone_credit + earned).min(MAX_CROSS_ZONE_CREDIT);
    }
}

impl Control {
    /// Takes over a plan, or goes on without one. What is in flight stays counted.
    pub fn set_zone_plan(&mut self, plan: Option<&ZonePlan>) {
        match plan {
            Some(plan) => self.zone_plan.apply(plan, &mut self.interner, self.now_ms),
            None => self.zone_plan.is_on = false,
        }
    }

    /// Threads of this dispatcher's low work in a zone that came from elsewhere.
    pub fn spilled_threads(&self, zone: &str) -> f64 {
        let zone = self.interner.zones.find(zone);
        let zone = zone.and_then(|zone| self.zone_plan.zones.get(zone as usize));
        zone.map_or(0.0, |zone| zone.spill.threads)
    }

    /// The tier of an engine for a query.
    pub(crate) fn zone_tier(&self, query: QueryIndex, engine: EngineIndex) -> u8 {
        self.zone_plan
            .tier(self.engines[engine].zone, self.queries[query].group)
    }

    /// Whether the plan leaves an engine open to a query. Half-open trials, which are of the fast lane, are not the
    /// plan's affair.
    pub(crate) fn plan_admits(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let plan = &self.zone_plan;
        let lane = self.queries[query].lane;
        let is_trial = self.engines[engine].health.is_ejected() && lane == Lane::Fast;
        if !plan.is_on || is_trial {
            return true;
        }
        if lane == Lane::Low && plan.is_isolated {
            return false;
        }
        let demand = self.demand_of(query);
        if !plan.engine_admits(engine, demand, self.now_ms) {
            return false;
        }
        if lane == Lane::Fast || self.zone_tier(query, engine) == 0 {
            return true;
        }
        plan.admits_spill(
            self.engines[engine].zone,
            self.queries[query].group,
            demand,
            self.now_ms,
        )
    }

    /// Whether a retry would go to another zone than the last attempt, with none of these left.
    pub(crate) fn lacks_cross_zone_retry(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let last_zone = self.last_zone(query);
        let crosses = last_zone.is_some_and(|zone| zone != self.engines[engine].zone);
        self.zone_plan.is_on && self.zone_plan.cross_zone_credit < 1.0 && crosses
    }

    /// Counts an attempt that is about to go out.
    pub(crate) fn reserve_zone_capacity(
        &mut self,
        query: QueryIndex,
        engine: EngineIndex,
    ) -> Reservation {
        if !self.zone_plan.is_on {
            return Reservation::default();
        }
        let group = self.queries[query].group;
        let zone = self.engines[engine].zone;
        let demand = self.demand_of(query);
        let last_zone = self.last_zone(query);
        let is_spilled = self.queries[query].lane == Lane::Low && self.zone_tier(query, engine) > 0;
        self.zone_plan.count_crossing(last_zone, zone);
        self.zone_plan
            .engine_mut(engine)
            .reserve(demand, self.now_ms);
        if is_spilled {
            self.zone_plan
                .reserve_spill(zone, group, demand, self.now_ms);
        }
        Reservation {
            threads: demand.threads,
            is_spilled,
        }
    }

    /// Gives back what an ended attempt took.
    pub(crate) fn release_zone_capacity(
        &mut self,
        reservation: Reservation,
        group: GroupIndex,
        engine: EngineIndex,
    ) {
        if reservation.threads <= 0.0 {
            return;
        }
        if let Some(capacity) = self.zone_plan.engines.get_mut(engine.0) {
            capacity.release(reservation.threads);
        }
        if reservation.is_spilled {
            let zone = self.engines[engine].zone;
            self.zone_plan
                .release_spill(zone, group, reservation.threads);
        }
    }

    fn demand_of(&self, query: QueryIndex) -> Demand {
        Demand {
            threads: self.group_of(query).threads(),
            run_time_ms: self.expected_run_time_ms(query).max(MIN_RUN_TIME_MS),
        }
    }

    fn last_zone(&self, query: QueryIndex) -> Option<u32> {
        let last = self.queries[query].attempts.all().last()?;
        Some(self.engines[last.engine].zone)
    }
}
