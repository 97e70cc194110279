//! Configurations of the tests, and the invariants that each change of level is checked against.

use std::collections::HashMap;
use tansymux_service_levels::{
    Condition, Config, Degradation, Level, LevelChange, LevelStateMachine, Reason, Signal, Trigger,
};

pub const MINUTE_MS: f64 = 60_000.0;
/// Interval of evaluations (ms).
pub const EVALUATION_MS: f64 = 100.0;

pub fn trigger(signal: Signal, enter: f64, leave: f64) -> Trigger {
    Trigger {
        signal,
        enter_threshold: enter,
        leave_threshold: leave,
        enter_hold_ms: 3000.0,
        leave_hold_ms: 5000.0,
    }
}

pub fn level(name: &str, enter: f64, leave: f64, factor: f64) -> Level {
    Level {
        name: name.into(),
        enter: Condition {
            all: vec![trigger(Signal::PressuredEngines(None), enter, leave)],
            any: Vec::new(),
        },
        min_stay_ms: 20_000.0,
        degradation: Degradation {
            concurrency_factor: factor,
            ..Degradation::default()
        },
    }
}

/// Three levels over one signal.
pub fn three_levels() -> Config {
    Config {
        levels: vec![
            level("spare", 0.4, 0.3, 0.8),
            level("short", 0.6, 0.5, 0.5),
            level("bare", 0.8, 0.7, 0.2),
        ],
    }
}

/// Checks that after the initial depth changes are single steps, and that no level changes twice within a minute.
pub struct Invariants {
    /// Time of the last change of each level (ms).
    pub changed_at_ms: HashMap<usize, f64>,
    pub depth: usize,
    pub changes: usize,
}

impl Invariants {
    pub fn new() -> Self {
        Invariants {
            changed_at_ms: HashMap::new(),
            depth: 0,
            changes: 0,
        }
    }

    pub fn check(&mut self, change: Option<&LevelChange>) {
        let Some(change) = change else { return };
        assert_eq!(change.from, self.depth);
        let is_initial = matches!(change.reason, Reason::Startup { .. });
        assert!(
            is_initial || change.from.abs_diff(change.to) == 1,
            "{change:?}"
        );
        for level in change.from.min(change.to)..change.from.max(change.to) {
            if let Some(previous_ms) = self.changed_at_ms.insert(level, change.at_ms) {
                assert!(
                    change.at_ms - previous_ms >= MINUTE_MS,
                    "level {level} changed twice in {} ms",
                    change.at_ms - previous_ms
                );
            }
        }
        self.depth = change.to;
        self.changes += 1;
    }
}

/// Runs one machine under a load for ten minutes; see [`run_load_for`].
pub fn run_load(config: &Config, load: impl FnMut(f64) -> f64) -> (usize, usize) {
    run_load_for(config, 600_000.0, load)
}

/// Runs one machine under a load for `duration_ms`, then until it is back at full service. Returns the number of
/// changes and the deepest depth.
pub fn run_load_for(
    config: &Config,
    duration_ms: f64,
    mut load: impl FnMut(f64) -> f64,
) -> (usize, usize) {
    let (mut machine, mut invariants, mut deepest) =
        (LevelStateMachine::new(config.clone()), Invariants::new(), 0);
    let mut now = 0.0;
    while now < duration_ms {
        let reading = load(now).clamp(0.0, 1.0);
        invariants.check(machine.evaluate(&[reading], now));
        assert_eq!(machine.depth(), invariants.depth);
        deepest = deepest.max(machine.depth());
        now += EVALUATION_MS;
    }
    // Without load the machine returns to full service within a bounded time.
    let load_ended_ms = now;
    while machine.depth() > 0 {
        invariants.check(machine.evaluate(&[0.0], now));
        now += EVALUATION_MS;
        assert!(
            now - load_ended_ms < 4.0 * 61_000.0 + 60_000.0,
            "still at depth {}",
            machine.depth()
        );
    }
    (invariants.changes, deepest)
}
