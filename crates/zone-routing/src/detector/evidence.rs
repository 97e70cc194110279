//! Evidence on zones for reports to the fleet and to peers.

use super::{ZoneHealthDetector, EVIDENCE_LIFETIME_MS};
use crate::model::{Reachability, ZoneEvidence, ZoneState};

impl ZoneHealthDetector {
    /// Returns the evidence on all zones for the fleet. The fleet acts only on matching reports of several dispatchers,
    /// so one missing answer of each recently tried engine is sufficient to report a zone as unreachable. If all zones
    /// appear lost, all are reported as unknown, because this dispatcher may be isolated.
    pub fn evidence(&self) -> impl Iterator<Item = ZoneEvidence<'_>> + '_ {
        let appears_lost: Vec<bool> = (0..self.zones.len())
            .map(|zone| self.appears_lost(zone))
            .collect();
        let all_lost = !appears_lost.is_empty() && appears_lost.iter().all(|lost| *lost);
        self.zones.iter().enumerate().map(move |(zone, record)| {
            let state_reachability = self.reachability(zone);
            let reachability = match state_reachability {
                Reachability::Reachable | Reachability::Unknown if appears_lost[zone] => {
                    if all_lost {
                        Reachability::Unknown
                    } else {
                        Reachability::Unreachable
                    }
                }
                _ => state_reachability,
            };
            ZoneEvidence {
                zone: &record.name,
                reachability,
                successes: record.total_successes,
                failures: record.total_failures,
            }
        })
    }

    /// Whether the last observation of every recently tried engine of a zone is a missing answer, and at least half of
    /// the zone's ready engines were tried recently.
    fn appears_lost(&self, zone: usize) -> bool {
        let mut ready = 0;
        let mut tried = 0;
        let mut all_fail = true;
        for engine in self.ready_engines(zone) {
            ready += 1;
            if engine.was_tried_within(self.now_ms, EVIDENCE_LIFETIME_MS) {
                tried += 1;
                all_fail &= engine.failures_in_row > 0;
            }
        }
        tried > 0 && 2 * tried >= ready && all_fail
    }

    /// Returns the reachability of a zone for reports. A healthy zone without a recent answer is reported as unknown.
    pub(super) fn reachability(&self, zone: usize) -> Reachability {
        let answered_recently = self.engines.values().any(|engine| {
            engine.zone == zone && self.now_ms - engine.answered_ms < EVIDENCE_LIFETIME_MS
        });
        match self.zones[zone].state {
            ZoneState::Unreachable => Reachability::Unreachable,
            ZoneState::Recovering(_) => Reachability::Recovering,
            ZoneState::Healthy if answered_recently => Reachability::Reachable,
            ZoneState::Healthy => Reachability::Unknown,
        }
    }
}
