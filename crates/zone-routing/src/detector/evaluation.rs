//! The periodic evaluation: which zones become unreachable, begin to recover, or advance in their recovery.

use super::{ZoneHealthDetector, EVIDENCE_LIFETIME_MS};
use crate::codec;
use crate::model::{Reachability, Reason, ZoneState};

/// Missing answers in a row from which an engine counts as failing.
const FAILING_AFTER: u32 = 2;
/// Lifetime of a peer's message (ms); peers send one every 1.5 s.
const PEER_LIFETIME_MS: f64 = 6000.0;
/// A recovery is set back if more than this fraction of the zone's recent outcomes are failures.
const MAX_FAILURES_TO_STAY: f64 = 0.3;
/// A recovery advances if at most this fraction of the zone's recent outcomes are failures.
const MAX_FAILURES_TO_ADVANCE: f64 = 0.1;
/// A recovery advances only with more recent successes (with decay) than this.
const MIN_RECENT_SUCCESSES: f64 = 0.2;
/// Shortest time between two setbacks of a recovery (ms).
const SET_BACK_INTERVAL_MS: f64 = 1000.0;
/// An unreachable zone without observations for this long begins to recover (ms). Without health checks, and while no work
/// is sent there, there would be no other evidence that the zone is back.
const UNTRIED_MS: f64 = 12_000.0;
/// A longer time between two evaluations counts as a pause of the process (ms), during which no recovery advances.
const MAX_EVALUATION_GAP_MS: f64 = 1000.0;

impl ZoneHealthDetector {
    /// Evaluates all evidence. Must be called several times a second. [`ZoneHealthDetector::take_changes`] returns the
    /// resulting changes.
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
        self.forget_empty_zones();
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
        // An isolated dispatcher has no evidence on any zone.
        if is_failing && !self.is_isolated && state != ZoneState::Unreachable {
            self.lose_zone(zone);
            return;
        }
        match state {
            ZoneState::Healthy => {}
            ZoneState::Recovering(_) => self.advance_recovery(zone, elapsed_ms),
            // Failures before the answer are no evidence on the zone's present state.
            ZoneState::Unreachable if self.answered_since_loss(zone) => {
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

    /// Whether a zone fails by the evidence on its engines; `None` without enough evidence.
    fn is_failing(&self, zone: usize) -> Option<bool> {
        let mut ready = 0;
        let mut tried = 0;
        let mut failing = 0;
        for engine in self.ready_engines(zone) {
            ready += 1;
            tried += usize::from(engine.was_tried_since(self.now_ms, EVIDENCE_LIFETIME_MS));
            let failed_lately = self.now_ms - engine.failed_ms < EVIDENCE_LIFETIME_MS;
            failing += usize::from(engine.failures_in_row >= FAILING_AFTER && failed_lately);
        }
        // Half of the zone's engines must have been tried.
        if tried == 0 || 2 * tried < ready {
            return None;
        }
        let detection = &self.config.cut_detection;
        let is_silent = self.zones[zone]
            .failing_since_ms
            .is_some_and(|since_ms| self.now_ms - since_ms >= detection.silent_ms);
        Some(is_silent && failing as f64 >= detection.failing_fraction * tried as f64)
    }

    fn lose_zone(&mut self, zone: usize) {
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

    /// Whether any peer that is not isolated reaches a zone.
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

    fn answered_since_loss(&self, zone: usize) -> bool {
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

    /// Advances a recovery while answers are good, and halves it when they worsen.
    fn advance_recovery(&mut self, zone: usize, elapsed_ms: f64) {
        let now_ms = self.now_ms;
        let ramp = self.config.recovery_ramp;
        let record = &mut self.zones[zone];
        let recent = (record.recent_successes + record.recent_failures).max(1.0);
        let failed_fraction = record.recent_failures / recent;
        let may_set_back = now_ms - record.set_back_ms >= SET_BACK_INTERVAL_MS;
        if failed_fraction > MAX_FAILURES_TO_STAY && may_set_back {
            record.set_back_ms = now_ms;
            record.ramp_progress /= 2.0;
        } else if failed_fraction <= MAX_FAILURES_TO_ADVANCE
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

    /// Updates whether this dispatcher is isolated: all zones with enough evidence fail or are unreachable. Zones that
    /// became unreachable shortly before the isolation are healthy again.
    fn update_isolation(&mut self, failing: &[Option<bool>]) {
        let known: Vec<usize> = (0..failing.len())
            .filter(|zone| failing[*zone].is_some() || self.is_unreachable(*zone))
            .collect();
        let all_fail = known
            .iter()
            .all(|zone| failing[*zone] == Some(true) || self.is_unreachable(*zone));
        let any_newly_fails = known
            .iter()
            .any(|zone| failing[*zone] == Some(true) && !self.is_unreachable(*zone));
        let is_isolated = known.len() > 1 && all_fail && (any_newly_fails || self.is_isolated);
        if is_isolated == self.is_isolated {
            return;
        }
        self.is_isolated = is_isolated;
        if is_isolated {
            self.restore_recently_lost_zones();
        }
        self.record_isolation(known.first().copied());
    }

    fn is_unreachable(&self, zone: usize) -> bool {
        self.zones[zone].state == ZoneState::Unreachable
    }

    /// Marks recently lost zones as healthy: the first failures were attributed to these zones before the failures of the
    /// others showed that this dispatcher is the cause.
    fn restore_recently_lost_zones(&mut self) {
        for zone in 0..self.zones.len() {
            let lost_ms = self.now_ms - self.zones[zone].state_since_ms;
            if self.is_unreachable(zone) && lost_ms < EVIDENCE_LIFETIME_MS {
                self.set_state(zone, ZoneState::Healthy, Reason::Isolated);
            }
        }
    }

    /// Records the change of isolation in the history of a known zone, or of the first one, without changing its state.
    fn record_isolation(&mut self, known_zone: Option<usize>) {
        let first_zone = (!self.zones.is_empty()).then_some(0);
        let Some(zone) = known_zone.or(first_zone) else {
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

    /// Removes zones without engines from the end of the list only, so that the indices of the others stay valid.
    fn forget_empty_zones(&mut self) {
        while let Some(last) = self.zones.len().checked_sub(1) {
            let has_engines = self.engines.values().any(|engine| engine.zone == last);
            let record = &self.zones[last];
            let unchanged_ms = self.now_ms - record.state_since_ms;
            if has_engines
                || record.state != ZoneState::Healthy
                || unchanged_ms < EVIDENCE_LIFETIME_MS
            {
                return;
            }
            self.zones.pop();
        }
    }
}
