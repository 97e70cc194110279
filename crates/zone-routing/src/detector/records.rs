//! Records of engines, zones and peers.

use super::NEVER_MS;
use crate::codec::PeerReport;
use crate::model::{ObservationKind, ZoneState};

/// Half-life of a zone's recent successes and failures (ms).
const HALF_LIFE_MS: f64 = 1500.0;

/// An engine and the evidence on it.
#[derive(Debug, Clone)]
pub(super) struct EngineRecord {
    /// Index of the engine's zone.
    pub(super) zone: usize,
    pub(super) cores: f64,
    pub(super) is_ready: bool,
    /// Number of missing answers since the last answer.
    pub(super) failures_in_row: u32,
    pub(super) answered_ms: f64,
    pub(super) failed_ms: f64,
}

impl EngineRecord {
    pub(super) fn new(zone: usize) -> Self {
        EngineRecord {
            zone,
            cores: 0.0,
            is_ready: false,
            failures_in_row: 0,
            answered_ms: NEVER_MS,
            failed_ms: NEVER_MS,
        }
    }

    pub(super) fn observe(&mut self, kind: ObservationKind, now_ms: f64) {
        match kind {
            ObservationKind::Answered => {
                self.failures_in_row = 0;
                self.answered_ms = now_ms;
            }
            ObservationKind::NoAnswer => {
                self.failures_in_row += 1;
                self.failed_ms = now_ms;
            }
        }
    }

    pub(super) fn was_tried_within(&self, now_ms: f64, period_ms: f64) -> bool {
        now_ms - self.answered_ms.max(self.failed_ms) < period_ms
    }
}

/// A zone, its state and the evidence on it.
#[derive(Debug, Clone)]
pub(super) struct ZoneRecord {
    pub(super) name: String,
    pub(super) state: ZoneState,
    /// Time of the last history entry of the zone (ms), or of its first listing.
    pub(super) state_since_ms: f64,
    /// Number of successes, with exponential decay.
    pub(super) recent_successes: f64,
    /// Number of failures, with exponential decay.
    pub(super) recent_failures: f64,
    /// Time of the last decay (ms).
    decayed_ms: f64,
    /// Number of successes since the zone was first listed; wraps around.
    pub(super) total_successes: u16,
    /// Number of failures since the zone was first listed; wraps around.
    pub(super) total_failures: u16,
    /// Progress of the recovery ramp, from 0 to 1.
    pub(super) ramp_progress: f64,
    /// Time of the last setback of the recovery (ms).
    pub(super) last_setback_ms: f64,
    /// Time of the first failure since the last answer (ms); `None` if the last observation was an answer.
    pub(super) failing_since_ms: Option<f64>,
    pub(super) observed_ms: f64,
    pub(super) health_checked_ms: f64,
    /// Number of health checks; selects the engine to check next in round-robin order.
    pub(super) health_checks: usize,
}

impl ZoneRecord {
    pub(super) fn new(name: &str, now_ms: f64) -> Self {
        ZoneRecord {
            name: name.to_owned(),
            state: ZoneState::Healthy,
            state_since_ms: now_ms,
            recent_successes: 0.0,
            recent_failures: 0.0,
            decayed_ms: now_ms,
            total_successes: 0,
            total_failures: 0,
            ramp_progress: 0.0,
            last_setback_ms: NEVER_MS,
            failing_since_ms: None,
            observed_ms: now_ms,
            health_checked_ms: NEVER_MS,
            health_checks: 0,
        }
    }

    pub(super) fn observe(&mut self, kind: ObservationKind, now_ms: f64) {
        self.decay(now_ms);
        self.observed_ms = now_ms;
        match kind {
            ObservationKind::Answered => {
                self.recent_successes += 1.0;
                self.total_successes = self.total_successes.wrapping_add(1);
                self.failing_since_ms = None;
            }
            ObservationKind::NoAnswer => {
                self.recent_failures += 1.0;
                self.total_failures = self.total_failures.wrapping_add(1);
                self.failing_since_ms.get_or_insert(now_ms);
            }
        }
    }

    pub(super) fn decay(&mut self, now_ms: f64) {
        let elapsed_ms = (now_ms - self.decayed_ms).max(0.0);
        let factor = (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        self.recent_successes *= factor;
        self.recent_failures *= factor;
        self.decayed_ms = now_ms;
    }

    /// Restarts the recovery ramp with the given number of recent successes and no recent failures.
    pub(super) fn reset_ramp(&mut self, recent_successes: f64) {
        self.ramp_progress = 0.0;
        self.recent_successes = recent_successes;
        self.recent_failures = 0.0;
    }
}

/// The most recent report of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerRecord {
    pub(super) number: u32,
    pub(super) received_ms: f64,
    pub(super) report: PeerReport,
}
