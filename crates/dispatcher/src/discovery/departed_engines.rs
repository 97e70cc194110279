//! Engines that have left the endpoint list, kept so that an older list does not add the same processes again.

use super::records::start_of;
use crate::query_registry::EndpointEntry;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The engines that left the list most recently, up to a limit.
#[derive(Debug, Default)]
pub struct DepartedEngines {
    /// Start time (ms) of the process that left, by engine number; `None` if unknown.
    started_ms: FxHashMap<u64, Option<f64>>,
    /// Engine numbers, in the order in which the engines left.
    order: VecDeque<u64>,
}

impl DepartedEngines {
    /// Whether the process of `entry` has left the list. A process with a later start time has not.
    pub fn contains(&self, entry: &EndpointEntry) -> bool {
        let departed = self.started_ms.get(&entry.engine_id);
        departed.is_some_and(|started_ms| start_of(entry) <= started_ms.unwrap_or(0.0))
    }

    /// Whether the engine is recorded as departed.
    pub fn contains_engine(&self, engine_id: u64) -> bool {
        self.started_ms.contains_key(&engine_id)
    }

    /// Forgets the engines for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.started_ms.retain(|engine_id, _| is_kept(*engine_id));
        self.order.retain(|engine_id| is_kept(*engine_id));
    }

    /// Adds engines that left the list, and forgets the oldest beyond `max_engines`.
    pub fn add(&mut self, departed: &[EndpointEntry], max_engines: usize) {
        for entry in departed {
            let known = self.started_ms.insert(entry.engine_id, entry.started_ms);
            if known.is_none() {
                self.order.push_back(entry.engine_id);
            }
        }
        while self.order.len() > max_engines {
            if let Some(oldest) = self.order.pop_front() {
                self.started_ms.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
