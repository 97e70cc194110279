//! Service levels (graceful degradation): reads the signals that trigger levels, exchanges levels with peers, and
//! passes the degradation of the level in force to the admission controller. This module never rejects a query.
//!
//! The `tansymux-service-levels` package has the state machine. Start reading at [`ServiceLevels::tick`].
//!
//! | file | concern |
//! | --- | --- |
//! | `effects` | conversion of a degradation for the admission controller |
//! | `resident_memory` | memory signal |
//! | `display` | JSON for `/_levels`, log lines |

mod display;
mod effects;
mod resident_memory;

use effects::level_effects;
use resident_memory::ResidentMemory;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::control::Control;
use tansymux::events::PeerMessage;
use tansymux::settings::{matches_name, GroupSettings, Settings};
use tansymux::LevelEffects;
use tansymux_operator_config::schema;
use tansymux_service_levels::{Config, LevelStateMachine, OutcomeWindows, QueryOutcome, Signal};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// Interval (ms) between readings of the signals.
const TICK_INTERVAL_MS: f64 = 250.0;
/// Maximum number of clients that wait for the next change of level. Each occupies a connection.
pub const MAX_WATCHERS: usize = 8;
/// Longest time (ms) that a client may wait for the next change of level.
pub const MAX_WATCH_MS: f64 = 25_000.0;

/// State of the service levels while the operators' file defines any.
struct ActiveLevels {
    machine: LevelStateMachine,
    /// The signals that the definition uses.
    signals: Vec<Signal>,
    /// Readings of `signals` at the last tick; NaN if unknown.
    readings: Vec<f64>,
    /// Outcomes of queries by resource group.
    windows: OutcomeWindows,
}

impl ActiveLevels {
    fn new(definition: Config, group_count: usize) -> Self {
        let signals = definition.signals();
        ActiveLevels {
            machine: LevelStateMachine::new(definition),
            readings: vec![f64::NAN; signals.len()],
            signals,
            windows: OutcomeWindows::new(group_count),
        }
    }

    /// Replaces the definition if it differs. The level in force stays in force if the new definition has it.
    fn redefine(&mut self, now_ms: f64, definition: Config) {
        if *self.machine.config() == definition {
            return;
        }
        if let Some(change) = self.machine.reconfigure(definition, now_ms).cloned() {
            display::log_change(&self.machine, &change);
        }
        self.signals = self.machine.config().signals();
        self.readings = vec![f64::NAN; self.signals.len()];
    }

    /// Pins the level that `levels` names, or removes the pin if `levels` names none.
    fn apply_pin(&mut self, now_ms: f64, levels: &schema::Levels) {
        let pin_for_s = levels.pin_for_s();
        let pinned_until_ms = now_ms + pin_for_s * MS_PER_S;
        self.machine.pin(levels.pin.as_deref(), pinned_until_ms);
        if let Some(level) = &levels.pin {
            tracing::info!(level, pin_for_s, "service level pinned");
        }
    }
}

/// Limits on this process's resources. The resource signals are fractions of these limits.
#[derive(Debug, Clone, Copy)]
pub struct ResourceLimits {
    /// Memory limit (bytes).
    pub memory_bytes: f64,
    /// Maximum number of open descriptors.
    pub descriptors: f64,
}

/// Kind of a query's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A result.
    Completed,
    /// A rejection with `Retry-After`.
    Rejected,
    /// A final error.
    Failed,
}

/// Event: a query was answered.
#[derive(Debug, Clone, Copy)]
pub struct QueryAnswered<'a> {
    /// Name of the query's resource group.
    pub group: &'a str,
    /// Kind of the answer.
    pub kind: AnswerKind,
    /// Time (ms) from the query's arrival to the answer.
    pub latency_ms: f64,
    /// Estimated cost (ms on one core); 0 if unknown.
    pub cost_ms: f64,
}

/// Service levels of this dispatcher.
pub struct ServiceLevels {
    active: RefCell<Option<ActiveLevels>>,
    groups: Vec<GroupSettings>,
    limits: ResourceLimits,
    memory: ResidentMemory,
    last_tick_ms: Cell<f64>,
    /// Number of clients that wait for the next change, up to [`MAX_WATCHERS`].
    pub watchers: Cell<usize>,
}

impl ServiceLevels {
    /// Creates the subsystem without levels; [`reconfigure`](Self::reconfigure) defines them.
    pub fn new(settings: &Settings, limits: ResourceLimits) -> Self {
        ServiceLevels {
            active: RefCell::default(),
            groups: settings.groups.clone(),
            limits,
            memory: ResidentMemory::new(limits.memory_bytes),
            last_tick_ms: Cell::new(f64::NEG_INFINITY),
            watchers: Cell::default(),
        }
    }

    /// Applies `levels` of a valid operators' file. Without levels, the admission controller returns to full service.
    pub fn reconfigure(&self, levels: Option<&schema::Levels>, now_ms: f64, control: &mut Control) {
        let definition = levels
            .map(tansymux_operator_config::service_level_config)
            .filter(|definition| !definition.levels.is_empty());
        let mut active = self.active.borrow_mut();
        match (active.as_mut(), definition) {
            (Some(_), None) => {
                *active = None;
                tracing::info!("service levels disabled");
            }
            (None, None) => {}
            (Some(current), Some(definition)) => current.redefine(now_ms, definition),
            (None, Some(definition)) => {
                *active = Some(ActiveLevels::new(definition, self.groups.len()));
            }
        }
        if let (Some(current), Some(levels)) = (active.as_mut(), levels) {
            current.apply_pin(now_ms, levels);
        }
        let effects = match active.as_ref() {
            Some(current) => level_effects(&current.machine.degradation(), &self.groups),
            None => LevelEffects::default(),
        };
        control.set_level_effects(effects);
    }

