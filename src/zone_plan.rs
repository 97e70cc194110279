//! The zone plan: tiers of preference, limits on low work that spills over into other zones, and the recovery ramp of
//! engines that return.
//!
//! Zone routing makes the plan; this file enforces it on what is in flight. Which of the admitted engines is chosen is
//! decided in `control`. Without a plan all engines are admitted and of one tier.

#[cfg(test)]
mod tests;

use crate::interner::NameInterner;
use crate::model::{EngineIndex, EngineTable, GroupIndex, Lane};

/// A plan as zone routing makes it: zones by their names, engines by their numbers, groups in the order of the settings.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZonePlan {
    /// Limits of zones; a zone that is missing keeps the limits of the previous plan.
    pub zones: Vec<ZoneLimits>,
    /// Threads of this dispatcher that each engine may have, by the engine's number.
    pub engines: Vec<(u64, f64)>,
    /// The fraction of retries that may go to another zone than the last attempt.
    pub cross_zone_retry_ratio: f64,
    /// This dispatcher is cut off itself: low work is rejected rather than sent to engines that cannot answer.
    pub isolated: bool,
}

/// The limits of one zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneLimits {
    /// The zone's name.
    pub name: String,
    /// The zone's tier by group; the lowest is preferred.
    pub tiers: Vec<u8>,
    /// Threads of low work that may spill over into the zone from elsewhere.
    pub max_spill_threads: f64,
    /// The same limit by group.
    pub max_spill_threads_by_group: Vec<f64>,
}

/// The plan's capacity that an attempt holds until it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reservation {
    threads: f64,
    /// The attempt is low work in a zone that is not of the best tier.
    is_spilled: bool,
}

/// Burst of the token bucket of cross-zone retries.
const MAX_CROSS_ZONE_TOKENS: f64 = 20.0;
/// Tokens for cross-zone retries when a plan begins.
const INITIAL_CROSS_ZONE_TOKENS: f64 = 2.0;
/// Fraction of the ratio by which a first attempt refills the bucket. It is small, so that first attempts of a calm time
/// do not pay for the retries of a storm.
const FIRST_ATTEMPT_REFILL: f64 = 0.05;
/// Lower bound of the run time of a query (ms).
const MIN_RUN_TIME_MS: f64 = 1.0;
/// Burst of the token bucket of thread time, in queries.
const MAX_TOKENS_QUERIES: f64 = 2.0;

/// What a query takes of the plan's capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    group: GroupIndex,
    lane: Lane,
    threads: f64,
    run_time_ms: f64,
}

impl Demand {
    /// The demand of a query that runs on so many threads for `run_time_ms`.
    pub(crate) fn new(group: GroupIndex, lane: Lane, threads: f64, run_time_ms: f64) -> Self {
        Demand {
            group,
            lane,
            threads,
            run_time_ms: run_time_ms.max(MIN_RUN_TIME_MS),
        }
    }

    fn thread_time_ms(&self) -> f64 {
        self.threads * self.run_time_ms
    }
}

/// An engine as the plan refers to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedEngine {
    pub(crate) index: EngineIndex,
    pub(crate) zone: u32,
}

/// Threads that may be in flight in some place, and those that are.
///
/// Where the limit is below one query, as when many dispatchers share it, a token bucket of thread time decides when a
/// single query may start: over time that keeps to the limit.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    max_threads: f64,
    threads: f64,
    /// Thread time in the bucket (ms); negative while it is in debt.
    tokens_ms: f64,
    /// When the bucket was last refilled (ms).
    refilled_ms: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            max_threads: f64::INFINITY,
            threads: 0.0,
            tokens_ms: 0.0,
            refilled_ms: 0.0,
        }
    }
}

impl Capacity {
    /// Sets the limit. The bucket is empty when a limit begins, or opens again.
    fn set_limit(&mut self, max_threads: f64, now_ms: f64) {
        if self.max_threads.is_infinite() || self.max_threads <= 0.0 {
            self.tokens_ms = 0.0;
            self.refilled_ms = now_ms;
        }
        self.max_threads = max_threads;
    }

