//! The state machine of one dispatcher. Its own signals, the reports of peers and pins by operators determine the level
//! in force.
//!
//! [`LevelStateMachine::evaluate`] applies readings and changes the level by at most one step.
//!
//! | file | concern |
//! | --- | --- |
//! | `triggers` | the latches of all triggers, and the last readings |
//! | `depth` | the depth in force, and the history of its changes |
//! | `peers` | reports of peers, and the schedule of messages to them |
//! | `steps` | the initial depth, and steps to deeper and shallower levels |
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

/// Minimum time between two changes of a level (ms): one minute, as documented for operators, and half a second for
/// differences between clocks.
pub const MIN_CHANGE_INTERVAL_MS: f64 = 60_500.0;
/// Time for which a new instance waits for reports of peers before it chooses its initial depth (ms).
const STARTUP_LISTEN_MS: f64 = 2500.0;
/// Time of an event that has not happened: earlier than any other time (ms).
const DISTANT_PAST_MS: f64 = -1e12;

/// A reading of a signal.
#[derive(Debug, Clone, PartialEq)]
pub struct SignalReading {
    /// Name of the signal: [`Signal::name`](crate::Signal::name).
    pub signal: String,
    /// The reading.
    pub reading: f64,
}

/// The reason for a change of level.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Triggers of this dispatcher switched on or off, at these readings.
    Signals(Vec<SignalReading>),
    /// The median of the depths that this dispatcher and its peers want.
    Peers {
        /// Number of peers with a current report.
        peers: usize,
        /// The median depth.
        wanted_depth: usize,
    },
    /// An operator pinned a level.
    Pinned,
    /// The initial depth of a new instance.
    Startup {
        /// Number of peers that reported their depth; if 0, the initial depth follows from own signals or a pin.
        peers: usize,
    },
    /// The configuration changed.
    Reconfigured,
}

/// A change of level: one step, the initial depth of an instance, or the result of a new configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// Time of the change (ms).
    pub at_ms: f64,
    /// The depth before the change.
    pub from: usize,
    /// The depth after the change.
    pub to: usize,
    /// The reason for the change.
    pub reason: Reason,
}

/// A level that an operator pinned.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pin {
    depth: usize,
    until_ms: f64,
}

/// The state machine of service levels at one dispatcher. All times are in milliseconds on the caller's clock.
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
    /// Time of the first evaluation (ms).
    started_ms: Option<f64>,
    /// Whether this instance has chosen its initial depth.
    is_settled: bool,
    /// Time since which a depth below the one in force has been wanted (ms).
    recovering_since_ms: Option<f64>,
}

impl LevelStateMachine {
    /// Creates a new instance. The configuration must be valid: see [`Config::validate`].
    pub fn new(config: Config) -> Self {
        LevelStateMachine {
            config_fingerprint: config.fingerprint(),
            triggers: TriggerStates::new(&config),
            depth: DepthRecord::new(config.levels.len()),
            peers: PeerReports::new(),
            messages: MessageSchedule::new(),
            pin: None,
            now_ms: DISTANT_PAST_MS,
            started_ms: None,
            is_settled: false,
            recovering_since_ms: None,
            config,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the number of levels in force; 0 is full service.
    pub fn depth(&self) -> usize {
        self.depth.depth()
    }

    /// Returns a version that increases with each change of the depth or the configuration, so that a client can wait
    /// for a higher one.
    pub fn version(&self) -> u64 {
        self.depth.version()
    }

    /// Returns the latest changes, oldest first.
    pub fn history(&self) -> &[LevelChange] {
        self.depth.history()
    }

    /// Returns the total time at each depth (ms), from depth 0, since the last change of the configuration.
    pub fn time_at_depth_ms(&self) -> &[f64] {
        self.depth.time_at_depth_ms()
    }

    /// Returns the number of changes of each level since the last change of the configuration.
    pub fn change_counts(&self) -> &[u64] {
        self.depth.change_counts()
    }

    /// Returns the name of the level at a depth; [`FULL_SERVICE`] for 0 and for depths that are not configured.
    pub fn level_name(&self, depth: usize) -> &str {
        self.level_at(depth)
            .map_or(FULL_SERVICE, |level| &level.name)
    }

    /// Returns the degradation of the level in force.
    pub fn degradation(&self) -> Degradation {
        self.level_at(self.depth())
            .map_or_else(Degradation::default, |level| level.degradation.clone())
    }

    /// Returns the level at a depth; `None` for 0 and for depths that are not configured.
    fn level_at(&self, depth: usize) -> Option<&Level> {
        self.config.levels.get(depth.checked_sub(1)?)
    }

    /// Applies readings, and changes the level by at most one step. Call it several times per second. If the clock goes
    /// backwards, the time of the previous call is used.
    pub fn evaluate(&mut self, readings: &Readings, now_ms: f64) -> Option<&LevelChange> {
        let elapsed_ms = if self.now_ms == DISTANT_PAST_MS {
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

    /// Returns the message to send to all peers, if one is due: immediately after a change, otherwise at an interval.
    /// The messages of a new instance request the depths of its peers.
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

    /// Handles a message of a peer. Ignores messages that are malformed, of another configuration, or older than the
    /// peer's last one.
    pub fn handle_peer_message(&mut self, peer: u32, content: &[u8], now_ms: f64) {
        let Ok(report) = codec::decode(content) else {
            return;
        };
        if report.config_fingerprint != self.config_fingerprint {
            return;
        }
        let now_ms = now_ms.max(self.now_ms);
        if report.depth == DEPTH_UNKNOWN {
            // A new instance counts as a peer only after it has chosen its initial depth.
            self.messages.request_reply_to_new_instance(now_ms);
            return;
        }
        self.peers.record(peer, report, now_ms);
    }

    /// Pins the level with a name until `until_ms`; `None` ends the pin. Returns false, without any change, for an
    /// unknown name.
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

    /// Replaces the configuration. Levels in force that the new configuration contains, by name, stay in force; their
    /// triggers must be clear for the whole hold time before they are left. Levels that it does not contain are left. A
    /// pin ends. Peers count again once they report with the new configuration. Returns the change of level, if any.
    pub fn reconfigure(&mut self, config: Config, now_ms: f64) -> Option<&LevelChange> {
        let now_ms = now_ms.max(self.now_ms);
        let old = std::mem::replace(self, LevelStateMachine::new(config));
        self.now_ms = old.now_ms;
        self.started_ms = old.started_ms;
        self.is_settled = old.is_settled;
        self.messages = old.messages;
        self.messages.make_due();
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

    /// Changes the depth, and makes the next message due immediately.
    fn change_depth(&mut self, to: usize, reason: Reason) -> Option<&LevelChange> {
        self.depth.change(to, reason, self.now_ms);
        self.recovering_since_ms = None;
        self.messages.make_due();
        self.history().last()
    }
}

/// Returns a depth as encoded in messages: below [`DEPTH_UNKNOWN`].
fn depth_byte(depth: usize) -> u8 {
    depth.min(usize::from(DEPTH_UNKNOWN) - 1) as u8
}
