//! The components that [`control`](crate::control) composes, one per file.
//!
//! A component owns one part of a dispatcher's state (private fields) and the rules and constants of that part. The
//! records that several components share (query, attempt, engine, resource group) are plain data. No component depends
//! on `Control`: its methods receive the state of other components and the time (`now_ms`) as arguments.

mod attempt;
mod concurrency_limit;
mod decaying_median;
mod endpoint_list;
mod engine;
mod engine_health;
mod engine_load;
mod engine_table;
mod event_window;
mod group_slowdown;
mod index;
mod key_queues;
mod level_effects;
mod low_lane;
mod peer_load;
mod pool_view;
mod query;
mod query_table;
mod resource_group;
mod retry_budget;
mod slow_start;
mod slowdown;
mod stalls;
mod tenant_quotas;
#[cfg(test)]
mod tests;

pub(crate) use attempt::Attempt;
pub(crate) use concurrency_limit::AttemptResult;
pub(crate) use decaying_median::{DecayingMedian, MedianUpdate};
pub(crate) use endpoint_list::EndpointListRequest;
pub(crate) use engine::Engine;
pub(crate) use engine_load::TableLock;
pub(crate) use engine_table::EngineTable;
pub(crate) use group_slowdown::{GroupSlowdown, LEARNING};
pub(crate) use index::{EngineIndex, GroupIndex, QueryIndex};
pub(crate) use key_queues::KeyQueues;
pub use level_effects::LevelEffects;
pub(crate) use low_lane::LowLane;
pub(crate) use peer_load::PeerLoad;
pub(crate) use pool_view::{PoolView, ZoneFilter};
pub(crate) use query::{Lane, Query, QueryCost};
pub(crate) use query_table::QueryTable;
pub(crate) use resource_group::ResourceGroup;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use slow_start::SlowStart;
pub(crate) use slowdown::{LaneSlowdowns, Slowdowns};
pub(crate) use tenant_quotas::TenantQuotas;

/// Time between two rounds of periodic checks (ms).
pub(crate) const CHECK_INTERVAL_MS: f64 = 20.0;
/// A time before all others, for events that have not happened.
pub(crate) const LONG_AGO: f64 = f64::NEG_INFINITY;
