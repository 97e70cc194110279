//! The experiment's faults that are in force.

use super::events::FaultEdge;
use crate::schema::{fault, Experiment, Fault};

/// Which faults of an experiment are in force.
pub(super) struct ActiveFaults<'a> {
    faults: &'a [Fault],
    active: Vec<bool>,
}

impl<'a> ActiveFaults<'a> {
    /// None of the experiment's faults is in force.
    pub fn new(experiment: &'a Experiment) -> Self {
        ActiveFaults {
            faults: &experiment.fault,
            active: vec![false; experiment.fault.len()],
        }
    }

    /// A fault begins or ends.
    pub fn apply(&mut self, number: usize, edge: FaultEdge) {
        self.active[number] = edge == FaultEdge::Begin;
    }

    /// Whether nothing gets through from one zone to the engines of another, or of the same.
    pub fn is_cut(&self, from_zone: &str, engine_zone: &str) -> bool {
        let faults = self.faults.iter().zip(&self.active);
        faults.into_iter().any(|(fault, is_active)| {
            let applies_to_sender = match fault.from.as_deref() {
                Some(name) => name == from_zone,
                None => from_zone != engine_zone,
            };
            *is_active
                && fault.kind() == fault::Kind::Cut
                && fault.hall() == engine_zone
                && applies_to_sender
        })
    }
}
