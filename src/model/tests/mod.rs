//! Each component on its own; how they work together is tested in `control`.

mod concurrency_limit;
mod endpoint_list;
mod engine_health;
mod engine_table;
mod key_queues;
mod low_lane;
mod retry_budget;
mod stalls;
mod tenant_quotas;

/// The time at which the tests begin (ms).
const START_MS: f64 = 1e6;