    /// Returns the index of a resource group by its name, as the operators' file or a client spells it.
    fn group_index(&self, name: &str) -> Option<usize> {
        self.groups
            .iter()
            .position(|group| matches_name(&group.name, name))
    }

    /// Records an answer for the signals of late and of rejected queries.
    pub fn on_query_answered(&self, event: &QueryAnswered, now_ms: f64) {
        let mut active = self.active.borrow_mut();
        let Some(active) = active.as_mut() else {
            return;
        };
        let Some(index) = self.group_index(event.group) else {
            return;
        };
        let group = &self.groups[index];
        let late_after_ms =
            group.objective_ms + group.objective_stretch * event.cost_ms / group.threads;
        let outcome = match event.kind {
            AnswerKind::Completed if event.latency_ms > late_after_ms => QueryOutcome::Late,
            AnswerKind::Completed => QueryOutcome::InTime,
            AnswerKind::Rejected => QueryOutcome::Rejected,
            AnswerKind::Failed => QueryOutcome::Failed,
        };
        active.windows.record(index, outcome, now_ms);
    }

    /// Reads the signals and evaluates the level every [`TICK_INTERVAL_MS`]. Returns the message for all peers, if one
    /// is due. `open_descriptors`: number of open connections to clients and engines.
    pub fn tick(
        &self,
        now_ms: f64,
        open_descriptors: usize,
        control: &mut Control,
    ) -> Option<[u8; 8]> {
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        if now_ms - self.last_tick_ms.get() < TICK_INTERVAL_MS {
            return None;
        }
        self.last_tick_ms.set(now_ms);
        for (signal, reading) in active.signals.iter().zip(&mut active.readings) {
            *reading = match signal {
                Signal::PressuredEngines(zone) => control.pressured_fraction(zone.as_deref()),
                Signal::ConcurrencyUsed => control.concurrency_used_fraction(),
                Signal::LateQueries(group) => {
                    let group = self.signal_group(group);
                    active.windows.late_fraction(group, now_ms)
                }
                Signal::RejectedQueries(group) => {
                    let group = self.signal_group(group);
                    active.windows.rejected_fraction(group, now_ms)
                }
                Signal::ReadyEngines => control.ready_fraction(),
                Signal::WarmingUpEngines => control.warming_fraction(),
                Signal::EjectedEngines => control.ejected_fraction(),
                Signal::Memory => self.memory.fraction(now_ms),
                Signal::Descriptors => open_descriptors as f64 / self.limits.descriptors,
            };
        }
        if let Some(change) = active.machine.evaluate(&active.readings, now_ms).cloned() {
            display::log_change(&active.machine, &change);
            let degradation = active.machine.degradation();
            control.set_level_effects(level_effects(&degradation, &self.groups));
        }
        active.machine.poll_message(now_ms)
    }

    /// Returns the index of the group that a signal reads, or `None` if the signal reads all groups. An unknown name
    /// gets an index beyond all groups, for which the windows have no outcomes.
    fn signal_group(&self, name: &Option<String>) -> Option<usize> {
        name.as_deref()
            .map(|name| self.group_index(name).unwrap_or(usize::MAX))
    }

    /// Handles a message about service levels, and ignores it while levels are off. Returns false for other messages.
    pub fn on_peer_message(&self, message: &PeerMessage, now_ms: f64) -> bool {
        if message.content.first() != Some(&tansymux_service_levels::codec::MESSAGE_KIND) {
            return false;
        }
        if let Some(active) = self.active.borrow_mut().as_mut() {
            active
                .machine
                .handle_peer_message(message.peer, message.content, now_ms);
        }
        true
    }

    /// Returns a number that increases with each change of level; 0 while levels are off.
    pub fn version(&self) -> u64 {
        self.active
            .borrow()
            .as_ref()
            .map_or(0, |active| active.machine.version())
    }

    /// Returns the response body of `/_levels`.
    pub fn to_json(&self, now_ms: f64) -> Value {
        match self.active.borrow().as_ref() {
            Some(active) => display::to_json(&active.machine, now_ms),
            None => display::disabled(),
        }
    }

    /// Appends one line per counter; none while levels are off.
    pub fn write_counters(&self, text: &mut String) {
        let active = self.active.borrow();
        let Some(active) = active.as_ref() else {
            return;
        };
        let machine = &active.machine;
        let times = machine.time_at_depth_ms();
        let changes = machine.change_counts();
        // Writing to a String cannot fail.
        let _ = writeln!(text, "level_depth {}", machine.depth());
        for (depth, time_ms) in times.iter().enumerate() {
            let name = machine.level_name(depth);
            let _ = writeln!(text, "level_{name}_ms {time_ms:.0}");
            if let Some(level) = depth.checked_sub(1) {
                let _ = writeln!(text, "level_{name}_changes {}", changes[level]);
            }
        }
    }
}
