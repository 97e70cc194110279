//! The active faults of the experiment.

use super::events::FaultEdge;
use crate::schema::{fault, Experiment, Fault};

/// The faults of an experiment, and whether each is active.
pub(super) struct ActiveFaults<'a> {
    faults: &'a [Fault],
    active: Vec<bool>,
}

impl<'a> ActiveFaults<'a> {
    /// Creates the faults of an experiment, all inactive.
    pub fn new(experiment: &'a Experiment) -> Self {
        ActiveFaults {
            faults: &experiment.fault,
            active: vec![false; experiment.fault.len()],
        }
    }

    /// Activates or deactivates a fault.
    pub fn apply(&mut self, index: usize, edge: FaultEdge) {
        self.active[index] = edge == FaultEdge::Begin;
    }

    /// Whether the dispatchers of `dispatcher_zone` cannot reach the engines of `engine_zone`, which may be the same
    /// zone.
    pub fn is_cut(&self, dispatcher_zone: &str, engine_zone: &str) -> bool {
        let faults = self.faults.iter().zip(&self.active);
        faults.into_iter().any(|(fault, is_active)| {
            let applies_to_dispatcher = match fault.from.as_deref() {
                Some(name) => name == dispatcher_zone,
                None => dispatcher_zone != engine_zone,
            };
            *is_active
                && fault.kind() == fault::Kind::Cut
                && fault.hall() == engine_zone
                && applies_to_dispatcher
        })
    }
}
