//! Placement: chooses an engine for a query, among those that the rules, outlier detection, the zone plan and, for the
//! low lane, headroom allow.
//!
//! Uses the pool view (pressure and headroom), engine health, stalls, the zone plan, the low lane and the service
//! level.

use crate::control::Control;
use crate::events::{DecisionSink, EndReason};
use crate::model::{EngineIndex, Lane, QueryIndex};
use crate::zone_plan::{Demand, EngineLocation};

/// Sets of candidate engines, in the order in which they are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
enum CandidateSet {
    /// Eligible engines that the query has not tried, where no load locks its tables and its group does not stall.
    Preferred,
    /// All eligible engines: those that outlier detection and the zone plan admit.
    Eligible,
    /// All engines that the rules allow, used if none is eligible.
    Allowed,
}

impl Control {
    /// Submits a query to an engine, or ends the query if no engine may run it.
    pub(super) fn place(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        match self.choose_engine(query) {
            Some(engine) => self.submit(query, engine, out),
            None => self.reject_or_fail(query, EndReason::NoEngine, out),
        }
    }

    fn choose_engine(&mut self, query: QueryIndex) -> Option<EngineIndex> {
        let is_low = self.queries[query].lane == Lane::Low;
        let pool_has_room = is_low && self.pool_has_room(query);
        let mut candidates = std::mem::take(&mut self.candidates);
        let mut has_eligible = false;
        for set in [
            CandidateSet::Preferred,
            CandidateSet::Eligible,
            CandidateSet::Allowed,
        ] {
            candidates.clear();
            for engine in self.engines.indices() {
                if !self.is_candidate(query, engine, set) || !self.may_submit(query, engine) {
                    continue;
                }
                has_eligible |= self.health_admits(query, engine);
                if !is_low || self.has_headroom(query, engine, pool_has_room) {
                    candidates.push(engine);
                }
            }
            if !candidates.is_empty() || set == CandidateSet::Eligible && has_eligible {
                break;
            }
        }
        let choice = self.choose_of_two(query, &mut candidates);
        self.candidates = candidates;
        choice
    }

    fn is_candidate(&self, query: QueryIndex, engine: EngineIndex, set: CandidateSet) -> bool {
        if set == CandidateSet::Preferred && !self.is_preferred(query, engine) {
            return false;
        }
        if set < CandidateSet::Allowed {
            return self.health_admits(query, engine) && self.plan_admits(query, engine);
        }
        // The zone plan always binds low work. It binds the fast lane only while it admits an eligible engine.
        self.queries[query].lane == Lane::Fast || self.plan_admits(query, engine)
    }

    /// Returns whether outlier detection admits a query to an engine.
    fn health_admits(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let has_health_checks = self.settings.capabilities.health_checks;
        let health = &self.engines[engine].health;
        health.admits(&self.queries[query], has_health_checks, self.now_ms)
    }

    fn is_preferred(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let group = self.queries[query].group;
        let stalls = &self.engines[engine].stalls;
        !self.queries[query].has_tried(engine)
            && !self.has_table_lock_conflict(query, engine)
            && !stalls.is_stalled(group, self.now_ms)
    }

    /// Returns whether a load on an engine locks tables that a query needs.
    fn has_table_lock_conflict(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let query = &self.queries[query];
        let needs_tables = self.group_of(query).needs_unlocked_tables();
        needs_tables
            && self.engines[engine]
                .load
                .has_lock(query.tables, self.now_ms)
    }

    /// Power of two choices: draws two engines of the best tier and returns the one with less work per core.
    ///
    /// The first engine is drawn from all candidates, the second from the local zone if it has candidates. Both are
    /// local while an engine of the local zone has spare capacity: a remote engine would then add network time and save
    /// no waiting.
    fn choose_of_two(
        &mut self,
        query: QueryIndex,
        engines: &mut Vec<EngineIndex>,
    ) -> Option<EngineIndex> {
        let best_tier = engines
            .iter()
            .map(|&engine| self.tier(query, engine))
            .min()?;
        engines.retain(|&engine| self.tier(query, engine) == best_tier);
        let first_of_any_zone = engines[self.rng.below(engines.len())];
        let has_local = engines.iter().any(|&engine| self.is_local(engine));
        if has_local {
            engines.retain(|&engine| self.is_local(engine));
        }
        let pool = self.pool();
        let stays_local = has_local
            && engines
                .iter()
                .any(|&engine| pool.has_spare_capacity(engine));
        let first_local = engines[self.rng.below(engines.len())];
        let second = engines[self.rng.below(engines.len())];
        let first = if stays_local {
            first_local
        } else {
            first_of_any_zone
        };
        let is_first_lighter =
            self.work_per_core_with(query, first) < self.work_per_core_with(query, second);
        Some(if is_first_lighter { first } else { second })
    }

