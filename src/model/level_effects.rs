//! The effects of a service level on the decisions about queries.

use crate::model::Query;
use crate::pcg::Pcg;

/// The effects of a service level. The default is full service, without effects.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelEffects {
    /// Factor on the concurrency limits of the low lane.
    pub concurrency_factor: f64,
    /// Factor on the multiple of the mean cost above which a query is demoted.
    pub demotion_factor: f64,
    /// Factor on memory grants in excess of the estimated need.
    pub grant_factor: f64,
    /// Factor on the time after which a rejected client may retry.
    pub retry_after_factor: f64,
    /// Spread of the random jitter on `retry_after_ms`, as a fraction of the time without jitter.
    pub retry_after_jitter: f64,
    /// Queries in the low lane get no retries.
    pub withhold_low_retries: bool,
    /// Queries in the low lane of tenants over their quota are rejected.
    pub reject_over_quota: bool,
    /// Minimum confidence in the cost of a query in the low lane, from 0 to 1; queries below it are rejected.
    pub min_confidence: f64,
    /// Fraction of the headroom that a group's queries in the low lane may use, by group index; 1 for groups beyond the
    /// list.
    pub group_fractions: Vec<f64>,
}

impl Default for LevelEffects {
    fn default() -> Self {
        LevelEffects {
            concurrency_factor: 1.0,
            demotion_factor: 1.0,
            grant_factor: 1.0,
            retry_after_factor: 1.0,
            retry_after_jitter: 0.0,
            withhold_low_retries: false,
            reject_over_quota: false,
            min_confidence: 0.0,
            group_fractions: Vec::new(),
        }
    }
}

impl LevelEffects {
    /// The fraction of the headroom that a query in the low lane may use; 0 if the level rejects the query.
    pub(crate) fn headroom_fraction(&self, query: &Query) -> f64 {
        let over_quota = self.reject_over_quota && query.is_over_quota;
        if over_quota || query.cost.confidence < self.min_confidence {
            return 0.0;
        }
        self.group_fractions
            .get(query.group.0)
            .copied()
            .unwrap_or(1.0)
    }

    /// The time after which a rejected client may retry (ms), at most `max_ms`. The jitter spreads the retries of
    /// clients that were rejected at the same time.
    pub(crate) fn retry_after_ms(&self, usual_ms: f64, max_ms: f64, rng: &mut Pcg) -> f64 {
        let jitter = self.retry_after_jitter;
        let wait_ms = (usual_ms * self.retry_after_factor * (1.0 + jitter)).min(max_ms);
        if jitter > 0.0 {
            wait_ms * (1.0 - rng.next_unit() * jitter / (1.0 + jitter))
        } else {
            wait_ms
        }
    }
}
