//! The choice of the initial depth, and single steps to deeper and shallower levels.

use super::{LevelChange, LevelStateMachine, Reason};

/// The depth that the dispatchers agree on or an operator pinned, and the reason for a step towards it.
struct Target {
    depth: usize,
    reason: Reason,
}

impl LevelStateMachine {
    /// Chooses the initial depth: that of the pinned level if there is a pin, otherwise the median of the depths that
    /// peers reported, and without reports the depth by the last readings.
    pub(super) fn choose_initial_depth(&mut self) -> Option<&LevelChange> {
        self.is_settled = true;
        self.depth.restart(self.now_ms);
        let reported = self.peers.depths();
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
        self.triggers.switch_on(depth);
        self.change_depth(depth, Reason::Startup { peers })
    }

    /// Returns the number of levels, from the mildest on, whose conditions the last readings meet, regardless of hold
    /// times.
    fn depth_by_readings(&self) -> usize {
        let is_met = |level: &usize| {
            let condition = &self.config.levels[*level].enter;
            self.triggers.is_met_by_readings(*level, condition)
        };
        (0..self.config.levels.len()).take_while(is_met).count()
    }

    /// Makes one step towards the target depth, if the step is allowed now.
    pub(super) fn step(&mut self) -> Option<&LevelChange> {
        let now_ms = self.now_ms;
        self.pin = self.pin.filter(|pin| now_ms < pin.until_ms);
        let own_depth = self.wanted_depth();
        self.peers.detect_loss(now_ms);
        let target = match self.pin {
            Some(pin) => Target {
                depth: pin.depth,
                reason: Reason::Pinned,
            },
            None => self.agreed_depth(own_depth),
        };
        let depth = self.depth();
        if target.depth < depth {
            return self.step_towards_full_service(own_depth, target.reason);
        }
        self.recovering_since_ms = None;
        if target.depth > depth && self.depth.may_change(depth, now_ms) {
            return self.change_depth(depth + 1, target.reason);
        }
        None
    }

    /// Makes one step towards full service, once the level has stayed for its minimum time and a lower depth has been
    /// wanted for [`Self::clearing_time_ms`].
    fn step_towards_full_service(
        &mut self,
        own_depth: usize,
        reason: Reason,
    ) -> Option<&LevelChange> {
        let now_ms = self.now_ms;
        let since_ms = *self.recovering_since_ms.get_or_insert(now_ms);
        let level = self.depth() - 1;
        let has_stayed = now_ms - self.depth.since_ms() >= self.config.levels[level].min_stay_ms;
        let wanted_for_ms = now_ms - since_ms.max(self.peers.lost_ms());
        let has_cleared =
            self.pin.is_some() || wanted_for_ms >= self.clearing_time_ms(level, own_depth);
        if has_stayed && has_cleared && self.depth.may_change(level, now_ms) {
            return self.change_depth(level, reason);
        }
        None
    }

    /// Returns whether a level's condition holds, by the latches of its triggers.
    fn holds(&self, level: usize) -> bool {
        self.triggers.holds(level, &self.config.levels[level].enter)
    }

    /// Returns the depth that own signals require: that of the deepest level in force whose condition holds,
    /// increased by each directly following level whose condition holds.
    pub(super) fn wanted_depth(&self) -> usize {
        let mut wanted = (0..self.depth())
            .rev()
            .find(|level| self.holds(*level))
            .map_or(0, |level| level + 1);
        while wanted < self.config.levels.len() && self.holds(wanted) {
            wanted += 1;
        }
        wanted
    }

    /// Returns the time for which a lower depth must be wanted before a step towards full service (ms). It is 0 if
    /// own signals require the lower depth, since their latches have already waited for the hold time. It is the
    /// longest hold time of the level if only peers want the lower depth, or if a peer was lost that may have wanted
    /// the level.
    fn clearing_time_ms(&self, level: usize, own_depth: usize) -> f64 {
        let longest_hold_ms = self.config.levels[level]
            .enter
            .triggers()
            .map(|trigger| trigger.leave_hold_ms)
            .fold(0.0, f64::max);
        let lost_recently = self.now_ms - self.peers.lost_ms() < longest_hold_ms;
        if own_depth >= self.depth() || lost_recently {
            longest_hold_ms
        } else {
            0.0
        }
    }

    /// Returns the median of the depths that this dispatcher and its peers want, so that a single dispatcher cannot
    /// change the level of all. Of two medians, the one closer to `own_depth` applies; without peers the result is
    /// `own_depth`.
    fn agreed_depth(&self, own_depth: usize) -> Target {
        let mut wanted = self.peers.wanted_depths();
        wanted.push(own_depth);
        wanted.sort_unstable();
        let lower_median = wanted[(wanted.len() - 1) / 2];
        let upper_median = wanted[wanted.len() / 2];
        let depth = own_depth
            .clamp(lower_median, upper_median)
            .min(self.config.levels.len());
        let reason = if depth == own_depth {
            self.own_reason(own_depth)
        } else {
            Reason::Peers {
                peers: self.peers.count(),
                wanted_depth: depth,
            }
        };
        Target { depth, reason }
    }

    /// Returns the signals whose triggers are on for the next deeper level, or off for the level in force.
    fn own_reason(&self, own_depth: usize) -> Reason {
        let depth = self.depth();
        let deepens = own_depth > depth;
        let index = if deepens {
            depth
        } else {
            depth.saturating_sub(1)
        };
        let Some(level) = self.config.levels.get(index) else {
            return Reason::Signals(Vec::new());
        };
        Reason::Signals(self.triggers.readings_of(index, &level.enter, deepens))
    }
}
