//! Start times of engines, to recognize executions on an engine that is warming up.

use crate::query_registry::EndpointEntry;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use tansymux::events::EndpointState;

/// Tracks the engines that are warming up.
pub(super) struct WarmUpTracker {
    /// Duration (ms) of an engine's warm-up after its start.
    warm_up_ms: f64,
    /// Start times by engine id, where the endpoint list has them.
    engine_starts_ms: RefCell<FxHashMap<u64, f64>>,
}

impl WarmUpTracker {
    /// Creates a tracker without engines.
    pub fn new(warm_up_ms: f64) -> Self {
        WarmUpTracker {
            warm_up_ms,
            engine_starts_ms: RefCell::default(),
        }
    }

    /// Records the start times of engines from an endpoint list update, and removes engines that are gone.
    pub fn on_endpoints(&self, entries: &[EndpointEntry]) {
        let mut starts = self.engine_starts_ms.borrow_mut();
        for entry in entries {
            match entry.started_ms {
                Some(started_ms) if entry.state != EndpointState::Gone => {
                    starts.insert(entry.engine_id, started_ms);
                }
                _ => {
                    starts.remove(&entry.engine_id);
                }
            }
        }
    }

    /// Whether an engine started less than the warm-up time ago.
    pub fn is_warming_up(&self, engine_id: u64, now_ms: f64) -> bool {
        let starts = self.engine_starts_ms.borrow();
        starts
            .get(&engine_id)
            .is_some_and(|started_ms| now_ms - started_ms < self.warm_up_ms)
    }
}
