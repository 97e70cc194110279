//! Whether a zone may be evacuated: limits on the evacuated cores and on the load of the remaining zones.

use super::{is_evacuated, EvacuationController, ZoneWatch};
use crate::{ZoneId, ZoneStatus};
use std::collections::BTreeMap;

/// The initiator of an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Initiator {
    /// The controller, by the members' reports.
    Controller,
    /// An operator's command.
    Operator,
}

/// Why a zone is not evacuated.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum EvacuationRefused {
    /// The remaining zones could not carry the load.
    #[error(
        "{load_threads} threads of work, and {capacity_threads} that the remaining zones can carry"
    )]
    InsufficientCapacity {
        /// Load of all zones (threads).
        load_threads: f64,
        /// Capacity of the remaining zones (threads).
        capacity_threads: f64,
    },
    /// The evacuated fraction of all cores would exceed its limit, or a second zone would be evacuated.
    #[error("{fraction} of all cores would be evacuated")]
    TooManyCores {
        /// Fraction of all cores that would be evacuated.
        fraction: f64,
    },
}

impl EvacuationController {
    /// Whether a zone may be evacuated in addition to those that are. The controller is bound by the fraction of cores,
    /// an operator by the capacity of the remaining zones.
    ///
    /// # Errors
    /// The limit that the evacuation would exceed, with the figures.
    pub fn check_evacuation(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        initiator: Initiator,
        now_ms: f64,
    ) -> Result<(), EvacuationRefused> {
        match initiator {
            Initiator::Controller => self.check_evacuated_cores(zone, agreed),
            // The controller does not check the capacity: the load is shed with or without the evacuation.
            Initiator::Operator => self.check_remaining_capacity(zone, agreed, now_ms),
        }
    }

    fn check_evacuated_cores(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
    ) -> Result<(), EvacuationRefused> {
        let is_other_evacuated =
            |other: ZoneId| other != zone && is_evacuated(agreed.get(&other).copied());
        let all_cores: f64 = self.zones.values().map(ZoneWatch::cores).sum();
        let evacuated_cores: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| **id == zone || is_other_evacuated(**id))
            .map(|(_, watch)| watch.cores())
            .sum();
        let fraction = if all_cores > 0.0 {
            evacuated_cores / all_cores
        } else {
            1.0
        };
        let is_second = agreed.keys().any(|other| is_other_evacuated(*other));
        if fraction > self.config.max_evacuated_fraction || is_second {
            return Err(EvacuationRefused::TooManyCores { fraction });
        }
        Ok(())
    }

    fn check_remaining_capacity(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        now_ms: f64,
    ) -> Result<(), EvacuationRefused> {
        let remains = |other: ZoneId| other != zone && !is_evacuated(agreed.get(&other).copied());
        let capacity_threads: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| remains(**id))
            .map(|(_, watch)| {
                watch.cores()
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
            return Err(EvacuationRefused::InsufficientCapacity {
                load_threads,
                capacity_threads,
            });
        }
        Ok(())
    }
}
