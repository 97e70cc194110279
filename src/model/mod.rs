//! The records that the decisions keep, one file a record: types and their bookkeeping, no decision.

mod attempt;
mod engine;
mod engine_health;
mod engine_load;
mod fading_median;
mod group_slowdown;
mod in_flight;
mod index;
mod key_queues;
mod level_effects;
mod load;
mod low_lane;
mod peer_load;
mod query;
mod resource_group;
mod retry_budget;
mod slow_start;
mod slowdown;
mod stalls;
mod state;
mod tenants;

pub(crate) use attempt::Attempt;
pub(crate) use engine::Engine;
pub(crate) use fading_median::{step_towards, FadingMedian, MedianUpdate};
pub(crate) use group_slowdown::{GroupSlowdown, LearningSteps, LEARNING};
pub(crate) use in_flight::ClosedAttempt;
pub(crate) use index::{EngineIndex, GroupIndex, QueryIndex};
pub(crate) use key_queues::KeyQueues;
pub use level_effects::LevelEffects;
pub(crate) use low_lane::LowLane;
pub(crate) use peer_load::PeerLoad;
pub(crate) use query::{Lane, Query, QueryCost};
pub(crate) use resource_group::ResourceGroup;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use slow_start::SlowStart;
pub(crate) use slowdown::{LaneSlowdowns, Slowdowns};
pub use state::{Control, EventSource};
pub(crate) use tenants::TenantRates;

/// Time between two rounds of periodic checks (ms).
pub(crate) const CHECK_INTERVAL_MS: f64 = 20.0;
/// A time before all others.
pub(crate) const LONG_AGO: f64 = f64::NEG_INFINITY;
