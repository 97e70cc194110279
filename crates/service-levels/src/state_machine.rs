//! The state machine of one dispatcher: which level is in force, by its own signals, its peers and its operators.
//!
//! [`LevelStateMachine::evaluate`] takes readings and makes at most one step (submodule `steps`); `startup` says where
//! a new instance begins, `peers` what is exchanged with others, `reconfigure` what becomes of the level in force when
//! the configuration changes, and `status` what is shown.

mod peers;
mod reconfigure;
mod startup;
mod status;
mod steps;

use crate::config::{Condition, Config, Degradation, FULL_SERVICE};
use crate::latch::Latch;
use crate::signal::Signal;
use crate::Readings;
use peers::Peer;
pub use status::{Status, TriggerStatus};

/// Each level changes at most once in this time (ms): half a second more than the minute that is promised, for clocks
/// that count it differently.
pub const MIN_CHANGE_INTERVAL_MS: f64 = 60_500.0;
/// A longer time between two evaluations is a pause of the process (ms): thresholds must be reached anew after it,
/// since nobody measured.
const MAX_EVALUATION_GAP_MS: f64 = 2000.0;
/// Changes that are kept for display.
const MAX_HISTORY: usize = 64;
/// A time before all others (ms).
const LONG_AGO_MS: f64 = -1e12;

/// A signal and what it read.
#[derive(Debug, Clone, PartialEq)]
pub struct SignalReading {
    /// [`Signal::name`].
    pub signal: String,
    /// Its reading.
    pub reading: f64,
}

/// Why the level changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Own signals: those that switched on or off.
    Signals(Vec<SignalReading>),
    /// The median of what this dispatcher and its peers want.
    Peers {
        /// Peers whose reports count.
        peers: usize,
        /// The median.
        wanted_depth: usize,
    },
    /// An operator pinned a level.
    Pinned,
    /// Where a new instance began.
    Startup {
        /// Peers that reported their depth; 0: own signals chose.
        peers: usize,
    },
    /// The configuration changed.
    Reconfigured,
}

/// A change of the level: one step, or where an instance began.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// When (ms).
    pub at_ms: f64,
    /// The depth before.
    pub from: usize,
    /// The depth from then on.
    pub to: usize,
    /// Why.
    pub reason: Reason,
}

/// A trigger's memory, and where its signal is among the readings.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TriggerState {
    reading_index: usize,
    latch: Latch,
}

/// An operator's pin.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pin {
    depth: usize,
    until_ms: f64,
}

/// Which level is in force. All times in milliseconds of the caller's clock.
#[derive(Debug, Clone)]
pub struct LevelStateMachine {
    config: Config,
    config_fingerprint: u16,
    /// For each level the state of its triggers, in the order of [`Condition::triggers`].
    triggers: Vec<Vec<TriggerState>>,
    /// The last readings, for display.
    readings: Vec<f64>,
    /// Levels in force: 0 is full service.
    depth: usize,
    depth_since_ms: f64,
    /// When each level last changed.
    level_changed_ms: Vec<f64>,
    now_ms: f64,
    started_ms: Option<f64>,
    /// Whether a new instance has chosen where to begin.
    is_settled: bool,
    peers: Vec<Peer>,
    /// Since when less than the depth in force has been wanted.
    recovering_since_ms: Option<f64>,
    previous_peer_count: usize,
    /// When the number of peers whose reports count last fell.
    peer_lost_ms: f64,
    pin: Option<Pin>,
    message_sent_ms: f64,
    sequence_number: u16,
    time_at_depth_ms: Vec<f64>,
    change_counts: Vec<u64>,
    version: u64,
    history: Vec<LevelChange>,
}

