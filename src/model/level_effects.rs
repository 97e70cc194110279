//! The effects of a service level on the ordinary path.

use crate::model::Query;
use crate::pcg::Pcg;

/// The effects of a degraded service level. The default, full service, has none.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelEffects {
    /// Factor on the concurrency limits of the low lane.
    pub concurrency_factor: f64,
    /// Factor on the multiple of the usual cost that demotes a query.
    pub demotion_factor: f64,
    /// Factor on memory grants beyond need.
    pub grant_factor: f64,
    /// Factor on the time after which a rejected client may come back.
    pub retry_after_factor: f64,
    /// The fraction of `retry_after_ms` that is random.
    pub retry_after_jitter: f64,
    /// Low work gets no retries.
    pub withhold_low_retries: bool,
    /// Low work of tenants over their quota is rejected.
    pub reject_over_quota: bool,
    /// Low work with less confidence in its cost than this is rejected.
    pub min_confidence: f64,
    /// Fraction of its headroom that a group's low work may use, by group index; 1 for groups beyond the list.
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
    /// The fraction of the headroom that a low query may use.
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

    /// The time after which a rejected client may come back (ms), up to `max_ms`. The jitter spreads clients that were
    /// rejected together.
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
