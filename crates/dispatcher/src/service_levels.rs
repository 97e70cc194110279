//! Reduced service levels in the program: reads their signals, tells peers, the log and whoever asks, and hands the
//! decisions what the level in force asks for. Nothing here refuses a query.

use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use tansymux::control::Control;
use tansymux::settings::{self, RawSettings, SettingsMap};
use tansymux::state::LevelEffects;
use tansymux_operator_config::schema;
use tansymux_service_levels::{
    Config, Degradation, LevelChange, LevelStateMachine, OutcomeWindows, QueryOutcome, Reason,
    Signal, SignalReading, TriggerStatus,
};

/// Looks at the signals are so far apart (ms); the program's memory is looked at less often.
const LOOK_EVERY: f64 = 250.0;
const MEMORY_EVERY: f64 = 2000.0;
const PAGE: f64 = 4096.0;

struct On {
    machine: LevelStateMachine,
    signals: Vec<Signal>,
    readings: Vec<f64>,
    windows: OutcomeWindows,
}

/// What the signals of the program itself are parts of.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub memory: f64,
    pub descriptors: f64,
}

pub struct ServiceLevels {
    on: RefCell<Option<On>>,
    /// Resource groups: name, target runtime (ms) and its stretch by work, threads.
    groups: Vec<(String, f64, f64, f64)>,
    limits: Limits,
    memory: Cell<f64>,
    memory_read: Cell<f64>,
    looked: Cell<f64>,
    /// Answers to those who wait for the next change are held back for so many at most.
    pub waiting: Cell<usize>,
}

/// Those who wait for a change at most, and for how long (ms).
pub const MAX_WAITING: usize = 8;
pub const LONGEST_WAIT: f64 = 25_000.0;

impl ServiceLevels {
    pub fn new(settings: &SettingsMap, limits: Limits) -> Self {
        let count = settings
            .number(&settings::list_count("services"))
            .unwrap_or(0.0) as usize;
        let group = |i: usize| {
            let item = settings::list_item("services", i);
            let threads = settings
                .list("family-info.dop")
                .get(i)
                .and_then(|n| n.parse().ok())
                .unwrap_or(1.0f64);
            let target = settings
                .millis(&format!("{item}.aim-us"))
                .unwrap_or(f64::INFINITY);
            let stretch = settings
                .number(&format!("{item}.aim-stretch"))
                .unwrap_or(0.0);
            (
                settings
                    .get(&format!("{item}.name"))
                    .cloned()
                    .unwrap_or_default(),
                target,
                stretch,
                threads.max(1.0),
            )
        };
        ServiceLevels {
            on: RefCell::default(),
            groups: (0..count).map(group).collect(),
            limits,
            memory: Cell::new(f64::NAN),
            memory_read: Cell::new(f64::NEG_INFINITY),
            looked: Cell::new(f64::NEG_INFINITY),
            waiting: Cell::default(),
        }
    }

    /// Takes on what the operators' file says; it was checked before. Without levels the decisions get back what
    /// they had.
    pub fn set(&self, told: Option<&schema::Levels>, now: f64, control: &mut Control) {
        let definition = told
            .map(tansymux_operator_config::definition)
            .filter(|d| !d.levels.is_empty());
        let mut on = self.on.borrow_mut();
        match (on.as_mut(), definition) {
            (_, None) => {
                if on.take().is_some() {
                    tracing::info!("service levels are off");
                }
            }
            (Some(before), Some(definition)) => {
                if *before.machine.config() != definition {
                    if let Some(change) = before.machine.reconfigure(definition, now).cloned() {
                        tell(&before.machine, &change);
                    }
                    before.signals = before.machine.config().signals();
                    before.readings = vec![f64::NAN; before.signals.len()];
                }
            }
            (None, Some(definition)) => *on = Some(self.begin(definition)),
        }
        if let (Some(on), Some(told)) = (on.as_mut(), told) {
            on.machine
                .pin(told.pin.as_deref(), now + told.pin_for_s() * 1000.0);
            if let Some(level) = &told.pin {
                tracing::info!(
                    level,
                    seconds = told.pin_for_s(),
                    "a service level is pinned"
                );
            }
        }
        control.level = on.as_ref().map_or_else(LevelEffects::default, |on| {
            self.effects_of(&on.machine.degradation())
        });
    }

