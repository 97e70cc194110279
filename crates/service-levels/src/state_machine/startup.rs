//! Where a new instance begins.

use super::{LevelChange, LevelStateMachine, Reason};

/// How long a new instance listens to its peers before its own signals choose where to begin (ms).
pub(super) const LISTEN_MS: f64 = 2500.0;

impl LevelStateMachine {
    /// Begins at the level that operators pinned, else at the median of the depths that peers reported, else where its
    /// own first readings point.
    pub(super) fn choose_initial_depth(&mut self) -> Option<&LevelChange> {
        self.is_settled = true;
        self.depth_since_ms = self.now_ms;
        let reported = self.reported_depths();
        let peers = reported.len();
        let pinned = self.pin.filter(|pin| self.now_ms < pin.until_ms);
        let depth = match (pinned, reported.get(peers / 2)) {
            (Some(pin), _) => pin.depth,
            (None, Some(median)) => *median,
            (None, None) => self.depth_by_readings(),
        };
        let depth = depth.min(self.config.levels.len());
        if depth == 0 {
            return None;
        }
        self.latch_levels(depth);
        self.change_depth(depth, Reason::Startup { peers })
    }

    /// The depth that the last readings ask for, whatever the holds.
    fn depth_by_readings(&self) -> usize {
        (0..self.config.levels.len())
            .take_while(|level| self.is_met_by_readings(*level))
            .count()
    }

    fn is_met_by_readings(&self, level: usize) -> bool {
        let condition = &self.config.levels[level].enter;
        let met: Vec<bool> = condition
            .triggers()
            .zip(&self.triggers[level])
            .map(|(trigger, state)| trigger.enters_at(self.readings[state.reading_index]))
            .collect();
        let (all, any) = met.split_at(condition.all.len());
        all.iter().all(|is_met| *is_met) && (any.is_empty() || any.contains(&true))
    }
}