    /// Returns the zone plan's tier of an engine for a query; the lowest is the best.
    fn tier(&self, query: QueryIndex, engine: EngineIndex) -> u8 {
        let zone = self.engines[engine].zone;
        self.zone_plan.tier(zone, self.queries[query].group)
    }

    fn is_local(&self, engine: EngineIndex) -> bool {
        Some(self.engines[engine].zone) == self.local_zone
    }

    /// Returns the work per core (ms) that an engine would have with the query added.
    fn work_per_core_with(&self, query: QueryIndex, engine: EngineIndex) -> f64 {
        let work_ms = self.queries[query].cost.work_ms;
        let work_per_peer_thread_ms = self.low_lane.mean_work_per_thread_ms();
        self.engines[engine].work_per_core_ms(work_ms, work_per_peer_thread_ms)
    }

    /// Returns whether the low lane's concurrency limit admits a query to an engine.
    ///
    /// The limit binds only under pressure, and an engine without low queries takes one even beyond it. If a
    /// dispatcher's share of an engine is less than one query, this exception would let every dispatcher put a query on
    /// every engine. Under pressure it therefore requires `pool_has_room`.
    fn has_headroom(&self, query: QueryIndex, engine: EngineIndex, pool_has_room: bool) -> bool {
        let fraction = self.level.headroom_fraction(&self.queries[query]);
        if fraction <= 0.0 || self.has_table_lock_conflict(query, engine) {
            return false;
        }
        let pool = self.pool();
        let is_below_pressure = !pool.is_under_pressure(engine);
        if self.engines[engine].load.has_no_low_attempts() && (is_below_pressure || pool_has_room) {
            return true;
        }
        let query = &self.queries[query];
        let is_within_limit = self.group_of(query).threads() <= fraction * pool.headroom(engine);
        // A query beyond its tenant's quota must satisfy both conditions.
        if query.is_over_quota {
            return is_within_limit && is_below_pressure;
        }
        is_within_limit || is_below_pressure
    }

    /// Returns whether the sum of this dispatcher's concurrency limits has room for a low query.
    ///
    /// If the sum is less than one query needs, a query may start while no other low query is in flight and the token
    /// bucket is not in debt. On average over time, the low lane's threads then stay within the sum.
    fn pool_has_room(&self, query: QueryIndex) -> bool {
        let may_start_one = self.low_lane.has_tokens() && !self.engines.has_low_attempts();
        let threads = self.group_of(&self.queries[query]).threads();
        may_start_one || self.pool().total_headroom() >= threads
    }

    /// Returns whether the zone plan admits a query to an engine. Half-open trials are exempt from the plan.
    fn plan_admits(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let lane = self.queries[query].lane;
        let is_trial = self.engines[engine].health.is_ejected() && lane == Lane::Fast;
        if !self.zone_plan.is_active() || is_trial {
            return true;
        }
        let demand = self.demand_of(query);
        self.zone_plan
            .admits(&demand, self.location_of(engine), self.now_ms)
    }

    /// Returns the capacity of the zone plan that a query needs.
    pub(super) fn demand_of(&self, query: QueryIndex) -> Demand {
        let run_time_ms = self.expected_run_time_ms(query);
        let query = &self.queries[query];
        Demand::new(
            query.group,
            query.lane,
            self.group_of(query).threads(),
            run_time_ms,
        )
    }

    /// Returns the index and zone of an engine, by which the zone plan identifies it.
    pub(super) fn location_of(&self, engine: EngineIndex) -> EngineLocation {
        EngineLocation {
            index: engine,
            zone: self.engines[engine].zone,
        }
    }
}
