//! Checks before an evacuation: limits on the evacuated cores and on the load of the remaining zones.

use super::{is_evacuated, EvacuationController, ZoneState};
use crate::{ZoneId, ZoneStatus};
use std::collections::BTreeMap;

/// The initiator of an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Initiator {
    /// The controller, based on the members' reports.
    Controller,
    /// An operator's command.
    Operator,
}

/// The reason why a zone may not be evacuated.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum EvacuationError {
    /// The remaining zones could not carry the load.
    #[error(
        "the load is {load_threads} threads, the remaining zones can carry {capacity_threads}"
    )]
    InsufficientCapacity {
        /// Load of all zones (threads).
        load_threads: f64,
        /// Capacity of the remaining zones (threads).
        capacity_threads: f64,
    },
    /// The evacuated fraction of all cores would exceed its limit, or a second zone would be evacuated.
    #[error("the evacuated fraction of all cores would be {fraction}")]
    TooManyCores {
        /// Fraction of all cores that would be evacuated.
        fraction: f64,
    },
}

impl EvacuationController {
    /// Checks whether a zone may be evacuated in addition to the zones already evacuated. The controller is limited by
    /// the fraction of evacuated cores, an operator by the capacity of the remaining zones.
    ///
    /// # Errors
    /// Returns the limit that the evacuation would exceed, with the figures.
    pub fn check_evacuation(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        initiator: Initiator,
        now_ms: f64,
    ) -> Result<(), EvacuationError> {
        match initiator {
            // The controller does not check the capacity: excess load is shed with or without the evacuation.
            Initiator::Controller => self.check_evacuated_cores(zone, agreed),
            Initiator::Operator => self.check_remaining_capacity(zone, agreed, now_ms),
        }
    }

    fn check_evacuated_cores(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
    ) -> Result<(), EvacuationError> {
        let is_other_evacuated =
            |other: ZoneId| other != zone && is_evacuated(agreed.get(&other).copied());
        let all_cores: f64 = self.zones.values().map(ZoneState::cores).sum();
        let evacuated_cores: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| **id == zone || is_other_evacuated(**id))
            .map(|(_, state)| state.cores())
            .sum();
        let fraction = if all_cores > 0.0 {
            evacuated_cores / all_cores
        } else {
            1.0
        };
        let is_second_zone = agreed.keys().any(|other| is_other_evacuated(*other));
        if fraction > self.config.max_evacuated_fraction || is_second_zone {
            return Err(EvacuationError::TooManyCores { fraction });
        }
        Ok(())
    }

    fn check_remaining_capacity(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Result<(), EvacuationError> {
        let is_remaining =
            |other: ZoneId| other != zone && !is_evacuated(agreed.get(&other).copied());
        let capacity_threads: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| is_remaining(**id))
            .map(|(_, state)| {
                state.cores()
                    * self.config.full_threads_per_core
                    * self.config.spill_capacity_fraction
            })
            .sum();
        let load_threads: f64 = self
            .zones
            .keys()
            .map(|id| self.witnesses.load_threads(*id, now_ms))
            .sum();
        if load_threads > capacity_threads {
            return Err(EvacuationError::InsufficientCapacity {
                load_threads,
                capacity_threads,
            });
        }
        Ok(())
    }
}
