//! Views of the state machine: its status for display, and a key of its state for model checking.

use super::{LevelStateMachine, MIN_CHANGE_INTERVAL_MS, STARTUP_LISTEN_MS};
use crate::latch::MISSING_SIGNAL_TIMEOUT_MS;

/// Maximum hold time in [`LevelStateMachine::state_key`] (ms).
const MAX_KEY_HOLD_MS: f64 = 1e6;

/// The status of a trigger.
#[derive(Debug, Clone, PartialEq)]
pub struct TriggerStatus {
    /// Name of the trigger's signal.
    pub signal: String,
    /// The last reading of the signal; NaN if unknown.
    pub reading: f64,
    /// The threshold to enter or to leave.
    pub threshold: f64,
    /// Whether the trigger is on.
    pub is_on: bool,
    /// Time for which the threshold to switch has been reached (ms).
    pub held_ms: f64,
    /// Hold time of the threshold (ms).
    pub required_ms: f64,
}

/// The level in force, and the triggers that would change it.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Number of levels in force.
    pub depth: usize,
    /// Name of the deepest level in force; [`FULL_SERVICE`](crate::FULL_SERVICE) if there is none.
    pub level_name: String,
    /// Time of the last change of depth (ms).
    pub since_ms: f64,
    /// Depth that this dispatcher's own signals require.
    pub wanted_depth: usize,
    /// Number of peers with a current report.
    pub peer_count: usize,
    /// Time at which an operator's pin ends (ms).
    pub pinned_until_ms: Option<f64>,
    /// Triggers of the next deeper level, with the thresholds to enter.
    pub enter_triggers: Vec<TriggerStatus>,
    /// Triggers of the deepest level in force, with the thresholds to leave.
    pub leave_triggers: Vec<TriggerStatus>,
}

/// Selects a threshold of a trigger.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Direction {
    /// The threshold to switch on.
    Enter,
    /// The threshold to switch off.
    Leave,
}

impl LevelStateMachine {
    /// Returns the level in force, and the triggers that would change it.
    pub fn status(&self) -> Status {
        let depth = self.depth();
        let leave_triggers = match depth.checked_sub(1) {
            Some(level) => self.trigger_statuses(level, Direction::Leave),
            None => Vec::new(),
        };
        Status {
            depth,
            level_name: self.level_name(depth).to_owned(),
            since_ms: self.depth.since_ms(),
            wanted_depth: self.wanted_depth(),
            peer_count: self.peers.count(),
            pinned_until_ms: self.pin.map(|pin| pin.until_ms),
            enter_triggers: self.trigger_statuses(depth, Direction::Enter),
            leave_triggers,
        }
    }

    /// Returns the triggers of a level; empty for a level that is not configured.
    fn trigger_statuses(&self, level: usize, direction: Direction) -> Vec<TriggerStatus> {
        match self.config.levels.get(level) {
            Some(level_config) => self
                .triggers
                .statuses(level, &level_config.enter, direction),
            None => Vec::new(),
        }
    }

    /// Returns a key for model checking: two machines with equal keys behave identically. The key leaves out pins and
    /// sequence numbers, which the model does not use. Times are ages, capped just above [`MIN_CHANGE_INTERVAL_MS`]; a
    /// model must not use longer stays or hold times.
    pub fn state_key(&self) -> Vec<i64> {
        let age = |at_ms: f64| (self.now_ms - at_ms).min(MIN_CHANGE_INTERVAL_MS + 1.0) as i64;
        let startup_age = |at_ms: f64| age(at_ms).min(STARTUP_LISTEN_MS as i64 + 1);
        let mut key = vec![
            self.depth() as i64,
            i64::from(self.is_settled),
            age(self.depth.since_ms()),
            age(self.messages.sent_ms()),
            self.recovering_since_ms.map_or(-1, age),
            self.peers.previous_count() as i64,
            self.started_ms.map_or(-1, startup_age),
        ];
        key.extend(
            self.depth
                .level_changed_ms()
                .iter()
                .map(|at_ms| age(*at_ms)),
        );
        for latch in self.triggers.latches() {
            key.push(i64::from(latch.is_on));
            key.push(latch.held_ms.min(MAX_KEY_HOLD_MS) as i64);
            key.push(latch.missing_ms.min(MISSING_SIGNAL_TIMEOUT_MS) as i64);
        }
        for peer in self.peers.all() {
            key.push(i64::from(peer.number));
            key.push(i64::from(peer.report.depth));
            key.push(i64::from(peer.report.wanted_depth));
            key.push(age(peer.received_ms));
        }
        key.push(age(self.peers.lost_ms()));
        key
    }
}