    fn begin(&self, definition: Config) -> On {
        let signals = definition.signals();
        let readings = vec![f64::NAN; signals.len()];
        On {
            machine: LevelStateMachine::new(definition),
            signals,
            readings,
            windows: OutcomeWindows::new(self.groups.len()),
        }
    }

    fn group(&self, name: &str) -> Option<usize> {
        self.groups
            .iter()
            .position(|(known, ..)| settings::matches_name(known, name))
    }

    /// What a level asks for, with groups by their index.
    fn effects_of(&self, asked: &Degradation) -> LevelEffects {
        let part = |(name, ..): &(String, f64, f64, f64)| {
            asked
                .classes
                .iter()
                .find(|asked| settings::matches_name(name, &asked.class))
                .map_or(1.0, |asked| asked.fraction)
        };
        LevelEffects {
            concurrency_factor: asked.concurrency_factor,
            demotion_factor: asked.demotion_factor,
            grant_factor: asked.grant_factor,
            retry_after_factor: asked.retry_after_factor,
            retry_after_jitter: asked.retry_after_jitter,
            withhold_low_retries: asked.withhold_low_retries,
            reject_over_share: asked.reject_over_share,
            min_confidence: asked.min_confidence,
            group_fractions: if asked.classes.is_empty() {
                Vec::new()
            } else {
                self.groups.iter().map(part).collect()
            },
        }
    }

    /// A query of a group ended: with a result after `took` (ms) for so much work, or without one.
    pub fn ended(&self, now: f64, rg: &str, took: f64, work: f64, finished: bool, rejected: bool) {
        let mut on = self.on.borrow_mut();
        let Some(on) = on.as_mut() else { return };
        let Some(class) = self.group(rg) else { return };
        let (_, target, stretch, threads) = &self.groups[class];
        let late = took > target + stretch * work / threads;
        let ended = match (finished, rejected) {
            (true, _) if late => QueryOutcome::Late,
            (true, _) => QueryOutcome::InTime,
            (false, true) => QueryOutcome::Rejected,
            (false, false) => QueryOutcome::Failed,
        };
        on.windows.record(class, ended, now);
    }

    /// Looks at the signals where it is time; what is to be told to peers.
    pub fn look(&self, now: f64, descriptors: usize, control: &mut Control) -> Option<[u8; 8]> {
        let mut on = self.on.borrow_mut();
        let on = on.as_mut()?;
        if now - self.looked.get() < LOOK_EVERY {
            return None;
        }
        self.looked.set(now);
        for (signal, reading) in on.signals.iter().zip(&mut on.readings) {
            let class = |name: &Option<String>| {
                name.as_deref()
                    .map(|name| self.group(name).unwrap_or(usize::MAX))
            };
            *reading = match signal {
                Signal::PressuredEngines(zone) => control.pressured_fraction(zone.as_deref()),
                Signal::ConcurrencyUsed => control.concurrency_used_fraction(),
                Signal::LateQueries(name) => on.windows.late_fraction(class(name), now),
                Signal::RejectedQueries(name) => on.windows.rejected_fraction(class(name), now),
                Signal::ReadyEngines => control.ready_fraction(),
                Signal::WarmingUpEngines => control.warming_fraction(),
                Signal::EjectedEngines => control.ejected_fraction(),
                Signal::Memory => self.memory_part(now),
                Signal::Descriptors => descriptors as f64 / self.limits.descriptors,
            };
        }
        if let Some(change) = on.machine.evaluate(&on.readings, now).cloned() {
            tell(&on.machine, &change);
            control.level = self.effects_of(&on.machine.degradation());
        }
        on.machine.poll_message(now)
    }

    fn memory_part(&self, now: f64) -> f64 {
        if now - self.memory_read.get() >= MEMORY_EVERY {
            self.memory_read.set(now);
            let resident = std::fs::read_to_string("/proc/self/statm")
                .ok()
                .and_then(|text| {
                    let pages: f64 = text.split(' ').nth(1)?.parse().ok()?;
                    Some(pages * PAGE / self.limits.memory)
                });
            self.memory.set(resident.unwrap_or(f64::NAN));
        }
        self.memory.get()
    }

