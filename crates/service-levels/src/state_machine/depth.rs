//! The depth in force, and the history of its changes.

use super::{LevelChange, Reason, DISTANT_PAST_MS, MIN_CHANGE_INTERVAL_MS};
use crate::config::Level;

/// Maximum number of changes in the history.
const MAX_HISTORY: usize = 64;

/// The depth in force, with the times and counts of its changes.
#[derive(Debug, Clone)]
pub(super) struct DepthRecord {
    depth: usize,
    since_ms: f64,
    /// Time of the last change of each level (ms).
    level_changed_ms: Vec<f64>,
    time_at_depth_ms: Vec<f64>,
    change_counts: Vec<u64>,
    version: u64,
    history: Vec<LevelChange>,
}

impl DepthRecord {
    /// Creates a record at full service, with `levels` levels that have never changed.
    pub fn new(levels: usize) -> Self {
        DepthRecord {
            depth: 0,
            since_ms: 0.0,
            level_changed_ms: vec![DISTANT_PAST_MS; levels],
            time_at_depth_ms: vec![0.0; levels + 1],
            change_counts: vec![0; levels],
            version: 1,
            history: Vec::new(),
        }
    }

    /// Returns the number of levels in force.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Returns the time of the last change of depth (ms).
    pub fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// Returns the total time at each depth (ms), from depth 0, since the last change of the configuration.
    pub fn time_at_depth_ms(&self) -> &[f64] {
        &self.time_at_depth_ms
    }

    /// Returns the number of changes of each level since the last change of the configuration.
    pub fn change_counts(&self) -> &[u64] {
        &self.change_counts
    }

    /// Returns a version that increases with each change of the depth or the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the latest changes, oldest first.
    pub fn history(&self) -> &[LevelChange] {
        &self.history
    }

    /// Returns the time of the last change of each level (ms).
    pub fn level_changed_ms(&self) -> &[f64] {
        &self.level_changed_ms
    }

    /// Returns whether a level may change. Only this function enforces [`MIN_CHANGE_INTERVAL_MS`].
    pub fn may_change(&self, level: usize, now_ms: f64) -> bool {
        now_ms - self.level_changed_ms[level] >= MIN_CHANGE_INTERVAL_MS
    }

    /// Adds elapsed time to the total of the current depth.
    pub fn advance_time(&mut self, elapsed_ms: f64) {
        self.time_at_depth_ms[self.depth] += elapsed_ms;
    }

    /// Sets the start of the current depth to now, without a change.
    pub fn restart(&mut self, now_ms: f64) {
        self.since_ms = now_ms;
    }

    /// Changes the depth, and records a change for each level between the old and the new depth.
    pub fn change(&mut self, to: usize, reason: Reason, now_ms: f64) {
        let from = self.depth;
        for level in from.min(to)..from.max(to) {
            self.level_changed_ms[level] = now_ms;
            self.change_counts[level] += 1;
        }
        self.depth = to;
        self.since_ms = now_ms;
        self.version += 1;
        self.add_to_history(from, reason, now_ms);
    }

    /// Replaces the levels, and returns whether the depth changes. Levels are matched by name: those in force stay in
    /// force, together with all levels that precede them in the new order. New levels, and levels that come into
    /// force or go out of force, count as changed now, so that [`MIN_CHANGE_INTERVAL_MS`] applies to them too.
    pub fn reconfigure(&mut self, old_levels: &[Level], new_levels: &[Level], now_ms: f64) -> bool {
        let depth_before = self.depth;
        let depth = retained_depth(&old_levels[..depth_before], new_levels);
        let mut level_changed_ms = Vec::with_capacity(new_levels.len());
        for (index, level) in new_levels.iter().enumerate() {
            let is_in_force = index < depth;
            let old_index = old_levels.iter().position(|old| old.name == level.name);
            level_changed_ms.push(match old_index {
                Some(old) if is_in_force == (old < depth_before) => self.level_changed_ms[old],
                _ => now_ms,
            });
        }
        *self = DepthRecord {
            depth,
            since_ms: self.since_ms,
            level_changed_ms,
            version: self.version + 1,
            history: std::mem::take(&mut self.history),
            ..DepthRecord::new(new_levels.len())
        };
        if depth == depth_before {
            return false;
        }
        self.since_ms = now_ms;
        self.add_to_history(depth_before, Reason::Reconfigured, now_ms);
        true
    }

    fn add_to_history(&mut self, from: usize, reason: Reason, at_ms: f64) {
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(LevelChange {
            at_ms,
            from,
            to: self.depth,
            reason,
        });
    }
}

/// Returns the depth, in the new levels, of the deepest level that was in force; 0 if none of them remains.
fn retained_depth(in_force: &[Level], new_levels: &[Level]) -> usize {
    let new_depth = |old: &Level| {
        let index = new_levels.iter().position(|level| level.name == old.name)?;
        Some(index + 1)
    };
    in_force.iter().filter_map(new_depth).max().unwrap_or(0)
}
