//! Placement: which of the engines that a query may use gets it, and whether the low lane has headroom there.
//!
//! Uses the pool view (pressure and headroom), engine health, stalls, the zone plan, the low lane and the service level.

use crate::control::Control;
use crate::events::{DecisionSink, EndReason};
use crate::model::{EngineIndex, Lane, QueryIndex};
use crate::zone_plan::{Demand, PlannedEngine};

/// Which engines are candidates, in the order in which these sets are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
enum Selection {
    /// Eligible engines that the query has not tried, whose tables no load locks and where its group does not stall.
    Fresh,
    /// All eligible engines.
    Eligible,
    /// All engines that the rules allow, where none is eligible.
    Allowed,
}

impl Control {
    /// Sends the query to an engine, or ends it where there is none for it.
    pub(super) fn place(&mut self, query: QueryIndex, out: &mut dyn DecisionSink) {
        match self.choose_engine(query) {
            Some(engine) => self.submit(query, engine, out),
            None => self.finish(query, EndReason::NoEngine, out),
        }
    }

    fn choose_engine(&mut self, query: QueryIndex) -> Option<EngineIndex> {
        let is_low = self.queries[query].lane == Lane::Low;
        let pool_has_room = is_low && self.pool_has_room(query);
        let mut candidates = std::mem::take(&mut self.candidates);
        let mut has_eligible = false;
        for selection in [Selection::Fresh, Selection::Eligible, Selection::Allowed] {
            candidates.clear();
            for engine in self.engines.indices() {
                if !self.is_selected(query, engine, selection) || !self.may_submit(query, engine) {
                    continue;
                }
                has_eligible |= self.is_eligible(query, engine);
                if !is_low || self.has_headroom(query, engine, pool_has_room) {
                    candidates.push(engine);
                }
            }
            if !candidates.is_empty() || selection == Selection::Eligible && has_eligible {
                break;
            }
        }
        let choice = self.choose_of_two(query, &mut candidates);
        self.candidates = candidates;
        choice
    }

    fn is_selected(&self, query: QueryIndex, engine: EngineIndex, selection: Selection) -> bool {
        if selection == Selection::Fresh && !self.is_fresh(query, engine) {
            return false;
        }
        if selection < Selection::Allowed {
            return self.is_eligible(query, engine) && self.plan_admits(query, engine);
        }
        // The zone plan excludes low work always, and the fast lane only while there is any other engine.
        self.queries[query].lane == Lane::Fast || self.plan_admits(query, engine)
    }

    /// Whether outlier detection lets a query go to an engine.
    fn is_eligible(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let has_health_checks = self.settings.capabilities.health_checks;
        let health = &self.engines[engine].health;
        health.admits(&self.queries[query], has_health_checks, self.now_ms)
    }

    fn is_fresh(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let group = self.queries[query].group;
        let stalls = &self.engines[engine].stalls;
        !self.queries[query].has_tried(engine)
            && !self.is_locked_out(query, engine)
            && !stalls.is_stalled(group, self.now_ms)
    }

    /// Whether a load on an engine locks tables that a query needs.
    fn is_locked_out(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let query = &self.queries[query];
        let needs_tables = self.group_of(query).needs_unlocked_tables();
        needs_tables
            && self.engines[engine]
                .load
                .has_lock(query.tables, self.now_ms)
    }

    /// Power of two choices: the one of two random engines of the best tier that has less work a core.
    ///
    /// The first is drawn from all candidates, the second from the local zone. Both are local while an engine there has
    /// spare capacity: crossing zones costs network time and saves no waiting then.
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
        let from_all = engines[self.rng.below(engines.len())];
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
        let first = if stays_local { first_local } else { from_all };
        let is_lighter = self.work_with(query, first) < self.work_with(query, second);
        Some(if is_lighter { first } else { second })
    }

    /// The zone plan's tier of an engine for a query; the lowest is the best.
    fn tier(&self, query: QueryIndex, engine: EngineIndex) -> u8 {
        let zone = self.engines[engine].zone;
        self.zone_plan.tier(zone, self.queries[query].group)
    }

    fn is_local(&self, engine: EngineIndex) -> bool {
        Some(self.engines[engine].zone) == self.local_zone
    }

    /// The work a core (ms) that an engine would have with a query.
    fn work_with(&self, query: QueryIndex, engine: EngineIndex) -> f64 {
        let work_ms = self.queries[query].cost.work_ms;
        let peer_thread_ms = self.low_lane.mean_work_per_thread_ms();
        self.engines[engine].work_per_core_ms(work_ms, peer_thread_ms)
    }

    /// Whether the concurrency limit of the low lane lets a query go to an engine.
    ///
    /// The limit binds under pressure only, and an engine without low queries takes one all the same. Where a share of
    /// an engine is less than one query, that exception would let every dispatcher put one on each engine: under
    /// pressure it needs `pool_has_room`.
    fn has_headroom(&self, query: QueryIndex, engine: EngineIndex, pool_has_room: bool) -> bool {
        let fraction = self.level.headroom_fraction(&self.queries[query]);
        if fraction <= 0.0 || self.is_locked_out(query, engine) {
            return false;
        }
        let pool = self.pool();
        let is_below_pressure = !pool.is_under_pressure(engine);
        if self.engines[engine].load.has_no_low() && (is_below_pressure || pool_has_room) {
            return true;
        }
        let query = &self.queries[query];
        let is_within_limit = self.group_of(query).threads() <= fraction * pool.headroom(engine);
        // What a tenant sends beyond its quota needs both.
        if query.is_over_quota {
            return is_within_limit && is_below_pressure;
        }
        is_within_limit || is_below_pressure
    }

    /// Whether the sum of this dispatcher's limits has room for a low query.
    ///
    /// Where the sum is less than one query, one may start while none is in flight and the token bucket is not in debt:
    /// over time that keeps to the sum.
    fn pool_has_room(&self, query: QueryIndex) -> bool {
        let may_start_one = self.low_lane.has_tokens() && !self.engines.has_low_attempts();
        let threads = self.group_of(&self.queries[query]).threads();
        may_start_one || self.pool().total_headroom() >= threads
    }

    /// Whether the zone plan lets a query go to an engine. Half-open trials are exempt from the plan.
    fn plan_admits(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let lane = self.queries[query].lane;
        let is_trial = self.engines[engine].health.is_ejected() && lane == Lane::Fast;
        if !self.zone_plan.is_active() || is_trial {
            return true;
        }
        let demand = self.demand_of(query);
        self.zone_plan
            .admits(&demand, self.planned(engine), self.now_ms)
    }

    /// What a query takes of the zone plan's capacity.
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

    /// An engine as the zone plan refers to it.
    pub(super) fn planned(&self, engine: EngineIndex) -> PlannedEngine {
        PlannedEngine {
            index: engine,
            zone: self.engines[engine].zone,
        }
    }
}
