//! Steps deeper and back, one at a time.

use super::{LevelChange, LevelStateMachine, Reason, SignalReading, MIN_CHANGE_INTERVAL_MS};

/// A depth that is wanted, and why.
struct Wanted {
    depth: usize,
    reason: Reason,
}

impl LevelStateMachine {
    pub(super) fn step(&mut self) -> Option<&LevelChange> {
        let now_ms = self.now_ms;
        self.pin = self.pin.filter(|pin| now_ms < pin.until_ms);
        let own_depth = self.wanted_depth();
        self.note_lost_peers();
        let wanted = match self.pin {
            Some(pin) => Wanted {
                depth: pin.depth,
                reason: Reason::Pinned,
            },
            None => self.agreed_depth(own_depth),
        };
        if wanted.depth < self.depth {
            return self.step_back(own_depth, wanted.reason);
        }
        self.recovering_since_ms = None;
        if wanted.depth > self.depth && self.may_change(self.depth) {
            return self.change_depth(self.depth + 1, wanted.reason);
        }
        None
    }

    /// One step towards full service, once less has been wanted for long enough.
    fn step_back(&mut self, own_depth: usize, reason: Reason) -> Option<&LevelChange> {
        let now_ms = self.now_ms;
        let since_ms = *self.recovering_since_ms.get_or_insert(now_ms);
        let level = self.depth - 1;
        let has_stayed = now_ms - self.depth_since_ms >= self.config.levels[level].min_stay_ms;
        let wanted_for_ms = now_ms - since_ms.max(self.peer_lost_ms);
        let has_cleared =
            self.pin.is_some() || wanted_for_ms >= self.clearing_time_ms(level, own_depth);
        if has_stayed && has_cleared && self.may_change(level) {
            return self.change_depth(level, reason);
        }
        None
    }

    /// Whether a level's condition holds, by its latches.
    fn holds(&self, level: usize) -> bool {
        let condition = &self.config.levels[level].enter;
        let (all, any) = self.triggers[level].split_at(condition.all.len());
        all.iter().all(|state| state.latch.is_on)
            && (any.is_empty() || any.iter().any(|state| state.latch.is_on))
    }

    /// The depth that own signals ask for: deeper through all levels that hold. A level in force that holds keeps the
    /// milder ones in force.
    pub(super) fn wanted_depth(&self) -> usize {
        let mut wanted = (0..self.depth)
            .rev()
            .find(|level| self.holds(*level))
            .map_or(0, |level| level + 1);
        while wanted < self.config.levels.len() && self.holds(wanted) {
            wanted += 1;
        }
        wanted
    }

    /// How long less must be wanted before a step back. Where own signals want it, their latches have waited already;
    /// where only peers do, or a peer that may have wanted the level was lost, the same time passes here.
    fn clearing_time_ms(&self, level: usize, own_depth: usize) -> f64 {
        let longest_hold_ms = self.config.levels[level]
            .enter
            .triggers()
            .map(|trigger| trigger.leave_hold_ms)
            .fold(0.0, f64::max);
        if own_depth >= self.depth || self.now_ms - self.peer_lost_ms < longest_hold_ms {
            longest_hold_ms
        } else {
            0.0
        }
    }

    /// The median of what this dispatcher and its peers want, so that no one drags all others; of two medians the one
    /// nearer to what is wanted here. Own signals where there is no report of a peer.
    fn agreed_depth(&self, own_depth: usize) -> Wanted {
        let mut wanted = self.depths_wanted_by_peers();
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
                peers: self.peers.len(),
                wanted_depth: depth,
            }
        };
        Wanted { depth, reason }
    }

    /// The signals that switched on for the next deeper level, or off for the level in force.
    fn own_reason(&self, own_depth: usize) -> Reason {
        let deepens = own_depth > self.depth;
        let index = if deepens {
            self.depth
        } else {
            self.depth.saturating_sub(1)
        };
        let Some(level) = self.config.levels.get(index) else {
            return Reason::Signals(Vec::new());
        };
        let mut switched = Vec::new();
        for (trigger, state) in level.enter.triggers().zip(&self.triggers[index]) {
            if state.latch.is_on == deepens {
                switched.push(SignalReading {
                    signal: trigger.signal.name(),
                    reading: self.readings[state.reading_index],
                });
            }
        }
        Reason::Signals(switched)
    }

    /// Whether a level may change: the one place where the promised interval is kept.
    fn may_change(&self, level: usize) -> bool {
        self.now_ms - self.level_changed_ms[level] >= MIN_CHANGE_INTERVAL_MS
    }
}