    /// A peer's message, if it is one about levels.
    pub fn heard(&self, now: f64, peer: u32, content: &[u8]) -> bool {
        if content.first() != Some(&tansymux_service_levels::codec::MESSAGE_KIND) {
            return false;
        }
        if let Some(on) = self.on.borrow_mut().as_mut() {
            on.machine.handle_peer_message(peer, content, now);
        }
        true
    }

    /// Counts changes; 0 while off.
    pub fn version(&self) -> u64 {
        self.on
            .borrow()
            .as_ref()
            .map_or(0, |on| on.machine.version())
    }

    /// All that there is to show, as JSON.
    pub fn shown(&self, now: f64) -> Value {
        let on = self.on.borrow();
        let Some(on) = on.as_ref() else {
            return json!({"level": "full", "depth": 0, "version": 0, "defined": false});
        };
        let (machine, shown) = (&on.machine, on.machine.status());
        let number = |value: f64| {
            if value.is_finite() {
                json!(value)
            } else {
                Value::Null
            }
        };
        let terms = |terms: &[TriggerStatus]| -> Vec<Value> {
            let term = |term: &TriggerStatus| {
                json!({"signal": term.signal, "reads": number(term.reading), "turns_at": term.threshold,
                    "on": term.is_on, "held_ms": term.held_ms, "needed_ms": term.required_ms})
            };
            terms.iter().map(term).collect()
        };
        let history: Vec<Value> = machine
            .history()
            .iter()
            .rev()
            .map(|change| of_change(machine, change))
            .collect();
        let times = machine.time_at_depth_ms();
        let changes = machine.change_counts();
        let at = |(depth, ms): (usize, &f64)| {
            let changes = depth.checked_sub(1).map(|level| changes[level]);
            json!({"level": machine.level_name(depth), "ms": ms.round(), "changes": changes})
        };
        json!({
            "level": shown.level_name, "depth": shown.depth, "version": machine.version(), "defined": true,
            "since": shown.since_ms, "for_ms": (now - shown.since_ms).round(),
            "why": machine.history().last().map(|change| of_change(machine, change)),
            "wants": machine.level_name(shown.wanted_depth), "peers_heard": shown.peer_count, "pinned_until": shown.pinned_until_ms,
            "would_enter": terms(&shown.enter_triggers), "would_leave": terms(&shown.leave_triggers),
            "times": times.iter().enumerate().map(at).collect::<Vec<_>>(), "history": history,
        })
    }

    /// Lines for the counters; none while off.
    pub fn report(&self, text: &mut String) {
        let on = self.on.borrow();
        let Some(on) = on.as_ref() else { return };
        let times = on.machine.time_at_depth_ms();
        let changes = on.machine.change_counts();
        let _ = writeln!(text, "level_depth {}", on.machine.depth());
        for (depth, ms) in times.iter().enumerate() {
            let name = on.machine.level_name(depth);
            let _ = writeln!(text, "level_{name}_ms {ms:.0}");
            if let Some(level) = depth.checked_sub(1) {
                let _ = writeln!(text, "level_{name}_changes {}", changes[level]);
            }
        }
    }
}

fn why(why: &Reason) -> String {
    match why {
        Reason::Signals(terms) => {
            let term = |term: &SignalReading| format!("{} reads {:.3}", term.signal, term.reading);
            terms.iter().map(term).collect::<Vec<_>>().join(", ")
        }
        Reason::Peers {
            peers,
            wanted_depth,
        } => {
            format!("{peers} peers are heard, and the middle wants depth {wanted_depth}")
        }
        Reason::Pinned => "pinned by operators".into(),
        Reason::Startup { peers: 0 } => "own signals at the start".into(),
        Reason::Startup { peers } => format!("{peers} peers told of it at the start"),
        Reason::Reconfigured => "other definitions".into(),
    }
}

fn of_change(machine: &LevelStateMachine, change: &LevelChange) -> Value {
    json!({"at": change.at_ms, "from": machine.level_name(change.from), "to": machine.level_name(change.to), "why": why(&change.reason)})
}

fn tell(machine: &LevelStateMachine, change: &LevelChange) {
    let (from, to) = (
        machine.level_name(change.from),
        machine.level_name(change.to),
    );
    tracing::warn!(
        from,
        to,
        why = why(&change.reason),
        "the service level changed"
    );
}
