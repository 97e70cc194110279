//! Model checking: all that can happen to two dispatchers with three levels, in coarse steps of time.

use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use tansymux_service_levels::{
    Condition, Config, Degradation, Level, LevelStateMachine, Signal, Trigger,
};

/// A step of the model (ms), and how often a machine evaluates in it.
const STEP_MS: f64 = 20_000.0;
const EVALUATIONS: u32 = 20;

fn config() -> Config {
    let level = |name: &str, enter: f64, leave: f64, bounds: f64| Level {
        name: name.into(),
        enter: Condition {
            all: vec![Trigger {
                signal: Signal::PressuredEngines(None),
                enter_threshold: enter,
                leave_threshold: leave,
                enter_hold_ms: 4000.0,
                leave_hold_ms: 8000.0,
            }],
            any: Vec::new(),
        },
        min_stay_ms: 20_000.0,
        degradation: Degradation {
            concurrency_factor: bounds,
            ..Degradation::default()
        },
    };
    Config {
        levels: vec![
            level("a", 0.4, 0.3, 0.8),
            level("b", 0.6, 0.5, 0.5),
            level("c", 0.8, 0.7, 0.2),
        ],
    }
}

#[derive(Debug, Clone)]
struct State {
    machines: [LevelStateMachine; 2],
    now: f64,
    /// For each machine and level: steps since it last changed, up to four.
    since: [[u8; 3]; 2],
    broken: bool,
    /// Steps in a row for which all was clear.
    clear: u8,
}

impl State {
    fn key(&self) -> ([Vec<i64>; 2], [[u8; 3]; 2], bool, u8) {
        (
            self.machines.each_ref().map(LevelStateMachine::state_key),
            self.since,
            self.broken,
            self.clear,
        )
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

/// What each reads in a step, and whether they hear each other.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Action {
    readings: [f64; 2],
    hear: bool,
}

struct Levels;

/// Steps in which a machine that sees nothing bad is back at full service: a minute for each of three levels.
const BACK: u8 = 12;

impl Model for Levels {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let fresh = || {
            let mut machine = LevelStateMachine::new(config());
            (0..4).for_each(|n| drop(machine.evaluate(&[0.0], f64::from(n) * 1000.0).cloned()));
            machine
        };
        vec![State {
            machines: [fresh(), fresh()],
            now: 3000.0,
            since: [[4; 3]; 2],
            broken: false,
            clear: 0,
        }]
    }

    fn actions(&self, _: &State, actions: &mut Vec<Action>) {
        for a in [0.1, 0.55, 0.9] {
            for b in [0.1, 0.9] {
                for hear in [true, false] {
                    actions.push(Action {
                        readings: [a, b],
                        hear,
                    });
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state
            .since
            .iter_mut()
            .flatten()
            .for_each(|since| *since = (*since + 1).min(4));
        for evaluation in 1..=EVALUATIONS {
            let now = last.now + STEP_MS * f64::from(evaluation) / f64::from(EVALUATIONS);
            for n in 0..2 {
                let machine = &mut state.machines[n];
                if let Some(change) = machine.evaluate(&[action.readings[n]], now) {
                    let (from, to) = (change.from, change.to);
                    state.broken |= from.abs_diff(to) != 1;
                    // Three whole steps of 20 s between two changes: less than a minute apart.
                    state.broken |= state.since[n][from.min(to)] < 3;
                    state.since[n][from.min(to)] = 0;
                }
                let told = state.machines[n].poll_message(now);
                if let Some(message) = told.filter(|_| action.hear) {
                    state.machines[1 - n].handle_peer_message(n as u32, &message, now);
                }
            }
        }
        state.now = last.now + STEP_MS;
        let all_clear = action.readings == [0.1, 0.1];
        state.clear = if all_clear {
            (state.clear + 1).min(BACK)
        } else {
            0
        };
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one step at a time, and no level twice in a minute",
                |_, s: &State| !s.broken,
            ),
            Property::always(
                "back at full service when all has been clear",
                |_, s: &State| {
                    s.clear < BACK || s.machines.iter().all(|machine| machine.depth() == 0)
                },
            ),
            Property::sometimes("the deepest level is reached", |_, s: &State| {
                s.machines[0].depth() == 3
            }),
        ]
    }
}

#[test]
fn all_reachable_states_of_two_dispatchers_with_three_levels_keep_the_invariants() {
    let checker = Levels
        .checker()
        .threads(4)
        .target_state_count(120_000)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
}

#[test]
fn long_chains_of_steps_keep_the_invariants() {
    let checker = Levels
        .checker()
        .threads(4)
        .target_state_count(60_000)
        .target_max_depth(60)
        .spawn_dfs()
        .join();
    checker.assert_properties();
}
