//! The zone plan: tiers of preference, limits on low work that spills over into other zones, and the recovery ramp of
//! returning engines.
//!
//! Zone routing computes the plan. This module enforces it by counting the threads of attempts in flight; `control`
//! chooses among the admitted engines. Without a plan, all engines are admitted and have the same tier.

#[cfg(test)]
mod tests;

use crate::interner::NameInterner;
use crate::model::{EngineIndex, EngineTable, GroupIndex, Lane};

/// A plan computed by zone routing: zones by name, engines by number, groups in the order of the settings.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZonePlan {
    /// Limits by zone. A zone that is not listed keeps the limits of the previous plan.
    pub zones: Vec<ZoneLimits>,
    /// Limits on this dispatcher's threads per engine, each with the engine's number. An engine that is not listed
    /// keeps the limit of the previous plan.
    pub engines: Vec<(u64, f64)>,
    /// Number of cross-zone retries that each retry within the zone of the previous attempt allows.
    pub cross_zone_retry_ratio: f64,
    /// Whether this dispatcher is itself cut off from the engines. Low work is then rejected instead of being sent to
    /// engines that cannot answer.
    pub isolated: bool,
}

/// The limits of one zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneLimits {
    /// The zone's name.
    pub name: String,
    /// The zone's tier for each group; the lowest tier is preferred.
    pub tiers: Vec<u8>,
    /// Limit on the threads of low work that spill over into the zone from other zones.
    pub max_spill_threads: f64,
    /// Limit on such threads for each group.
    pub max_spill_threads_by_group: Vec<f64>,
}

/// Capacity of the plan that an attempt in flight holds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reservation {
    threads: f64,
    /// Whether the attempt is low work in a zone that is not of the best tier.
    is_spilled: bool,
}

/// Capacity of the token bucket of cross-zone retries.
const MAX_CROSS_ZONE_TOKENS: f64 = 20.0;
/// Tokens for cross-zone retries at the activation of a plan.
const INITIAL_CROSS_ZONE_TOKENS: f64 = 2.0;
/// Factor on the cross-zone retry ratio for the refill by a first attempt. It is small so that first attempts under
/// normal conditions do not accumulate tokens for a retry storm.
const FIRST_ATTEMPT_REFILL_FACTOR: f64 = 0.05;
/// Lower bound of the run time of a query (ms).
const MIN_RUN_TIME_MS: f64 = 1.0;
/// Capacity of the token bucket of thread time, as a number of queries.
const MAX_TOKENS_QUERIES: f64 = 2.0;

/// Capacity of the plan that a query needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    group: GroupIndex,
    lane: Lane,
    threads: f64,
    run_time_ms: f64,
}

impl Demand {
    /// Returns the demand of a query that runs on `threads` threads for `run_time_ms`.
    pub(crate) fn new(group: GroupIndex, lane: Lane, threads: f64, run_time_ms: f64) -> Self {
        Demand {
            group,
            lane,
            threads,
            run_time_ms: run_time_ms.max(MIN_RUN_TIME_MS),
        }
    }

    /// Returns the thread time that the query needs (ms).
    fn thread_time_ms(&self) -> f64 {
        self.threads * self.run_time_ms
    }
}

/// An engine and its zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineLocation {
    pub(crate) index: EngineIndex,
    pub(crate) zone: u32,
}

/// Limit on the threads in flight on an engine or in a zone, and their current number.
///
/// If the limit is below one query, as when many dispatchers share it, a token bucket of thread time determines when a
/// single query may start. On average over time this keeps within the limit.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    max_threads: f64,
    threads_in_flight: f64,
    /// Thread time in the bucket (ms); negative while it is in debt.
    tokens_ms: f64,
    /// Time at which the bucket was last refilled (ms).
    refilled_ms: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            max_threads: f64::INFINITY,
            threads_in_flight: 0.0,
            tokens_ms: 0.0,
            refilled_ms: 0.0,
        }
    }
}

impl Capacity {
    /// Sets the limit. The bucket starts empty if there was no limit before or the limit was zero.
    fn set_limit(&mut self, max_threads: f64, now_ms: f64) {
        if self.max_threads.is_infinite() || self.max_threads <= 0.0 {
            self.tokens_ms = 0.0;
            self.refilled_ms = now_ms;
        }
        self.max_threads = max_threads;
    }

    /// Returns the thread time in the bucket (ms) after a refill up to `now_ms`, at the rate of the limit.
    fn refilled_tokens_ms(&self, demand: &Demand, now_ms: f64) -> f64 {
        let refill_ms = self.max_threads.min(demand.threads) * (now_ms - self.refilled_ms);
        self.tokens_ms + refill_ms
    }

