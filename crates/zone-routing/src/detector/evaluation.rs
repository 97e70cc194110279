//! Periodic evaluation of the evidence: transitions between the states of zones, and progress of recoveries.

use super::{ZoneHealthDetector, EVIDENCE_LIFETIME_MS};
use crate::codec;
use crate::model::{Reachability, Reason, ZoneState};

/// Number of consecutive missing answers from which an engine counts as failing.
const FAILING_AFTER: u32 = 2;
/// Time after which a peer's last report is discarded (ms). Peers send a report every 1.5 s.
const PEER_LIFETIME_MS: f64 = 6000.0;
/// A recovery is set back if more than this fraction of the zone's recent observations are missing answers.
const SETBACK_FAILURE_FRACTION: f64 = 0.3;
/// A recovery advances only if at most this fraction of the zone's recent observations are missing answers.
const MAX_FAILURE_FRACTION_TO_ADVANCE: f64 = 0.1;
/// A recovery advances only if the decayed number of recent successes is greater than this.
const MIN_RECENT_SUCCESSES: f64 = 0.2;
/// Minimum time between two setbacks of a recovery (ms).
const MIN_SETBACK_INTERVAL_MS: f64 = 1000.0;
/// Time without observations after which an unreachable zone begins to recover (ms). No work is sent to an unreachable
/// zone, so without health checks there would be no evidence that it is reachable again.
const UNTRIED_MS: f64 = 12_000.0;
/// Time between two evaluations beyond which the process is considered paused (ms). Recoveries do not advance during a
/// pause.
const MAX_EVALUATION_GAP_MS: f64 = 1000.0;

impl ZoneHealthDetector {
    /// Evaluates all evidence and updates the states of zones. Must be called several times per second.
    /// [`ZoneHealthDetector::take_changes`] returns the resulting changes.
    pub fn evaluate(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        let now_ms = self.now_ms;
        let gap_ms = now_ms - self.evaluated_ms;
        let elapsed_ms = if gap_ms <= MAX_EVALUATION_GAP_MS {
            gap_ms
        } else {
            0.0
        };
        self.evaluated_ms = now_ms;
        self.peers
            .retain(|peer| now_ms - peer.received_ms < PEER_LIFETIME_MS);
        for zone in &mut self.zones {
            zone.decay(now_ms);
        }
        self.remove_empty_zones();
        let failing: Vec<Option<bool>> = (0..self.zones.len())
            .map(|zone| self.is_failing(zone))
            .collect();
        self.update_isolation(&failing);
        for (zone, is_failing) in failing.iter().enumerate() {
            self.evaluate_zone(zone, *is_failing == Some(true), elapsed_ms);
        }
    }

    fn evaluate_zone(&mut self, zone: usize, is_failing: bool, elapsed_ms: f64) {
        let state = self.zones[zone].state;
        // The failures that an isolated dispatcher observes are no evidence on the zones.
        if is_failing && !self.is_isolated && state != ZoneState::Unreachable {
            self.mark_unreachable(zone);
            return;
        }
        match state {
            ZoneState::Healthy => {}
            ZoneState::Recovering(_) => self.advance_recovery(zone, elapsed_ms),
            // Failures observed before the answer are no evidence on the zone's current state.
            ZoneState::Unreachable if self.has_answered_since_loss(zone) => {
                self.zones[zone].reset_ramp(1.0);
                self.begin_recovery(zone, Reason::Answered);
            }
            ZoneState::Unreachable if self.is_untried(zone) => {
                self.zones[zone].reset_ramp(0.0);
                self.begin_recovery(zone, Reason::Untried);
            }
            ZoneState::Unreachable => {}
        }
    }

    /// Whether a zone is failing by the evidence on its engines. Returns `None` if the evidence is insufficient.
    fn is_failing(&self, zone: usize) -> Option<bool> {
        let mut ready = 0;
        let mut tried = 0;
        let mut failing = 0;
        for engine in self.ready_engines(zone) {
            ready += 1;
            tried += usize::from(engine.was_tried_within(self.now_ms, EVIDENCE_LIFETIME_MS));
            let failed_recently = self.now_ms - engine.failed_ms < EVIDENCE_LIFETIME_MS;
            failing += usize::from(engine.failures_in_row >= FAILING_AFTER && failed_recently);
        }
        // At least half of the zone's ready engines must have been tried recently.
        if tried == 0 || 2 * tried < ready {
            return None;
        }
        let thresholds = &self.config.unreachability_thresholds;
        let is_silent = self.zones[zone]
            .failing_since_ms
            .is_some_and(|since_ms| self.now_ms - since_ms >= thresholds.silent_ms);
        Some(is_silent && failing as f64 >= thresholds.failing_fraction * tried as f64)
    }

    fn mark_unreachable(&mut self, zone: usize) {
        let record = &self.zones[zone];
        let reason = if record.state.is_recovering() {
            Reason::FailedAgain
        } else if self.is_reached_by_peers(&record.name) {
            Reason::LostFromHere
        } else {
            Reason::Lost
        };
        self.zones[zone].ramp_progress = 0.0;
        self.set_state(zone, ZoneState::Unreachable, reason);
    }