    /// The thread time in the bucket (ms) after a refill at `now_ms`, at the rate of the limit.
    fn refilled_tokens_ms(&self, demand: &Demand, now_ms: f64) -> f64 {
        let refill_ms = self.max_threads.min(demand.threads) * (now_ms - self.refilled_ms);
        self.tokens_ms + refill_ms
    }

    fn admits(&self, demand: &Demand, now_ms: f64) -> bool {
        if self.threads + demand.threads <= self.max_threads {
            return true;
        }
        let tokens_ms = self.refilled_tokens_ms(demand, now_ms);
        let is_idle = self.threads <= 0.0 && self.max_threads > 0.0;
        is_idle && tokens_ms >= demand.thread_time_ms()
    }

    fn reserve(&mut self, demand: &Demand, now_ms: f64) {
        if self.max_threads.is_finite() {
            let needed_ms = demand.thread_time_ms();
            let tokens_ms = self.refilled_tokens_ms(demand, now_ms);
            let max_tokens_ms = MAX_TOKENS_QUERIES * needed_ms;
            self.tokens_ms = (tokens_ms.min(max_tokens_ms) - needed_ms).max(-needed_ms);
            self.refilled_ms = now_ms;
        }
        self.threads += demand.threads;
    }

    fn release(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
    }
}

/// A zone: its tier for each group, and the capacity for low work from elsewhere, in total and by group.
#[derive(Debug, Clone, Default)]
struct ZoneState {
    tiers: Vec<u8>,
    spill: Capacity,
    spill_by_group: Vec<Capacity>,
}

impl ZoneState {
    fn set_limits(&mut self, limits: &ZoneLimits, now_ms: f64) {
        self.tiers.clone_from(&limits.tiers);
        self.spill.set_limit(limits.max_spill_threads, now_ms);
        self.spill_by_group
            .resize(limits.tiers.len(), Capacity::default());
        let by_group = &limits.max_spill_threads_by_group;
        for (capacity, max_threads) in self.spill_by_group.iter_mut().zip(by_group) {
            capacity.set_limit(*max_threads, now_ms);
        }
    }

    fn admits_spill(&self, demand: &Demand, now_ms: f64) -> bool {
        let of_group = self.spill_by_group.get(demand.group.0);
        self.spill.admits(demand, now_ms)
            && of_group.is_none_or(|capacity| capacity.admits(demand, now_ms))
    }

    fn reserve_spill(&mut self, demand: &Demand, now_ms: f64) {
        self.spill.reserve(demand, now_ms);
        if let Some(capacity) = self.spill_by_group.get_mut(demand.group.0) {
            capacity.reserve(demand, now_ms);
        }
    }

    fn release_spill(&mut self, group: GroupIndex, threads: f64) {
        self.spill.release(threads);
        if let Some(capacity) = self.spill_by_group.get_mut(group.0) {
            capacity.release(threads);
        }
    }
}

/// The plan in force, and what is in flight against it.
#[derive(Debug, Default)]
pub(crate) struct ActiveZonePlan {
    is_active: bool,
    is_isolated: bool,
    zones: Vec<ZoneState>,
    engines: Vec<Capacity>,
    cross_zone_retry_ratio: f64,
    /// Cross-zone retries in the token bucket.
    cross_zone_tokens: f64,
}

impl ActiveZonePlan {
    /// Applies a plan. What is in flight stays counted.
    pub(crate) fn apply(
        &mut self,
        plan: &ZonePlan,
        zones: &mut NameInterner,
        engines: &EngineTable,
        now_ms: f64,
    ) {
        if !self.is_active {
            self.cross_zone_tokens = INITIAL_CROSS_ZONE_TOKENS;
        }
        self.is_active = true;
        self.is_isolated = plan.isolated;
        self.cross_zone_retry_ratio = plan.cross_zone_retry_ratio;
        for limits in &plan.zones {
            let zone = zones.index(&limits.name);
            self.zone_mut(zone).set_limits(limits, now_ms);
        }
        for (engine_id, max_threads) in &plan.engines {
            if let Some(engine) = engines.find(*engine_id) {
                self.engine_mut(engine).set_limit(*max_threads, now_ms);
            }
        }
    }

    /// Ends the plan. What is in flight stays counted.
    pub(crate) fn deactivate(&mut self) {
        self.is_active = false;
    }

