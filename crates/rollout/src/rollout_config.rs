//! What is configured for rollouts.

use crate::rollout_plan::RolloutPlan;
use tansymux_coordination::disruption_budget::DisruptionBudget;

/// Budgets, leases and releases of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutConfig {
    /// Budget for dispatchers.
    pub dispatchers: DisruptionBudget,
    /// Budget for engines.
    pub engines: DisruptionBudget,
    /// How releases proceed.
    pub plan: RolloutPlan,
    /// Term of a restart lease (ms): ended, started again and back within it.
    pub lease_term_ms: f64,
    /// How long a new leader collects reports before it decides (ms).
    pub settle_ms: f64,
    /// A dispatcher that left by itself and without a lease counts as unavailable for this long (ms).
    pub left_retention_ms: f64,
    /// This many dispatchers have to find an engine failing before it is ejected; none: never.
    pub ejection_witnesses: Option<usize>,
    /// How long an engine stays ejected (ms).
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