    /// Whether any peer that is not isolated reports a zone as reachable or recovering.
    fn is_reached_by_peers(&self, zone: &str) -> bool {
        let zone_hash = codec::zone_hash(zone);
        self.peers
            .iter()
            .filter(|peer| !peer.report.is_isolated)
            .flat_map(|peer| &peer.report.zones)
            .filter(|report| report.zone_hash == zone_hash)
            .any(|report| {
                matches!(
                    report.reachability,
                    Reachability::Reachable | Reachability::Recovering
                )
            })
    }

    fn has_answered_since_loss(&self, zone: usize) -> bool {
        let since_ms = self.zones[zone].state_since_ms;
        self.ready_engines(zone)
            .any(|engine| engine.answered_ms > since_ms)
    }

    fn is_untried(&self, zone: usize) -> bool {
        let record = &self.zones[zone];
        self.now_ms - record.observed_ms.max(record.state_since_ms) >= UNTRIED_MS
    }

    fn begin_recovery(&mut self, zone: usize, reason: Reason) {
        let initial = self.config.recovery_ramp.initial_fraction;
        self.set_state(zone, ZoneState::Recovering(initial), reason);
    }

    /// Advances the recovery ramp while few answers are missing. Halves its progress while too many are missing, at
    /// most once per [`MIN_SETBACK_INTERVAL_MS`].
    fn advance_recovery(&mut self, zone: usize, elapsed_ms: f64) {
        let now_ms = self.now_ms;
        let ramp = self.config.recovery_ramp;
        let record = &mut self.zones[zone];
        let recent_observations = (record.recent_successes + record.recent_failures).max(1.0);
        let failure_fraction = record.recent_failures / recent_observations;
        let is_setback_allowed = now_ms - record.last_setback_ms >= MIN_SETBACK_INTERVAL_MS;
        if failure_fraction > SETBACK_FAILURE_FRACTION && is_setback_allowed {
            record.last_setback_ms = now_ms;
            record.ramp_progress /= 2.0;
        } else if failure_fraction <= MAX_FAILURE_FRACTION_TO_ADVANCE
            && record.recent_successes > MIN_RECENT_SUCCESSES
        {
            record.ramp_progress = (record.ramp_progress + elapsed_ms / ramp.duration_ms).min(1.0);
        }
        let fraction = ramp.initial_fraction + (1.0 - ramp.initial_fraction) * record.ramp_progress;
        record.state = ZoneState::Recovering(fraction);
        if record.ramp_progress >= 1.0 {
            self.set_state(zone, ZoneState::Healthy, Reason::Recovered);
        }
    }

    // ---- Isolation of this dispatcher ----

    /// Updates whether this dispatcher is isolated, that is, whether all zones with sufficient evidence fail or are
    /// unreachable. Zones that became unreachable shortly before the isolation are restored.
    fn update_isolation(&mut self, failing: &[Option<bool>]) {
        let zones_with_evidence: Vec<usize> = (0..failing.len())
            .filter(|zone| failing[*zone].is_some() || self.is_unreachable(*zone))
            .collect();
        let all_fail = zones_with_evidence
            .iter()
            .all(|zone| failing[*zone] == Some(true) || self.is_unreachable(*zone));
        let any_reachable_fails = zones_with_evidence
            .iter()
            .any(|zone| failing[*zone] == Some(true) && !self.is_unreachable(*zone));
        let is_isolated =
            zones_with_evidence.len() > 1 && all_fail && (any_reachable_fails || self.is_isolated);
        if is_isolated == self.is_isolated {
            return;
        }
        self.is_isolated = is_isolated;
        if is_isolated {
            self.restore_recently_lost_zones();
        }
        self.record_isolation(zones_with_evidence.first().copied());
    }

    fn is_unreachable(&self, zone: usize) -> bool {
        self.zones[zone].state == ZoneState::Unreachable
    }

    /// Marks zones that became unreachable recently as healthy. Their failures were attributed to the zones before the
    /// failures of the other zones showed that this dispatcher is isolated.
    fn restore_recently_lost_zones(&mut self) {
        for zone in 0..self.zones.len() {
            let unreachable_for_ms = self.now_ms - self.zones[zone].state_since_ms;
            if self.is_unreachable(zone) && unreachable_for_ms < EVIDENCE_LIFETIME_MS {
                self.set_state(zone, ZoneState::Healthy, Reason::Isolated);
            }
        }
    }

    /// Records the change of isolation in the history under the given zone, or under the first zone if it is `None`.
    /// Does not change the zone's state.
    fn record_isolation(&mut self, zone_with_evidence: Option<usize>) {
        let first_zone = (!self.zones.is_empty()).then_some(0);
        let Some(zone) = zone_with_evidence.or(first_zone) else {
            return;
        };
        let state = self.zones[zone].state;
        let reason = if self.is_isolated {
            Reason::Isolated
        } else {
            Reason::NotIsolated
        };
        self.set_state(zone, state, reason);
    }

    /// Removes healthy zones without engines and without recent changes. Removes them only from the end of the list, so
    /// that the indices of the other zones stay valid.
    fn remove_empty_zones(&mut self) {
        while let Some(last) = self.zones.len().checked_sub(1) {
            let has_engines = self.engines.values().any(|engine| engine.zone == last);
            let record = &self.zones[last];
            let unchanged_for_ms = self.now_ms - record.state_since_ms;
            if has_engines
                || record.state != ZoneState::Healthy
                || unchanged_for_ms < EVIDENCE_LIFETIME_MS
            {
                return;
            }
            self.zones.pop();
        }
    }
}
