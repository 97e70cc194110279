//! Unit tests of each component. The tests of `control` cover how the components work together.

mod attempt;
mod concurrency_limit;
mod endpoint_list;
mod engine_health;
mod engine_load;
mod engine_table;
mod event_window;
mod interner;
mod key_queues;
mod level_effects;
mod low_lane;
mod peer_load;
mod pool_view;
mod query_table;
mod resource_group;
mod retry_budget;
mod slow_start;
mod slowdown;
mod stalls;
mod tenant_quotas;

use crate::events::{EndpointState, EndpointUpdate};
use crate::interner::Interner;
use crate::model::{Engine, ResourceGroup};
use crate::settings::{DedupScope, Effect, GroupSettings, Settings};

/// The time at which the tests begin (ms).
const START_MS: f64 = 1e6;

/// An engine that is ready in the endpoint list, with one core and in zone 0.
fn listed_engine(engine_id: u64, started_ms: Option<f64>) -> Engine {
    engine_in_state(engine_id, started_ms, EndpointState::Ready)
}

/// An engine with one core and in zone 0, in the given state of the endpoint list.
fn engine_in_state(engine_id: u64, started_ms: Option<f64>, state: EndpointState) -> Engine {
    let update = EndpointUpdate {
        engine_id,
        kind: "small",
        zone: "z1",
        state,
        started_ms,
        cell: 0,
    };
    let mut engine = Engine::new(&update, &Settings::default(), &mut Interner::default());
    engine.apply_update(&update);
    engine
}

/// A read-only resource group with this latency objective, whose queries run on one thread.
fn group(objective_ms: f64) -> ResourceGroup {
    let settings = GroupSettings {
        name: "group".to_owned(),
        effect: Effect::ReadOnly,
        dedup_scope: DedupScope::All,
        dedup_window_ms: 0.0,
        is_ordered_by_key: false,
        zones: None,
        kinds: None,
        objective_ms,
        objective_stretch: 0.0,
        usual_timeout_ms: 0.0,
        threads: 1.0,
        is_load: false,
        waits_for_loads: false,
    };
    ResourceGroup::new(settings, &mut Interner::default())
}