    fn admits(&self, demand: &Demand, now_ms: f64) -> bool {
        if self.threads_in_flight + demand.threads <= self.max_threads {
            return true;
        }
        let tokens_ms = self.refilled_tokens_ms(demand, now_ms);
        let is_idle = self.threads_in_flight <= 0.0 && self.max_threads > 0.0;
        is_idle && tokens_ms >= demand.thread_time_ms()
    }

    fn reserve(&mut self, demand: &Demand, now_ms: f64) {
        if self.max_threads.is_finite() {
            let thread_time_ms = demand.thread_time_ms();
            let tokens_ms = self.refilled_tokens_ms(demand, now_ms);
            let max_tokens_ms = MAX_TOKENS_QUERIES * thread_time_ms;
            self.tokens_ms = (tokens_ms.min(max_tokens_ms) - thread_time_ms).max(-thread_time_ms);
            self.refilled_ms = now_ms;
        }
        self.threads_in_flight += demand.threads;
    }

    fn release(&mut self, threads: f64) {
        self.threads_in_flight = (self.threads_in_flight - threads).max(0.0);
    }
}

/// A zone: its tier for each group, and its capacity for low work from other zones, in total and for each group.
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
        let group_capacity = self.spill_by_group.get(demand.group.0);
        self.spill.admits(demand, now_ms)
            && group_capacity.is_none_or(|capacity| capacity.admits(demand, now_ms))
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

/// The plan in force, and the threads in flight that count against its limits.
#[derive(Debug, Default)]
pub(crate) struct ActiveZonePlan {
    is_active: bool,
    is_isolated: bool,
    zones: Vec<ZoneState>,
    engines: Vec<Capacity>,
    cross_zone_retry_ratio: f64,
    /// Tokens in the bucket of cross-zone retries.
    cross_zone_tokens: f64,
}

impl ActiveZonePlan {
    /// Applies a plan. Reservations of attempts in flight are kept.
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

    /// Removes the plan. Reservations of attempts in flight are kept.
    pub(crate) fn deactivate(&mut self) {
        self.is_active = false;
    }

    /// Returns whether a plan is in force.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Returns the threads of low work in a zone that spilled over from other zones.
    pub(crate) fn spilled_threads(&self, zone: u32) -> f64 {
        let zone = self.zones.get(zone as usize);
        zone.map_or(0.0, |zone| zone.spill.threads_in_flight)
    }

    /// Returns the tier of a zone for a group; the lowest tier is preferred.
    pub(crate) fn tier(&self, zone: u32, group: GroupIndex) -> u8 {
        if !self.is_active {
            return 0;
        }
        let zone = self.zones.get(zone as usize);
        let tier = zone.and_then(|zone| zone.tiers.get(group.0));
        tier.copied().unwrap_or(0)
    }

    /// Returns whether the plan admits a query to an engine.
    pub(crate) fn admits(&self, demand: &Demand, engine: EngineLocation, now_ms: f64) -> bool {
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

    /// Returns whether a query in a zone is low work that spills over, because the zone is not of the best tier.
    fn is_spill(&self, demand: &Demand, zone: u32) -> bool {
        demand.lane == Lane::Low && self.tier(zone, demand.group) > 0
    }

    /// Returns whether the budget of cross-zone retries allows a retry in `zone` after an attempt in `last_zone`.
    pub(crate) fn allows_retry(&self, last_zone: Option<u32>, zone: u32) -> bool {
        let crosses_zones = last_zone.is_some_and(|last_zone| last_zone != zone);
        !(self.is_active && self.cross_zone_tokens < 1.0 && crosses_zones)
    }

    /// Reserves capacity for a new attempt. `last_zone` is the zone of the query's previous attempt, if any.
    pub(crate) fn reserve(
        &mut self,
        demand: &Demand,
        engine: EngineLocation,
        last_zone: Option<u32>,
        now_ms: f64,
    ) -> Reservation {
        let is_spilled = self.is_spill(demand, engine.zone);
        self.update_cross_zone_tokens(last_zone, engine.zone);
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

    /// Releases the reservation of an attempt that is no longer in flight.
    pub(crate) fn release(
        &mut self,
        reservation: Reservation,
        group: GroupIndex,
        engine: EngineLocation,
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

    /// Takes a token for a retry in another zone than the previous attempt; any other attempt refills the bucket.
    fn update_cross_zone_tokens(&mut self, last_zone: Option<u32>, zone: u32) {
        let refill = match last_zone {
            Some(last_zone) if last_zone != zone => {
                self.cross_zone_tokens = (self.cross_zone_tokens - 1.0).max(0.0);
                return;
            }
            Some(_) => self.cross_zone_retry_ratio,
            None => FIRST_ATTEMPT_REFILL_FACTOR * self.cross_zone_retry_ratio,
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
