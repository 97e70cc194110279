//! What becomes of the level in force when the configuration changes.

use super::{LevelChange, LevelStateMachine, Reason};
use crate::config::{Config, Level};

impl LevelStateMachine {
    /// Replaces the configuration. Levels in force stay in force, by their names, and with them the levels that now
    /// come before them; those that are gone are left. Levels in force have to clear anew; levels that are new or
    /// switched count as changed just now, so that the promised interval holds from their first day. A pin ends.
    pub fn reconfigure(&mut self, config: Config, now_ms: f64) -> Option<&LevelChange> {
        let now_ms = now_ms.max(self.now_ms);
        let depth_before = self.depth;
        let old_levels = std::mem::take(&mut self.config.levels);
        let fresh = LevelStateMachine::new(config);
        let depth = kept_depth(&old_levels[..depth_before], &fresh.config.levels);
        let mut level_changed_ms = Vec::new();
        for (index, level) in fresh.config.levels.iter().enumerate() {
            let is_in_force = index < depth;
            let old_index = old_levels.iter().position(|old| old.name == level.name);
            level_changed_ms.push(match old_index {
                Some(old) if is_in_force == (old < depth_before) => self.level_changed_ms[old],
                _ => now_ms,
            });
        }
        *self = LevelStateMachine {
            level_changed_ms,
            depth,
            depth_since_ms: self.depth_since_ms,
            now_ms: self.now_ms,
            started_ms: self.started_ms,
            is_settled: self.is_settled,
            history: std::mem::take(&mut self.history),
            version: self.version + 1,
            sequence_number: self.sequence_number,
            // No peers: what they reported was about other levels, until they have the new configuration too.
            ..fresh
        };
        self.latch_levels(depth);
        if depth == depth_before {
            return None;
        }
        self.depth_since_ms = now_ms;
        self.record_change(depth_before, depth, Reason::Reconfigured, now_ms)
    }
}

/// The depth at which the deepest of the levels in force is in the new configuration.
fn kept_depth(in_force: &[Level], new_levels: &[Level]) -> usize {
    let new_depth = |old: &Level| {
        let index = new_levels.iter().position(|level| level.name == old.name)?;
        Some(index + 1)
    };
    in_force.iter().filter_map(new_depth).max().unwrap_or(0)
}
