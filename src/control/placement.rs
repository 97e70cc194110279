//! Placement: which of the engines that a query may use gets it, and whether the low lane has headroom there.

use crate::events::{DecisionSink, EndReason};
use crate::model::{Control, EngineIndex, Lane, QueryIndex};

/// Which engines are candidates, in the order in which these are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
enum Selection {
    /// Eligible ones that it has not tried, where no load locks its tables and its group does not stall.
    Fresh,
    /// All eligible ones.
    Eligible,
    /// Any that the rules allow, where none is eligible.
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
            for engine in self.engine_indices() {
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
        let choice = self.draw(query, &mut candidates);
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
        // A plan for zones keeps low work out, and the fast lane while there is any other engine.
        self.queries[query].lane == Lane::Fast || self.plan_admits(query, engine)
    }

    /// Whether outlier detection lets a query go to an engine.
    fn is_eligible(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let has_health_checks = self.settings.capabilities.health_checks;
        let health = &self.engines[engine].health;
        health.admits(&self.queries[query], has_health_checks, self.now_ms)
    }

    /// Whether attempts of the query's group stall on an engine.
    fn is_stalled(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        let group = self.queries[query].group;
        self.engines[engine].stalls.is_stalled(group, self.now_ms)
    }

    fn is_fresh(&self, query: QueryIndex, engine: EngineIndex) -> bool {
        !self.queries[query].has_tried(engine)
            && !self.is_locked_out(query, engine)
            && !self.is_stalled(query, engine)
    }

    /// Takes the lighter of two engines of the best tier: one drawn from all, one from the local zone. Both
    /// are local while an engine there is at ease, as crossing zones costs, and gains nothing then.
    fn draw(&mut self, query: QueryIndex, engines: &mut Vec<EngineIndex>) -> Option<EngineIndex> {
        let tier = |control: &Control, engine: EngineIndex| control.zone_tier(query, engine);
        let best_tier = engines.iter().map(|&engine| tier(self, engine)).min()?;
        engines.retain(|&engine| tier(self, engine) == best_tier);
        let from_all = engines[self.rng.below(engines.len())];
        let has_local = engines.iter().any(|&engine| self.is_local(engine));
        if has_local {
            engines.retain(|&engine| self.is_local(engine));
        }
        let stays_local = has_local && engines.iter().any(|&engine| self.is_at_ease(engine));
        let first_local = engines[self.rng.below(engines.len())];
        let second = engines[self.rng.below(engines.len())];
        let first = if stays_local { first_local } else { from_all };
        let is_lighter = self.weight(query, first) < self.weight(query, second);
        Some(if is_lighter { first } else { second })
    }

    fn is_at_ease(&self, engine: EngineIndex) -> bool {
        self.headroom(engine) >= 0.0 && !self.is_under_pressure(engine)
    }

    /// The concurrency limit of the low lane. It binds under pressure only, and never keeps out the only low
    /// query. Where an even share of an engine is less than a query, that exception would let every
    /// dispatcher put one on each: under pressure it is suspended while our low threads use up the sum of our
    /// limits.
    fn has_headroom(&self, query: QueryIndex, engine: EngineIndex, pool_has_room: bool) -> bool {
        let fraction = self.level.headroom_fraction(&self.queries[query]);
        if fraction <= 0.0 || self.is_locked_out(query, engine) {
            return false;
        }
        let is_relaxed = !self.is_under_pressure(engine);
        if self.engines[engine].load.has_no_low() && (is_relaxed || pool_has_room) {
            return true;
        }
        let is_within = self.group_of(query).threads() <= fraction * self.headroom(engine);
        // What a tenant sends beyond its quota has room only where both the limit and the engine allow.
        if self.queries[query].is_over_quota {
            return is_within && is_relaxed;
        }
        is_within || is_relaxed
    }

    /// Whether the sum of our limits has room for a low query. Where that is less than one query, one may
    /// enter while none is in flight, as often as keeps to the sum over time.
    fn pool_has_room(&self, query: QueryIndex) -> bool {
        let may_start_one = self.low_lane.has_tokens() && !self.has_low_attempts();
        may_start_one || self.pool_headroom() >= self.group_of(query).threads()
    }
}
