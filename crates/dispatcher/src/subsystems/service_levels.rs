//! Service levels (graceful degradation) in the program: reads the signals that levels are entered by, exchanges levels
//! with peers, and hands the decisions what the level in force asks for. It never rejects a query itself.
//!
//! The state machine is the `tansymux-service-levels` package. Start reading at [`ServiceLevels::tick`].

mod display;

use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::control::Control;
use tansymux::events::PeerMessage;
use tansymux::settings::{matches_name, GroupSettings, Settings};
use tansymux::LevelEffects;
use tansymux_operator_config::schema;
use tansymux_service_levels::{
    Config, Degradation, LevelStateMachine, OutcomeWindows, QueryOutcome, Signal,
};

/// How often (ms) signals are read.
const TICK_INTERVAL_MS: f64 = 250.0;
/// How often (ms) the program's resident memory is read; that is a file of the kernel's.
const MEMORY_INTERVAL_MS: f64 = 2000.0;
/// Bytes of a page, in which the kernel counts resident memory.
const PAGE_BYTES: f64 = 4096.0;
/// Clients that may wait for the next change of level at once. Each holds a connection.
pub const MAX_WATCHERS: usize = 8;
/// How long (ms) a client may wait for the next change of level.
pub const MAX_WATCH_MS: f64 = 25_000.0;

/// The levels that the operators' file defines.
struct ActiveLevels {
    machine: LevelStateMachine,
    /// What the definition's terms read.
    signals: Vec<Signal>,
    /// The signals' values at the last tick; NaN where one has none.
    readings: Vec<f64>,
    /// Ends of queries by resource group.
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

    /// Takes another definition on, if it is another. The level in force is kept where the new definition has it.
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
}

/// The limits that signals of the program's own resources are fractions of.
#[derive(Debug, Clone, Copy)]
pub struct ResourceLimits {
    /// Memory that the program may use, in bytes.
    pub memory_bytes: f64,
    /// Descriptors that it may hold.
    pub descriptors: f64,
}

/// How a query was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// With a result.
    Completed,
    /// With a time to come back after.
    Rejected,
    /// With a final error.
    Failed,
}

/// A query was answered.
#[derive(Debug, Clone, Copy)]
pub struct QueryAnswered<'a> {
    /// Name of its resource group.
    pub group: &'a str,
    /// How it was answered.
    pub kind: AnswerKind,
    /// Time (ms) from its arrival to the answer.
    pub latency_ms: f64,
    /// Estimated cost (ms on one core), 0 where it is not known.
    pub cost_ms: f64,
}

/// The service levels of this dispatcher.
pub struct ServiceLevels {
    active: RefCell<Option<ActiveLevels>>,
    groups: Vec<GroupSettings>,
    limits: ResourceLimits,
    /// Fraction of the memory limit that was resident when it was last read, and when that was.
    memory_fraction: Cell<f64>,
    memory_read_ms: Cell<f64>,
    last_tick_ms: Cell<f64>,
    /// Clients that wait for the next change now, [`MAX_WATCHERS`] at most.
    pub watchers: Cell<usize>,
}

impl ServiceLevels {
    /// Levels are off until [`reconfigure`](Self::reconfigure) defines some.
    pub fn new(settings: &Settings, limits: ResourceLimits) -> Self {
        ServiceLevels {
            active: RefCell::default(),
            groups: settings.groups.clone(),
            limits,
            memory_fraction: Cell::new(f64::NAN),
            memory_read_ms: Cell::new(f64::NEG_INFINITY),
            last_tick_ms: Cell::new(f64::NEG_INFINITY),
            watchers: Cell::default(),
        }
    }

