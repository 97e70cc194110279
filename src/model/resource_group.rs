//! A resource group: its settings, and the costs and run times learned from its queries.

use crate::events::{QueryArrived, ResourceUsage, StatementTraits};
use crate::interner::{Interner, NameInterner};
use crate::model::{Engine, GroupSlowdown, Lane, QueryCost, LEARNING};
use crate::settings::{DedupScope, Effect, GroupSettings};

/// Multiple of the group's mean cost above which a query is demoted to the low lane.
const DEMOTION_FACTOR: f64 = 4.0;
/// Upper bound of the factor by which reported usage corrects estimates. The lower bound is the inverse.
const MAX_USAGE_FACTOR: f64 = 5.0;

/// A resource group: its settings and learned state.
#[derive(Debug, Clone)]
pub(crate) struct ResourceGroup {
    pub(crate) settings: GroupSettings,
    /// Indices of the zones that the group is confined to; `None` for all zones.
    zones: Option<Vec<u32>>,
    /// Indices of the engine kinds that the group is confined to; `None` for all kinds.
    kinds: Option<Vec<u32>>,
    cost: CostModel,
    slowdown: GroupSlowdown,
}

/// The learned cost of a group's queries.
#[derive(Debug, Clone, Copy)]
struct CostModel {
    /// Mean of the queries' estimates or, for queries without an estimate, of the thread times that they took (ms).
    mean_ms: f64,
    /// Number of costs in the mean.
    samples: u32,
    /// Thread time used, as a multiple of its estimate.
    work_factor: f64,
    /// Memory used, as a multiple of its estimate.
    memory_factor: f64,
}

impl CostModel {
    /// Adds a cost to the mean, which is an arithmetic mean at first and an exponential moving mean later.
    fn learn_cost(&mut self, cost_ms: f64) {
        self.samples += 1;
        let step = LEARNING.mean.max(1.0 / f64::from(self.samples));
        self.mean_ms += step * (cost_ms - self.mean_ms);
    }

    /// A query's estimate (ms), moved towards the mean on a log scale: the lower the confidence, the farther.
    fn discount_uncertain(&self, event: &QueryArrived) -> f64 {
        let cost_ms = event.estimated_cost_ms;
        let confidence = event.statement.confidence;
        if confidence >= 1.0 || self.samples == 0 || self.mean_ms <= 0.0 {
            return cost_ms;
        }
        self.mean_ms * (cost_ms / self.mean_ms).powf(confidence.max(0.0))
    }
}

/// Moves a factor towards a ratio. Ignores a ratio that is not positive and finite, because the usage is unknown.
fn learn_factor(factor: &mut f64, ratio: f64) {
    if ratio > 0.0 && ratio.is_finite() {
        let ratio = ratio.clamp(1.0 / MAX_USAGE_FACTOR, MAX_USAGE_FACTOR);
        *factor += LEARNING.mean * (ratio - *factor);
    }
}

