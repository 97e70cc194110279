//! A resource group: its settings, and what was learned from its answers.

use crate::events::{QueryArrived, ResourceUsage, StatementTraits};
use crate::interner::Interner;
use crate::model::{step_towards, Engine, GroupSlowdown, Lane, QueryCost, LEARNING};
use crate::settings::{DedupScope, Effect, GroupSettings};

/// Upper bound of the factor by which reported usage corrects estimates; its inverse is the lower bound.
const MAX_USAGE_FACTOR: f64 = 5.0;

/// A resource group.
#[derive(Debug, Clone)]
pub(crate) struct ResourceGroup {
    pub(crate) settings: GroupSettings,
    /// The zones that the group is confined to.
    zones: Option<Vec<u32>>,
    /// The kinds of engines that the group is confined to.
    kinds: Option<Vec<u32>>,
    pub(crate) cost: CostModel,
    pub(crate) slowdown: GroupSlowdown,
}

/// What a group's queries cost, as learned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostModel {
    /// Mean estimate (thread time, ms).
    pub(crate) mean_ms: f64,
    /// Queries in the mean.
    pub(crate) samples: u32,
    /// Thread time used, as a factor of its estimate.
    pub(crate) work_factor: f64,
    /// Memory used, as a factor of its estimate.
    pub(crate) memory_factor: f64,
}

impl CostModel {
    /// Records a cost in the mean: a plain mean at first, a moving one later.
    pub(crate) fn learn_cost(&mut self, cost_ms: f64) {
        self.samples += 1;
        let step = LEARNING.mean.max(1.0 / f64::from(self.samples));
        self.mean_ms += step * (cost_ms - self.mean_ms);
    }

    /// The estimate of a query, moved towards the mean (on a log scale) by how uncertain it is.
    pub(crate) fn discount_uncertain(&self, event: &QueryArrived) -> f64 {
        let cost_ms = event.estimated_cost_ms;
        let confidence = event.statement.confidence;
        if confidence >= 1.0 || self.samples == 0 || self.mean_ms <= 0.0 {
            return cost_ms;
        }
        self.mean_ms * (cost_ms / self.mean_ms).powf(confidence.max(0.0))
    }
}

/// Moves a factor towards a ratio. A ratio that is 0 or not finite is unknown and ignored.
fn learn_factor(factor: &mut f64, ratio: f64) {
    if ratio > 0.0 && ratio.is_finite() {
        let ratio = ratio.clamp(1.0 / MAX_USAGE_FACTOR, MAX_USAGE_FACTOR);
        *factor += LEARNING.mean * (ratio - *factor);
    }
}

impl ResourceGroup {
    pub(crate) fn new(settings: GroupSettings, interner: &mut Interner) -> Self {
        let mut zones = None;
        if let Some(names) = &settings.zones {
            zones = Some(
                names
                    .iter()
                    .map(|name| interner.zones.index(name))
                    .collect(),
            );
        }
        let mut kinds = None;
        if let Some(names) = &settings.kinds {
            kinds = Some(
                names
                    .iter()
                    .map(|name| interner.kinds.index(name))
                    .collect(),
            );
        }
        interner.groups.index(&settings.name);
        ResourceGroup {
            settings,
            zones,
            kinds,
            cost: CostModel {
                mean_ms: 0.0,
                samples: 0,
                work_factor: 1.0,
                memory_factor: 1.0,
            },
            slowdown: GroupSlowdown::default(),
        }
    }

    /// Threads that a query of the group runs on.
    pub(crate) fn threads(&self) -> f64 {
        self.settings.threads
    }

    /// Whether its queries wait while a load locks their tables.
    pub(crate) fn needs_unlocked_tables(&self) -> bool {
        self.settings.waits_for_loads || self.settings.is_load
    }

    /// The lane of a query that is not demoted.
    pub(crate) fn lane(&self) -> Lane {
        if self.settings.is_load || self.settings.threads > 1.0 {
            Lane::Low
        } else {
            Lane::Fast
        }
    }

    /// The effect of a statement. One that may write counts as non-idempotent where its group promises to read only; a
    /// group's idempotency keys still count.
    pub(crate) fn effect_of(&self, statement: StatementTraits) -> Effect {
        if statement.may_write && self.settings.effect == Effect::ReadOnly {
            Effect::NonIdempotent
        } else {
            self.settings.effect
        }
    }