    /// Applies `levels` of an operators' file that was checked. Without levels the decisions are back at full service.
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
            let pinned_until_ms = now_ms + levels.pin_for_s() * 1000.0;
            current.machine.pin(levels.pin.as_deref(), pinned_until_ms);
            if let Some(level) = &levels.pin {
                tracing::info!(
                    level,
                    pin_for_s = levels.pin_for_s(),
                    "service level pinned"
                );
            }
        }
        let effects = match active.as_ref() {
            Some(current) => self.effects(&current.machine.degradation()),
            None => LevelEffects::default(),
        };
        control.set_level_effects(effects);
    }

    /// Index of a resource group, by its name in the operators' file or at a client.
    fn group_index(&self, name: &str) -> Option<usize> {
        self.groups
            .iter()
            .position(|group| matches_name(&group.name, name))
    }

    /// What a level asks of the decisions, with groups by their index.
    fn effects(&self, degradation: &Degradation) -> LevelEffects {
        LevelEffects {
            concurrency_factor: degradation.concurrency_factor,
            demotion_factor: degradation.demotion_factor,
            grant_factor: degradation.grant_factor,
            retry_after_factor: degradation.retry_after_factor,
            retry_after_jitter: degradation.retry_after_jitter,
            withhold_low_retries: degradation.withhold_low_retries,
            reject_over_quota: degradation.reject_over_quota,
            min_confidence: degradation.min_confidence,
            group_fractions: self.group_fractions(degradation),
        }
    }

    /// Fraction of queries that is admitted, by group; empty where all are.
    fn group_fractions(&self, degradation: &Degradation) -> Vec<f64> {
        if degradation.classes.is_empty() {
            return Vec::new();
        }
        let mut fractions = Vec::with_capacity(self.groups.len());
        for group in &self.groups {
            let named = degradation
                .classes
                .iter()
                .find(|named| matches_name(&group.name, &named.class));
            fractions.push(named.map_or(1.0, |named| named.fraction));
        }
        fractions
    }

    /// Counts an answer for the signals on late and rejected queries.
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
        let ended = match event.kind {
            AnswerKind::Completed if event.latency_ms > late_after_ms => QueryOutcome::Late,
            AnswerKind::Completed => QueryOutcome::InTime,
            AnswerKind::Rejected => QueryOutcome::Rejected,
            AnswerKind::Failed => QueryOutcome::Failed,
        };
        active.windows.record(index, ended, now_ms);
    }

    /// Reads the signals and changes the level, every [`TICK_INTERVAL_MS`]. Gives the message for all peers that is due.
    /// `open_descriptors`: connections of both sides.
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
                    let class = self.signal_group(group);
                    active.windows.late_fraction(class, now_ms)
                }
                Signal::RejectedQueries(group) => {
                    let class = self.signal_group(group);
                    active.windows.rejected_fraction(class, now_ms)
                }
                Signal::ReadyEngines => control.ready_fraction(),
                Signal::WarmingUpEngines => control.warming_fraction(),
                Signal::EjectedEngines => control.ejected_fraction(),
                Signal::Memory => self.memory_fraction(now_ms),
                Signal::Descriptors => open_descriptors as f64 / self.limits.descriptors,
            };
        }
        if let Some(change) = active.machine.evaluate(&active.readings, now_ms).cloned() {
            display::log_change(&active.machine, &change);
            control.set_level_effects(self.effects(&active.machine.degradation()));
        }
        active.machine.poll_message(now_ms)
    }

    /// The group that a signal reads: none for all. One that the settings do not have reads nothing.
    fn signal_group(&self, name: &Option<String>) -> Option<usize> {
        name.as_deref()
            .map(|name| self.group_index(name).unwrap_or(usize::MAX))
    }

    /// Resident memory as a fraction of the limit, read every [`MEMORY_INTERVAL_MS`]; NaN where it cannot be read.
    fn memory_fraction(&self, now_ms: f64) -> f64 {
        if now_ms - self.memory_read_ms.get() >= MEMORY_INTERVAL_MS {
            self.memory_read_ms.set(now_ms);
            let fraction =
                resident_pages().map(|pages| pages * PAGE_BYTES / self.limits.memory_bytes);
            self.memory_fraction.set(fraction.unwrap_or(f64::NAN));
        }
        self.memory_fraction.get()
    }

    /// Whether it is a message about levels. While levels are off it is passed over.
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

    /// Grows with each change of level; 0 while off.
    pub fn version(&self) -> u64 {
        self.active
            .borrow()
            .as_ref()
            .map_or(0, |active| active.machine.version())
    }

    /// What `/_levels` answers.
    pub fn to_json(&self, now_ms: f64) -> Value {
        match self.active.borrow().as_ref() {
            Some(active) => display::to_json(&active.machine, now_ms),
            None => display::disabled(),
        }
    }

    /// Lines for the counters; none while off.
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

/// Resident memory of this process, in pages.
fn resident_pages() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
