//! Levels of the tests, and loads whose every change is checked against the invariants.

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

pub fn level(name: &str, enter: f64, leave: f64, bounds: f64) -> Level {
    Level {
        name: name.into(),
        enter: Condition {
            all: vec![trigger(Signal::PressuredEngines(None), enter, leave)],
            any: Vec::new(),
        },
        min_stay_ms: 20_000.0,
        degradation: Degradation {
            concurrency_factor: bounds,
            ..Degradation::default()
        },
    }
}

/// Three levels over one signal.
pub fn three() -> Config {
    Config {
        levels: vec![
            level("spare", 0.4, 0.3, 0.8),
            level("short", 0.6, 0.5, 0.5),
            level("bare", 0.8, 0.7, 0.2),
        ],
    }
}

/// Depths that a change may never pass over, and changes of a level within a minute.
pub struct Invariants {
    pub changed: HashMap<usize, f64>,
    pub depth: usize,
    pub changes: usize,
}

impl Invariants {
    pub fn new() -> Self {
        Invariants {
            changed: HashMap::new(),
            depth: 0,
            changes: 0,
        }
    }

    pub fn check(&mut self, change: Option<&LevelChange>) {
        let Some(change) = change else { return };
        assert_eq!(change.from, self.depth);
        let begins = matches!(change.reason, Reason::Startup { .. });
        assert!(begins || change.from.abs_diff(change.to) == 1, "{change:?}");
        for level in change.from.min(change.to)..change.from.max(change.to) {
            if let Some(before) = self.changed.insert(level, change.at_ms) {
                assert!(
                    change.at_ms - before >= MINUTE_MS,
                    "level {level} changed twice in {} ms",
                    change.at_ms - before
                );
            }
        }
        self.depth = change.to;
        self.changes += 1;
    }
}

/// Ten minutes of a load; how often levels changed, and the deepest.
pub fn swing(config: &Config, load: impl FnMut(f64) -> f64) -> (usize, usize) {
    swing_for(config, 600_000.0, load)
}

pub fn swing_for(config: &Config, lasts: f64, mut load: impl FnMut(f64) -> f64) -> (usize, usize) {
    let (mut machine, mut invariants, mut deepest) =
        (LevelStateMachine::new(config.clone()), Invariants::new(), 0);
    let mut now = 0.0;
    while now < lasts {
        let reading = load(now).clamp(0.0, 1.0);
        invariants.check(machine.evaluate(&[reading], now));
        assert_eq!(machine.depth(), invariants.depth);
        deepest = deepest.max(machine.depth());
        now += EVALUATION_MS;
    }
    // When all is clear it comes back to full service, in order, in bounded time.
    let from = now;
    while machine.depth() > 0 {
        invariants.check(machine.evaluate(&[0.0], now));
        now += EVALUATION_MS;
        assert!(
            now - from < 4.0 * 61_000.0 + 60_000.0,
            "stuck at {}",
            machine.depth()
        );
    }
    (invariants.changes, deepest)
}
