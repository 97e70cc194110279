//! Whether a zone may be evacuated: how much of the fleet may be out, and what the remaining zones can carry.

use super::{is_evacuated, EvacuationController};
use crate::{ZoneId, ZoneStatus};
use std::collections::BTreeMap;

/// Who wants a zone evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Initiator {
    /// The controller, by the members' reports.
    Controller,
    /// An operator's command.
    Operator,
}

/// Why a zone is not evacuated, with the figures.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum EvacuationRefused {
    /// The remaining zones could not carry the work.
    #[error(
        "{load_threads} threads of work, and {capacity_threads} that the remaining zones can carry"
    )]
    InsufficientCapacity {
        /// Work of all zones (threads).
        load_threads: f64,
        /// What the remaining zones can carry (threads).
        capacity_threads: f64,
    },
    /// Too large a fraction of all cores would be evacuated, or a second zone.
    #[error("{fraction} of all cores would be evacuated")]
    TooManyCores {
        /// Fraction of all cores that would be evacuated.
        fraction: f64,
    },
}

impl EvacuationController {
    /// Whether a zone may be evacuated beside those that are already. An operator is not bound by the fraction of
    /// cores, but by what the remaining zones can carry.
    ///
    /// # Errors
    /// The limit that it would exceed, with the figures.
    pub fn check_evacuation(
        &self,
        zone: ZoneId,
        agreed: &BTreeMap<ZoneId, ZoneStatus>,
        initiator: Initiator,
        now_ms: f64,
    ) -> Result<(), EvacuationRefused> {
        match initiator {
            Initiator::Controller => self.check_evacuated_cores(zone, agreed),
            // The controller does not ask this: what does not fit into the remaining zones is rejected either way.
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
        let all_cores: f64 = self.zones.values().map(|watch| watch.cores).sum();
        let evacuated_cores: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| **id == zone || is_other_evacuated(**id))
            .map(|(_, watch)| watch.cores)
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
                watch.cores
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
