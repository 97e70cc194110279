//! Passes the endpoint list to the fleet, and marks the engines that the fleet has drained.

use crate::ids::EngineId;
use crate::query_registry::EndpointEntry;
use crate::subsystems::endpoint_list::merge_endpoints;
use std::rc::Rc;
use tansymux::events::EndpointState;
use tansymux::settings::Settings;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_operator_config::name_hash;
use tansymux_rollout::FleetNode;

/// Copy of the endpoint list, with the engines that the fleet has drained.
pub struct EngineWatch {
    settings: Rc<Settings>,
    /// The current endpoint list, sorted by engine id.
    endpoints: Vec<EndpointEntry>,
    /// Ids of the engines that were drained at the last call of [`EngineWatch::take_changes`].
    drained: Vec<u64>,
}

impl EngineWatch {
    /// Creates a watch with an empty endpoint list.
    pub fn new(settings: Rc<Settings>) -> Self {
        EngineWatch {
            settings,
            endpoints: Vec::new(),
            drained: Vec::new(),
        }
    }

    /// Applies an endpoint list update and passes the whole list to the fleet. Sets the state of ready entries to
    /// `Draining` if the fleet has drained their engines.
    pub fn merge(&mut self, entries: &mut [EndpointEntry], member: &mut FleetNode) {
        merge_endpoints(
            &mut self.endpoints,
            entries,
            |endpoint| endpoint.engine_id,
            EndpointEntry::clone,
        );
        let units: Vec<Unit> = self
            .endpoints
            .iter()
            .map(|endpoint| self.disruption_unit(endpoint))
            .collect();
        member.set_engines(&units);
        for entry in entries {
            let is_drained = member.engine_disruption(entry.engine_id).is_some();
            if entry.state == EndpointState::Ready && is_drained {
                entry.state = EndpointState::Draining;
            }
        }
    }

    /// Converts an endpoint into a unit of the disruption budget.
    fn disruption_unit(&self, endpoint: &EndpointEntry) -> Unit {
        Unit {
            id: endpoint.engine_id,
            zone: name_hash(&endpoint.zone),
            version: 0,
            available: endpoint.state == EndpointState::Ready,
            capacity: self.settings.engine_kind(&endpoint.kind).cores,
        }
    }

    /// Returns the endpoint entries of engines that the fleet has drained, or whose drain it has ended, since the last
    /// call. An entry of a drained engine still has the state of the endpoint list: [`EngineWatch::merge`] sets
    /// `Draining` when the entry is applied as an endpoint list update.
    pub fn take_changes(&mut self, now_ms: f64, member: &FleetNode) -> Vec<EndpointEntry> {
        let mut drained = Vec::new();
        let mut changes = Vec::new();
        for endpoint in &self.endpoints {
            let engine_id = endpoint.engine_id;
            let is_drained = member.engine_disruption(engine_id).is_some();
            let was_drained = self.drained.contains(&engine_id);
            if is_drained {
                drained.push(engine_id);
            }
            if is_drained && !was_drained {
                tracing::warn!(engine_id = %EngineId(engine_id), "engine drained by the fleet");
                changes.push(endpoint.clone());
            }
            if was_drained && !is_drained {
                tracing::info!(engine_id = %EngineId(engine_id), "engine no longer drained by the fleet");
                // The engine counts as started now, so that every dispatcher applies the same warm-up rule to it.
                changes.push(EndpointEntry {
                    started_ms: Some(now_ms),
                    ..endpoint.clone()
                });
            }
        }
        self.drained = drained;
        changes
    }
}