    /// Whether a plan is in force.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Threads of low work in a zone that spilled over from elsewhere.
    pub(crate) fn spilled_threads(&self, zone: u32) -> f64 {
        let zone = self.zones.get(zone as usize);
        zone.map_or(0.0, |zone| zone.spill.threads)
    }

    /// The tier of a zone for a group; the lowest is preferred.
    pub(crate) fn tier(&self, zone: u32, group: GroupIndex) -> u8 {
        if !self.is_active {
            return 0;
        }
        let zone = self.zones.get(zone as usize);
        let tier = zone.and_then(|zone| zone.tiers.get(group.0));
        tier.copied().unwrap_or(0)
    }

    /// Whether the plan lets a query go to an engine.
    pub(crate) fn admits(&self, demand: &Demand, engine: PlannedEngine, now_ms: f64) -> bool {
        if demand.lane == Lane::Low && self.is_isolated {
            return false;
        }
        let capacity = self.engines.get(engine.index.0);
        if !capacity.is_none_or(|capacity| capacity.admits(demand, now_ms)) {
            return false;
        }
        if !self.is_spill(demand, engine.zone) {
            return true;
        }
        let zone = self.zones.get(engine.zone as usize);
        zone.is_none_or(|zone| zone.admits_spill(demand, now_ms))
    }

    /// Whether a query in a zone is low work that spills over: the zone is not of the best tier.
    fn is_spill(&self, demand: &Demand, zone: u32) -> bool {
        demand.lane == Lane::Low && self.tier(zone, demand.group) > 0
    }

    /// Whether the cross-zone retries allow a retry in `zone` after an attempt in `last_zone`.
    pub(crate) fn allows_retry(&self, last_zone: Option<u32>, zone: u32) -> bool {
        let crosses = last_zone.is_some_and(|last_zone| last_zone != zone);
        !(self.is_active && self.cross_zone_tokens < 1.0 && crosses)
    }

    /// Reserves capacity for an attempt that is about to be sent, after one in `last_zone` if there was one.
    pub(crate) fn reserve(
        &mut self,
        demand: &Demand,
        engine: PlannedEngine,
        last_zone: Option<u32>,
        now_ms: f64,
    ) -> Reservation {
        let is_spilled = self.is_spill(demand, engine.zone);
        self.count_crossing(last_zone, engine.zone);
        self.engine_mut(engine.index).reserve(demand, now_ms);
        if is_spilled {
            if let Some(zone) = self.zones.get_mut(engine.zone as usize) {
                zone.reserve_spill(demand, now_ms);
            }
        }
        Reservation {
            threads: demand.threads,
            is_spilled,
        }
    }

    /// Releases the reservation of an ended attempt.
    pub(crate) fn release(
        &mut self,
        reservation: Reservation,
        group: GroupIndex,
        engine: PlannedEngine,
    ) {
        if reservation.threads <= 0.0 {
            return;
        }
        if let Some(capacity) = self.engines.get_mut(engine.index.0) {
            capacity.release(reservation.threads);
        }
        if reservation.is_spilled {
            if let Some(zone) = self.zones.get_mut(engine.zone as usize) {
                zone.release_spill(group, reservation.threads);
            }
        }
    }

    /// Takes a token for an attempt in another zone than the last one, or refills the bucket for any other attempt.
    fn count_crossing(&mut self, last_zone: Option<u32>, zone: u32) {
        let refill = match last_zone {
            Some(last_zone) if last_zone != zone => {
                self.cross_zone_tokens = (self.cross_zone_tokens - 1.0).max(0.0);
                return;
            }
            Some(_) => self.cross_zone_retry_ratio,
            None => FIRST_ATTEMPT_REFILL * self.cross_zone_retry_ratio,
        };
        self.cross_zone_tokens = (self.cross_zone_tokens + refill).min(MAX_CROSS_ZONE_TOKENS);
    }

    fn zone_mut(&mut self, zone: u32) -> &mut ZoneState {
        let len = self.zones.len().max(zone as usize + 1);
        self.zones.resize(len, ZoneState::default());
        &mut self.zones[zone as usize]
    }

    fn engine_mut(&mut self, engine: EngineIndex) -> &mut Capacity {
        let len = self.engines.len().max(engine.0 + 1);
        self.engines.resize(len, Capacity::default());
        &mut self.engines[engine.0]
    }
}