    /// Latency objective (ms) of a query with so much work.
    fn objective_ms(&self, work_ms: f64) -> f64 {
        self.settings.objective_ms
            + self.settings.objective_stretch * work_ms / self.settings.threads
    }

    /// Learns from the run time of an answer, and returns how far it lies above the group's best (log ratio).
    ///
    /// Without an estimate an answer counts against those before it, and the first against none.
    pub(crate) fn learn_run_time(&mut self, cost: QueryCost, latency_ms: f64) -> Option<f64> {
        let mut cost_ms = cost.estimate_ms;
        if cost.is_guess {
            let is_first = self.cost.samples == 0;
            cost_ms = self.cost.mean_ms;
            self.cost.learn_cost(latency_ms * self.threads());
            if is_first {
                return None;
            }
        }
        let thread_time_ms = latency_ms.max(LEARNING.min_time_ms) * self.threads();
        let ratio = (thread_time_ms / cost_ms.max(LEARNING.min_time_ms)).ln();
        Some(self.slowdown.learn(ratio))
    }

    /// Learns from the run time that an attempt's notes predict, and returns how far it lies above the group's best.
    pub(crate) fn learn_progress(&mut self, cost: QueryCost, run_time_ms: f64) -> Option<f64> {
        if run_time_ms <= 0.0 || cost.estimate_ms <= 0.0 || self.slowdown.samples == 0 {
            return None;
        }
        let ratio = (run_time_ms * self.threads() / cost.estimate_ms).ln();
        step_towards(&mut self.slowdown.usual, ratio, LEARNING.median);
        Some(ratio - self.slowdown.best)
    }

    /// Learns from the usage that an engine reported.
    pub(crate) fn learn_usage(&mut self, cost: QueryCost, used: Option<ResourceUsage>) {
        let Some(used) = used else {
            return;
        };
        let work_ratio = used.thread_ms / cost.estimate_ms;
        let memory_ratio = used.memory_mb / cost.memory_mb;
        learn_factor(&mut self.cost.work_factor, work_ratio);
        learn_factor(&mut self.cost.memory_factor, memory_ratio);
    }

    /// Unloaded run time of a query by its estimate (ms).
    pub(crate) fn unloaded_run_time_ms(&self, cost: QueryCost) -> f64 {
        cost.estimate_ms / self.threads()
    }

    /// Expected run time of a query (ms), by its estimate and the median slowdown of recent answers.
    pub(crate) fn expected_run_time_ms(&self, cost: QueryCost) -> f64 {
        self.unloaded_run_time_ms(cost) * self.slowdown.usual.exp()
    }

    /// Latency objective (ms) of a query, by its estimate and the usage that was reported.
    pub(crate) fn objective_of(&self, cost: QueryCost) -> f64 {
        self.objective_ms(cost.estimate_ms * self.cost.work_factor)
    }

    /// The mean cost (ms); before the first query, the thread time that the objective allows.
    pub(crate) fn usual_cost_ms(&self) -> f64 {
        if self.cost.samples > 0 {
            self.cost.mean_ms
        } else {
            self.settings.objective_ms * self.settings.threads
        }
    }

    /// The usual work of a query (ms), by estimates, reported usage and the best run times.
    pub(crate) fn usual_work_ms(&self) -> f64 {
        if self.cost.samples == 0 {
            return self.usual_cost_ms();
        }
        let best_ratio = self.slowdown.best.exp();
        self.cost.mean_ms * self.cost.work_factor.max(best_ratio).max(1.0)
    }

    /// Whether the settings let the group use an engine, by its zone and kind.
    pub(crate) fn may_use(&self, engine: &Engine) -> bool {
        is_within(&self.zones, engine.zone) && is_within(&self.kinds, engine.kind)
    }

    /// Whether an idempotency key that `first` saw is also known to `other`.
    pub(crate) fn shares_dedup(&self, first: &Engine, other: Option<&Engine>) -> bool {
        match self.settings.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => other.is_some_and(|other| other.zone == first.zone),
            DedupScope::Cell => other.is_some_and(|other| other.cell == first.cell),
        }
    }
}

fn is_within(allowed: &Option<Vec<u32>>, index: u32) -> bool {
    allowed
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&index))
}