impl ResourceGroup {
    /// A resource group before its first query.
    pub(crate) fn new(settings: GroupSettings, interner: &mut Interner) -> Self {
        let zones = intern_names(&settings.zones, &mut interner.zones);
        let kinds = intern_names(&settings.kinds, &mut interner.kinds);
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

    /// Number of threads that a query of the group runs on.
    pub(crate) fn threads(&self) -> f64 {
        self.settings.threads
    }

    /// Whether the group's queries wait while a load query locks their tables.
    pub(crate) fn needs_unlocked_tables(&self) -> bool {
        self.settings.waits_for_loads || self.settings.is_load
    }

    /// The lane of a query that is not demoted.
    fn lane(&self) -> Lane {
        if self.settings.is_load || self.settings.threads > 1.0 {
            Lane::Low
        } else {
            Lane::Fast
        }
    }

    /// The effect of a statement: that of the group, except that a statement that may write is non-idempotent in a
    /// read-only group. A group's idempotency keys also apply to statements that may write.
    pub(crate) fn effect_of(&self, statement: StatementTraits) -> Effect {
        if statement.may_write && self.settings.effect == Effect::ReadOnly {
            Effect::NonIdempotent
        } else {
            self.settings.effect
        }
    }

    /// Latency objective (ms) of a query with `work_ms` of thread time.
    fn objective_ms(&self, work_ms: f64) -> f64 {
        self.settings.objective_ms
            + self.settings.objective_stretch * work_ms / self.settings.threads
    }

    /// Returns the lane and cost of a query, and adds its estimate to the group's mean. `demotion_factor` comes from
    /// the service level.
    ///
    /// Only this function demotes queries. It caps the estimate that enters the mean at the demotion threshold, so that
    /// demoted queries do not raise the threshold much. A query without an estimate gets the group's usual cost.
    pub(crate) fn classify(
        &mut self,
        event: &QueryArrived,
        demotion_factor: f64,
    ) -> (Lane, QueryCost) {
        if event.estimated_cost_ms <= 0.0 {
            let cost = QueryCost::without_estimate(self.usual_cost_ms(), self.threads(), event);
            return (self.lane(), cost);
        }
        let mut max_cost_ms = f64::INFINITY;
        if self.cost.samples >= LEARNING.min_samples {
            max_cost_ms = DEMOTION_FACTOR * demotion_factor * self.cost.mean_ms;
        }
        let estimate_ms = self.cost.discount_uncertain(event);
        self.cost.learn_cost(estimate_ms.min(max_cost_ms));
        let is_demoted = estimate_ms > max_cost_ms;
        let lane = if is_demoted { Lane::Low } else { self.lane() };
        let work_ms = estimate_ms * self.cost.work_factor;
        (lane, QueryCost::estimated(estimate_ms, work_ms, event))
    }

    /// Learns from the run time of an answer, and returns how far it exceeds the group's best (log ratio).
    ///
    /// For a query without an estimate, the mean cost so far takes the place of the estimate. The result is `None` if
    /// there is no mean yet.
    pub(crate) fn learn_run_time(&mut self, cost: QueryCost, latency_ms: f64) -> Option<f64> {
        let mut cost_ms = cost.estimate_ms;
        if cost.has_no_estimate {
            let is_first = self.cost.samples == 0;
            cost_ms = self.cost.mean_ms;
            self.cost.learn_cost(latency_ms * self.threads());
            if is_first {
                return None;
            }
        }
        let thread_time_ms = latency_ms.max(LEARNING.min_time_ms) * self.threads();
        let ratio = (thread_time_ms / cost_ms.max(LEARNING.min_time_ms)).ln();
        Some(self.slowdown.record_ratio(ratio))
    }

    /// Learns from the run time that an attempt's progress notes predict, and returns how far it exceeds the group's
    /// best (log ratio). The result is `None` without a prediction or an estimate, and before the group's first answer.
    pub(crate) fn learn_progress(&mut self, cost: QueryCost, run_time_ms: f64) -> Option<f64> {
        if run_time_ms <= 0.0 || cost.estimate_ms <= 0.0 || !self.slowdown.has_samples() {
            return None;
        }
        let ratio = (run_time_ms * self.threads() / cost.estimate_ms).ln();
        Some(self.slowdown.record_predicted_ratio(ratio))
    }

    /// Learns from the resource usage that an engine reported.
    pub(crate) fn learn_usage(&mut self, cost: QueryCost, used: Option<ResourceUsage>) {
        let Some(used) = used else {
            return;
        };
        let work_ratio = used.thread_ms / cost.estimate_ms;
        let memory_ratio = used.memory_mb / cost.memory_mb;
        learn_factor(&mut self.cost.work_factor, work_ratio);
        learn_factor(&mut self.cost.memory_factor, memory_ratio);
    }

    /// Run time of a query on an idle engine (ms), from its estimate alone.
    fn unloaded_run_time_ms(&self, cost: QueryCost) -> f64 {
        cost.estimate_ms / self.threads()
    }

    /// Best run time of a query (ms), from its estimate and the group's best ratio.
    pub(crate) fn best_run_time_ms(&self, cost: QueryCost) -> f64 {
        self.unloaded_run_time_ms(cost) * self.slowdown.best().exp()
    }

    /// Expected memory of a query (MB), from its estimate and the usage that engines reported.
    pub(crate) fn memory_mb(&self, cost: QueryCost) -> f64 {
        cost.memory_mb * self.cost.memory_factor
    }

    /// The amount by which a ratio may exceed the group's best without showing a slowdown (log ratio).
    pub(crate) fn tolerated_scatter(&self) -> f64 {
        self.slowdown.tolerated_scatter()
    }

    /// Expected run time of a query (ms), from its estimate and the running median of the group's ratios.
    pub(crate) fn expected_run_time_ms(&self, cost: QueryCost) -> f64 {
        self.unloaded_run_time_ms(cost) * self.slowdown.median().exp()
    }

    /// Latency objective of a query (ms), from its estimate and the usage that engines reported.
    pub(crate) fn latency_objective_ms(&self, cost: QueryCost) -> f64 {
        self.objective_ms(cost.estimate_ms * self.cost.work_factor)
    }

    /// The mean cost (thread time, ms); before the first sample, the thread time that the latency objective allows.
    fn usual_cost_ms(&self) -> f64 {
        if self.cost.samples > 0 {
            self.cost.mean_ms
        } else {
            self.settings.objective_ms * self.settings.threads
        }
    }

    /// The usual work of a query (thread time, ms), from estimates, reported usage and the best run times.
    pub(crate) fn usual_work_ms(&self) -> f64 {
        if self.cost.samples == 0 {
            return self.usual_cost_ms();
        }
        let best_ratio = self.slowdown.best().exp();
        self.cost.mean_ms * self.cost.work_factor.max(best_ratio).max(1.0)
    }

    /// Whether the settings allow the group on an engine of this zone and kind.
    pub(crate) fn may_use(&self, engine: &Engine) -> bool {
        is_within(&self.zones, engine.zone) && is_within(&self.kinds, engine.kind)
    }

    /// Whether engine `other` or, if it is `None`, every engine recognizes an idempotency key that engine `first` has
    /// seen.
    pub(crate) fn shares_dedup(&self, first: &Engine, other: Option<&Engine>) -> bool {
        match self.settings.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => other.is_some_and(|other| other.zone == first.zone),
            DedupScope::Cell => other.is_some_and(|other| other.cell == first.cell),
        }
    }

    /// The group's slowdown statistics, for tests to set.
    #[cfg(test)]
    pub(crate) fn slowdown_mut(&mut self) -> &mut GroupSlowdown {
        &mut self.slowdown
    }
}

/// The indices of a list of names; `None` without a list.
fn intern_names(names: &Option<Vec<String>>, interner: &mut NameInterner) -> Option<Vec<u32>> {
    let names = names.as_ref()?;
    Some(names.iter().map(|name| interner.index(name)).collect())
}

/// Whether a list contains an index; true without a list.
fn is_within(allowed: &Option<Vec<u32>>, index: u32) -> bool {
    allowed
        .as_ref()
        .is_none_or(|allowed| allowed.contains(&index))
}
