//! The evidence on zones that is reported to the fleet and to peers.

use super::{ZoneHealthDetector, EVIDENCE_LIFETIME_MS};
use crate::model::{Reachability, ZoneEvidence, ZoneState};

impl ZoneHealthDetector {
    /// Evidence on all zones for the fleet, which acts only if several dispatchers report the same. So one missing answer of
    /// each recently tried engine is enough to report a zone as unreachable. If all zones seem lost, all are reported as
    /// unknown.
    pub fn evidence(&self) -> impl Iterator<Item = ZoneEvidence<'_>> + '_ {
        let seems_lost: Vec<bool> = (0..self.zones.len())
            .map(|zone| self.seems_lost(zone))
            .collect();
        let all_lost = !seems_lost.is_empty() && seems_lost.iter().all(|lost| *lost);
        self.zones.iter().enumerate().map(move |(zone, record)| {
            let by_state = self.reachability(zone);
            let reachability = match by_state {
                Reachability::Reachable | Reachability::Unknown if seems_lost[zone] => {
                    if all_lost {
                        Reachability::Unknown
                    } else {
                        Reachability::Unreachable
                    }
                }
                _ => by_state,
            };
            ZoneEvidence {
                zone: &record.name,
                reachability,
                successes: record.total_successes,
                failures: record.total_failures,
            }
        })
    }

    /// Whether every recently tried engine of a zone failed last, and at least half of the zone's engines were tried.
    fn seems_lost(&self, zone: usize) -> bool {
        let mut ready = 0;
        let mut tried = 0;
        let mut all_fail = true;
        for engine in self.ready_engines(zone) {
            ready += 1;
            if engine.was_tried_since(self.now_ms, EVIDENCE_LIFETIME_MS) {
                tried += 1;
                all_fail &= engine.failures_in_row > 0;
            }
        }
        tried > 0 && 2 * tried >= ready && all_fail
    }

    /// Whether a zone is reached, for reports to others: reachable only with recent evidence.
    pub(super) fn reachability(&self, zone: usize) -> Reachability {
        let answered = self.engines.values().any(|engine| {
            engine.zone == zone && self.now_ms - engine.answered_ms < EVIDENCE_LIFETIME_MS
        });
        match self.zones[zone].state {
            ZoneState::Unreachable => Reachability::Unreachable,
            ZoneState::Recovering(_) => Reachability::Recovering,
            ZoneState::Healthy if answered => Reachability::Reachable,
            ZoneState::Healthy => Reachability::Unknown,
        }
    }
}
