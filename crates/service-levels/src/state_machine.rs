//! The state machine of one dispatcher: the level in force, by its own signals, its peers and its operators.
//!
//! [`LevelStateMachine::evaluate`] applies readings and makes at most one step.
//!
//! | file | concern |
//! | --- | --- |
//! | `triggers` | the triggers' latches, and the last readings |
//! | `depth` | the depth in force, and the record of its changes |
//! | `peers` | reports of peers, and the schedule of own messages |
//! | `steps` | steps deeper and back |
//! | `status` | the state for display and for model checking |

mod depth;
mod peers;
mod status;
mod steps;
mod triggers;

use crate::codec::{self, PeerReport, DEPTH_UNKNOWN};
use crate::config::{Config, Degradation, Level, FULL_SERVICE};
use crate::Readings;
use depth::DepthRecord;
use peers::{MessageSchedule, PeerReports};
pub use status::{Status, TriggerStatus};
use triggers::TriggerStates;

/// Shortest time between two changes of one level (ms): the minute that the operators' pages promise, and half a second
/// for differences between clocks.
pub const MIN_CHANGE_INTERVAL_MS: f64 = 60_500.0;
/// How long a new instance waits for reports of peers before it chooses its initial depth (ms).
const STARTUP_LISTEN_MS: f64 = 2500.0;
/// A time before all others (ms).
const LONG_AGO_MS: f64 = -1e12;

/// A signal with its reading.
#[derive(Debug, Clone, PartialEq)]
pub struct SignalReading {
    /// Name of the signal: [`Signal::name`](crate::Signal::name).
    pub signal: String,
    /// The signal's reading.
    pub reading: f64,
}

/// The reason of a change of level.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Own signals that switched on or off.
    Signals(Vec<SignalReading>),
    /// The median of the depths that this dispatcher and its peers want.
    Peers {
        /// Number of peers with a current report.
        peers: usize,
        /// The median.
        wanted_depth: usize,
    },
    /// An operator pinned a level.
    Pinned,
    /// The initial depth of a new instance.
    Startup {
        /// Number of peers that reported their depth; 0: the initial depth follows from own signals.
        peers: usize,
    },
    /// The configuration changed.
    Reconfigured,
}

/// A change of level: one step, or the initial depth of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// Time of the change (ms).
    pub at_ms: f64,
    /// The depth before.
    pub from: usize,
    /// The depth after the change.
    pub to: usize,
    /// The reason.
    pub reason: Reason,
}

/// A level that an operator pinned.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pin {
    depth: usize,
    until_ms: f64,
}

/// The state machine. All times are milliseconds on the caller's clock.
#[derive(Debug, Clone)]
pub struct LevelStateMachine {
    config: Config,
    config_fingerprint: u16,
    triggers: TriggerStates,
    depth: DepthRecord,
    peers: PeerReports,
    messages: MessageSchedule,
    pin: Option<Pin>,
    now_ms: f64,
    /// Time of the first evaluation.
    started_ms: Option<f64>,
    /// Whether a new instance has chosen its initial depth.
    is_settled: bool,
    /// Start of the time for which a depth below the one in force has been wanted.
    recovering_since_ms: Option<f64>,
}

