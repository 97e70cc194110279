//! The detector's records of engines, zones and peers.

use super::LONG_AGO_MS;
use crate::codec::PeerReport;
use crate::model::{ObservationKind, ZoneState};

/// Half-life of a zone's recent successes and failures (ms).
const HALF_LIFE_MS: f64 = 1500.0;

/// The evidence on an engine.
#[derive(Debug, Clone)]
pub(super) struct EngineRecord {
    /// Index of the engine's zone.
    pub(super) zone: usize,
    pub(super) cores: f64,
    pub(super) ready: bool,
    /// Missing answers since the last answer.
    pub(super) failures_in_row: u32,
    pub(super) answered_ms: f64,
    pub(super) failed_ms: f64,
}

impl EngineRecord {
    pub(super) fn without_evidence(zone: usize) -> Self {
        EngineRecord {
            zone,
            cores: 0.0,
            ready: false,
            failures_in_row: 0,
            answered_ms: LONG_AGO_MS,
            failed_ms: LONG_AGO_MS,
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

    pub(super) fn was_tried_since(&self, now_ms: f64, period_ms: f64) -> bool {
        now_ms - self.answered_ms.max(self.failed_ms) < period_ms
    }
}

/// The state of a zone, and the evidence on it.
#[derive(Debug, Clone)]
pub(super) struct ZoneRecord {
    pub(super) name: String,
    pub(super) state: ZoneState,
    pub(super) state_since_ms: f64,
    /// Successes with exponential decay.
    pub(super) recent_successes: f64,
    /// Failures with exponential decay.
    pub(super) recent_failures: f64,
    /// Time up to which successes and failures have decayed.
    decayed_ms: f64,
    /// Successes since the zone was first listed, wrapping around.
    pub(super) total_successes: u16,
    /// Failures since the zone was first listed, wrapping around.
    pub(super) total_failures: u16,
    /// Progress of the recovery ramp, from 0 to 1.
    pub(super) ramp_progress: f64,
    /// Time of the last setback of the recovery.
    pub(super) set_back_ms: f64,
    /// Time of the first failure since the last answer; `None` if the last outcome was an answer.
    pub(super) failing_since_ms: Option<f64>,
    pub(super) observed_ms: f64,
    pub(super) health_checked_ms: f64,
    /// Number of health checks, which selects the engine of the next one.
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
            set_back_ms: LONG_AGO_MS,
            failing_since_ms: None,
            observed_ms: now_ms,
            health_checked_ms: LONG_AGO_MS,
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

    /// Starts the recovery ramp anew, with these recent successes and no failures.
    pub(super) fn reset_ramp(&mut self, recent_successes: f64) {
        self.ramp_progress = 0.0;
        self.recent_successes = recent_successes;
        self.recent_failures = 0.0;
    }
}

/// The last report of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerRecord {
    pub(super) number: u32,
    pub(super) received_ms: f64,
    pub(super) report: PeerReport,
}
