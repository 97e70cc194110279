//! Configuration of rollouts.

use crate::rollout_plan::RolloutPlan;
use tansymux_coordination::disruption_budget::DisruptionBudget;

/// Configuration of the disruption budgets, restart leases and releases of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutConfig {
    /// Disruption budget for dispatchers.
    pub dispatchers: DisruptionBudget,
    /// Disruption budget for engines.
    pub engines: DisruptionBudget,
    /// Canaries, waves and analysis of a release.
    pub plan: RolloutPlan,
    /// Term of a restart lease (ms): the time for a dispatcher to stop, start again and rejoin.
    pub lease_term_ms: f64,
    /// Time for which a new leader collects reports before it decides (ms).
    pub settle_ms: f64,
    /// Time for which a dispatcher that left without a lease counts as unavailable (ms).
    pub left_retention_ms: f64,
    /// Number of dispatchers that must report an engine as failing before it is ejected; `None`: engines are not
    /// ejected.
    pub ejection_witnesses: Option<usize>,
    /// Time for which an engine is ejected (ms).
    pub ejection_term_ms: f64,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        RolloutConfig {
            dispatchers: DisruptionBudget::default(),
            engines: DisruptionBudget::default(),
            plan: RolloutPlan {
                canary_count: 1,
                canary_observation_ms: 60_000.0,
                zone_pause_ms: 0.0,
                max_lost_members: 1,
                ..RolloutPlan::default()
            },
            lease_term_ms: 30_000.0,
            settle_ms: 3000.0,
            left_retention_ms: 60_000.0,
            ejection_witnesses: None,
            ejection_term_ms: 30_000.0,
        }
    }
}