impl LevelStateMachine {
    /// A new instance with a valid configuration: see [`Config::validate`].
    pub fn new(config: Config) -> Self {
        LevelStateMachine {
            config_fingerprint: config.fingerprint(),
            triggers: TriggerStates::new(&config),
            depth: DepthRecord::new(config.levels.len()),
            peers: PeerReports::new(),
            messages: MessageSchedule::new(),
            pin: None,
            now_ms: LONG_AGO_MS,
            started_ms: None,
            is_settled: false,
            recovering_since_ms: None,
            config,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Number of levels in force; 0 is full service.
    pub fn depth(&self) -> usize {
        self.depth.depth()
    }

    /// A number that increases with each change, so that a client can wait for a higher one.
    pub fn version(&self) -> u64 {
        self.depth.version()
    }

    /// The last changes, oldest first.
    pub fn history(&self) -> &[LevelChange] {
        self.depth.history()
    }

    /// Time at each depth (ms), from depth 0.
    pub fn time_at_depth_ms(&self) -> &[f64] {
        self.depth.time_at_depth_ms()
    }

    /// Number of changes of each level.
    pub fn change_counts(&self) -> &[u64] {
        self.depth.change_counts()
    }

    /// The name of the level at a depth; that of full service at 0 and at depths that are not configured.
    pub fn level_name(&self, depth: usize) -> &str {
        self.level_at(depth)
            .map_or(FULL_SERVICE, |level| &level.name)
    }

    /// The degradation of the level in force.
    pub fn degradation(&self) -> Degradation {
        self.level_at(self.depth())
            .map_or_else(Degradation::default, |level| level.degradation.clone())
    }

    /// The level at a depth; `None` at 0 and at depths that are not configured.
    fn level_at(&self, depth: usize) -> Option<&Level> {
        self.config.levels.get(depth.checked_sub(1)?)
    }

    /// Applies readings, and makes at most one step. To be called several times a second. If the clock goes back, the
    /// time of the last call is used.
    pub fn evaluate(&mut self, readings: &Readings, now_ms: f64) -> Option<&LevelChange> {
        let elapsed_ms = if self.now_ms == LONG_AGO_MS {
            0.0
        } else {
            (now_ms - self.now_ms).max(0.0)
        };
        let now_ms = now_ms.max(self.now_ms);
        self.now_ms = now_ms;
        self.depth.advance_time(elapsed_ms);
        self.triggers.update(&self.config, readings, elapsed_ms);
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        self.peers.remove_expired(now_ms);
        if self.is_settled {
            return self.step();
        }
        if now_ms - started_ms < STARTUP_LISTEN_MS {
            return None;
        }
        self.choose_initial_depth()
    }

    /// The message that is due to peers, if one is: at once after a change, else at an interval. A message of a new
    /// instance requests the others' depths.
    pub fn poll_message(&mut self, now_ms: f64) -> Option<[u8; codec::MESSAGE_LEN]> {
        if !self.messages.is_due(self.is_settled, now_ms) || self.config.levels.is_empty() {
            return None;
        }
        let depth = if self.is_settled {
            depth_byte(self.depth())
        } else {
            DEPTH_UNKNOWN
        };
        Some(codec::encode(PeerReport {
            config_fingerprint: self.config_fingerprint,
            depth,
            wanted_depth: depth_byte(self.wanted_depth()),
            sequence_number: self.messages.next_sequence_number(now_ms),
        }))
    }

    /// Records a peer's message. Ignores messages with another configuration, and those older than the last one.
    pub fn handle_peer_message(&mut self, peer: u32, content: &[u8], now_ms: f64) {
        let Ok(report) = codec::decode(content) else {
            return;
        };
        if report.config_fingerprint != self.config_fingerprint {
            return;
        }
        let now_ms = now_ms.max(self.now_ms);
        if report.depth == DEPTH_UNKNOWN {
            // A new instance does not count as a peer before it has chosen its initial depth.
            self.messages.answer_new_instance(now_ms);
            return;
        }
        self.peers.record(peer, report, now_ms);
    }

    /// Pins a level by its name until a time; `None` ends the pin. Returns false for an unknown name, which changes
    /// nothing.
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

    /// Replaces the configuration. Levels in force stay in force, by their names, and have to clear anew; levels that are
    /// not in the new configuration are left. A pin ends. Peers count again once they report with the new configuration.
    pub fn reconfigure(&mut self, config: Config, now_ms: f64) -> Option<&LevelChange> {
        let now_ms = now_ms.max(self.now_ms);
        let old = std::mem::replace(self, LevelStateMachine::new(config));
        self.now_ms = old.now_ms;
        self.started_ms = old.started_ms;
        self.is_settled = old.is_settled;
        self.messages = old.messages;
        self.messages.send_at_once();
        self.depth = old.depth;
        let is_changed = self
            .depth
            .reconfigure(&old.config.levels, &self.config.levels, now_ms);
        self.triggers.switch_on(self.depth());
        if is_changed {
            self.history().last()
        } else {
            None
        }
    }

    /// Changes the depth now. The next message is due at once.
    fn change_depth(&mut self, to: usize, reason: Reason) -> Option<&LevelChange> {
        self.depth.change(to, reason, self.now_ms);
        self.recovering_since_ms = None;
        self.messages.send_at_once();
        self.history().last()
    }
}

/// A depth as a message holds it: below [`DEPTH_UNKNOWN`].
fn depth_byte(depth: usize) -> u8 {
    depth.min(usize::from(DEPTH_UNKNOWN) - 1) as u8
}
