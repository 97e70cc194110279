//! What is shown of the state machine.

use super::{startup, LevelStateMachine, MIN_CHANGE_INTERVAL_MS};
use crate::latch::MISSING_SIGNAL_TIMEOUT_MS;

/// Longest hold that two machines with the same [`LevelStateMachine::state_key`] differ by (ms).
const MAX_KEY_HOLD_MS: f64 = 1e6;

/// A trigger, as shown.
#[derive(Debug, Clone, PartialEq)]
pub struct TriggerStatus {
    /// Name of its signal.
    pub signal: String,
    /// The last reading; not a number where there is none.
    pub reading: f64,
    /// The threshold to switch.
    pub threshold: f64,
    /// Whether it is on.
    pub is_on: bool,
    /// How long the threshold has been reached (ms).
    pub held_ms: f64,
    /// How long it must be reached (ms).
    pub required_ms: f64,
}

/// The level in force, and what would change it.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Levels in force.
    pub depth: usize,
    /// Name of the deepest level in force.
    pub level_name: String,
    /// Since when (ms).
    pub since_ms: f64,
    /// The depth that own signals ask for.
    pub wanted_depth: usize,
    /// Peers whose reports count.
    pub peer_count: usize,
    /// Until when an operator's pin holds (ms).
    pub pinned_until_ms: Option<f64>,
    /// Triggers of the next deeper level, with their thresholds to enter.
    pub enter_triggers: Vec<TriggerStatus>,
    /// Triggers of the level in force, with their thresholds to leave.
    pub leave_triggers: Vec<TriggerStatus>,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Enter,
    Leave,
}

impl LevelStateMachine {
    /// The level in force, and what would change it.
    pub fn status(&self) -> Status {
        let leave_triggers = match self.depth.checked_sub(1) {
            Some(level) => self.trigger_statuses(level, Direction::Leave),
            None => Vec::new(),
        };
        Status {
            depth: self.depth,
            level_name: self.level_name(self.depth).to_owned(),
            since_ms: self.depth_since_ms,
            wanted_depth: self.wanted_depth(),
            peer_count: self.peers.len(),
            pinned_until_ms: self.pin.map(|pin| pin.until_ms),
            enter_triggers: self.trigger_statuses(self.depth, Direction::Enter),
            leave_triggers,
        }
    }

    /// The triggers of a level; none for one that is not configured.
    fn trigger_statuses(&self, level: usize, direction: Direction) -> Vec<TriggerStatus> {
        let Some(definition) = self.config.levels.get(level) else {
            return Vec::new();
        };
        let triggers = definition.enter.triggers().zip(&self.triggers[level]);
        let mut statuses = Vec::new();
        for (trigger, state) in triggers {
            let (threshold, required_ms) = match direction {
                Direction::Enter => (trigger.enter_threshold, trigger.enter_hold_ms),
                Direction::Leave => (trigger.leave_threshold, trigger.leave_hold_ms),
            };
            statuses.push(TriggerStatus {
                signal: trigger.signal.name(),
                reading: self.readings[state.reading_index],
                threshold,
                is_on: state.latch.is_on,
                held_ms: state.latch.held_ms,
                required_ms,
            });
        }
        statuses
    }

    /// All that decides what comes next, with times counted from now and capped where they matter no more: two
    /// machines with the same key behave alike. For model checking.
    pub fn state_key(&self) -> Vec<i64> {
        let age = |at_ms: f64| (self.now_ms - at_ms).min(MIN_CHANGE_INTERVAL_MS + 1.0) as i64;
        let startup_age = |at_ms: f64| age(at_ms).min(startup::LISTEN_MS as i64 + 1);
        let mut key = vec![
            self.depth as i64,
            i64::from(self.is_settled),
            age(self.depth_since_ms),
            age(self.message_sent_ms),
            self.recovering_since_ms.map_or(-1, age),
            self.previous_peer_count as i64,
            self.started_ms.map_or(-1, startup_age),
        ];
        key.extend(self.level_changed_ms.iter().map(|at_ms| age(*at_ms)));
        for state in self.triggers.iter().flatten() {
            key.push(i64::from(state.latch.is_on));
            key.push(state.latch.held_ms.min(MAX_KEY_HOLD_MS) as i64);
            key.push(state.latch.missing_ms.min(MISSING_SIGNAL_TIMEOUT_MS) as i64);
        }
        for peer in &self.peers {
            key.push(i64::from(peer.number));
            key.push(i64::from(peer.report.depth));
            key.push(i64::from(peer.report.wanted_depth));
            key.push(age(peer.received_ms));
        }
        key.push(age(self.peer_lost_ms));
        key
    }
}