impl LevelStateMachine {
    /// A new instance with a valid configuration: see [`Config::validate`].
    pub fn new(config: Config) -> Self {
        let signals = config.signals();
        let triggers = config
            .levels
            .iter()
            .map(|level| initial_states(&level.enter, &signals))
            .collect();
        let levels = config.levels.len();
        LevelStateMachine {
            config_fingerprint: config.fingerprint(),
            triggers,
            readings: vec![f64::NAN; signals.len()],
            depth: 0,
            depth_since_ms: 0.0,
            level_changed_ms: vec![LONG_AGO_MS; levels],
            now_ms: LONG_AGO_MS,
            started_ms: None,
            is_settled: false,
            peers: Vec::new(),
            recovering_since_ms: None,
            previous_peer_count: 0,
            peer_lost_ms: LONG_AGO_MS,
            pin: None,
            message_sent_ms: LONG_AGO_MS,
            sequence_number: 0,
            time_at_depth_ms: vec![0.0; levels + 1],
            change_counts: vec![0; levels],
            version: 1,
            history: Vec::new(),
            config,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Levels in force: 0 is full service.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Counts changes: whoever has seen a number can wait for a higher one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last changes, oldest first.
    pub fn history(&self) -> &[LevelChange] {
        &self.history
    }

    /// The name of the level at a depth; that of full service at 0 and at depths that are not configured.
    pub fn level_name(&self, depth: usize) -> &str {
        let level = depth
            .checked_sub(1)
            .and_then(|index| self.config.levels.get(index));
        match level {
            Some(level) => &level.name,
            None => FULL_SERVICE,
        }
    }

    /// Time at each depth (ms), from 0.
    pub fn time_at_depth_ms(&self) -> &[f64] {
        &self.time_at_depth_ms
    }

    /// How often each level changed.
    pub fn change_counts(&self) -> &[u64] {
        &self.change_counts
    }

    /// What the level in force asks of admission control.
    pub fn degradation(&self) -> Degradation {
        let level = self
            .depth
            .checked_sub(1)
            .and_then(|index| self.config.levels.get(index));
        match level {
            Some(level) => level.degradation.clone(),
            None => Degradation::default(),
        }
    }

    /// Takes readings, and makes at most one step; to be called some times a second. A clock that goes back is
    /// taken to stand still.
    pub fn evaluate(&mut self, readings: &Readings, now_ms: f64) -> Option<&LevelChange> {
        let elapsed_ms = if self.now_ms == LONG_AGO_MS {
            0.0
        } else {
            (now_ms - self.now_ms).max(0.0)
        };
        let now_ms = now_ms.max(self.now_ms);
        self.now_ms = now_ms;
        self.time_at_depth_ms[self.depth] += elapsed_ms;
        self.update_triggers(readings, elapsed_ms);
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        self.forget_silent_peers();
        if self.is_settled {
            return self.step();
        }
        if now_ms - started_ms < startup::LISTEN_MS {
            return None;
        }
        self.choose_initial_depth()
    }

    fn update_triggers(&mut self, readings: &Readings, elapsed_ms: f64) {
        let was_paused = elapsed_ms > MAX_EVALUATION_GAP_MS;
        let counted_ms = if was_paused { 0.0 } else { elapsed_ms };
        for (index, reading) in self.readings.iter_mut().enumerate() {
            *reading = readings.get(index).copied().unwrap_or(f64::NAN);
        }
        for (level, states) in self.config.levels.iter().zip(&mut self.triggers) {
            for (trigger, state) in level.enter.triggers().zip(states) {
                if was_paused {
                    state.latch.held_ms = 0.0;
                }
                let reading = self.readings[state.reading_index];
                state.latch.update(trigger, reading, counted_ms);
            }
        }
    }

    /// Switches on the triggers of the first `levels` levels: they have to clear like any other level in force.
    fn latch_levels(&mut self, levels: usize) {
        for state in self.triggers[..levels].iter_mut().flatten() {
            state.latch = Latch::ON;
        }
    }

    /// Sets the depth, notes the change at each level between and records it.
    fn change_depth(&mut self, to: usize, reason: Reason) -> Option<&LevelChange> {
        let from = self.depth;
        for level in from.min(to)..from.max(to) {
            self.level_changed_ms[level] = self.now_ms;
            self.change_counts[level] += 1;
        }
        self.depth = to;
        self.depth_since_ms = self.now_ms;
        self.recovering_since_ms = None;
        self.version += 1;
        // The next message is due at once.
        self.message_sent_ms = LONG_AGO_MS;
        self.record_change(from, to, reason, self.now_ms)
    }

    fn record_change(
        &mut self,
        from: usize,
        to: usize,
        reason: Reason,
        at_ms: f64,
    ) -> Option<&LevelChange> {
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(LevelChange {
            at_ms,
            from,
            to,
            reason,
        });
        self.history.last()
    }

    /// Pins a level by its name until a time; `None` ends the pin. False for a name that is not known, which leaves
    /// things as they are.
    pub fn pin(&mut self, name: Option<&str>, until_ms: f64) -> bool {
        let Some(name) = name else {
            self.pin = None;
            return true;
        };
        let depth = (0..=self.config.levels.len()).find(|depth| self.level_name(*depth) == name);
        if let Some(depth) = depth {
            self.pin = Some(Pin { depth, until_ms });
        }
        depth.is_some()
    }
}

fn initial_states(condition: &Condition, signals: &[Signal]) -> Vec<TriggerState> {
    condition
        .triggers()
        .map(|trigger| TriggerState {
            reading_index: signals
                .iter()
                .position(|signal| *signal == trigger.signal)
                .unwrap_or(0),
            latch: Latch::default(),
        })
        .collect()
}
