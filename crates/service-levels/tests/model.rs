//! Model checking of two dispatchers with three levels, in steps of 20 s: every combination of readings, with and
//! without messages between them.

use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use tansymux_service_levels::{
    Condition, Config, Degradation, Level, LevelStateMachine, Signal, Trigger,
};

/// Length of a step of the model (ms).
const STEP_MS: f64 = 20_000.0;
/// Number of evaluations of each machine per step.
const EVALUATIONS: u32 = 20;

fn config() -> Config {
    let level = |name: &str, enter: f64, leave: f64, factor: f64| Level {
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
            concurrency_factor: factor,
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
    now_ms: f64,
    /// Steps since the last change of each level, by machine; at most four.
    steps_since_change: [[u8; 3]; 2],
    is_violated: bool,
    /// Number of consecutive steps in which all readings were clear, at most [`RECOVERY_STEPS`].
    clear_steps: u8,
}

impl State {
    fn key(&self) -> ([Vec<i64>; 2], [[u8; 3]; 2], bool, u8) {
        (
            self.machines.each_ref().map(LevelStateMachine::state_key),
            self.steps_since_change,
            self.is_violated,
            self.clear_steps,
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
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

/// The readings of both machines in a step, and whether they receive each other's messages.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Action {
    readings: [f64; 2],
    is_connected: bool,
}

struct TwoDispatchers;

/// Number of clear steps after which both machines must be at full service: one minute for each of three levels, and
/// another minute as a margin.
const RECOVERY_STEPS: u8 = 12;

impl Model for TwoDispatchers {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let settled_machine = || {
            let mut machine = LevelStateMachine::new(config());
            (0..4).for_each(|n| drop(machine.evaluate(&[0.0], f64::from(n) * 1000.0).cloned()));
            machine
        };
        vec![State {
            machines: [settled_machine(), settled_machine()],
            now_ms: 3000.0,
            steps_since_change: [[4; 3]; 2],
            is_violated: false,
            clear_steps: 0,
        }]
    }

    fn actions(&self, _: &State, actions: &mut Vec<Action>) {
        for a in [0.1, 0.55, 0.9] {
            for b in [0.1, 0.9] {
                for is_connected in [true, false] {
                    actions.push(Action {
                        readings: [a, b],
                        is_connected,
                    });
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state
            .steps_since_change
            .iter_mut()
            .flatten()
            .for_each(|steps| *steps = (*steps + 1).min(4));
        for evaluation in 1..=EVALUATIONS {
            let now_ms = last.now_ms + STEP_MS * f64::from(evaluation) / f64::from(EVALUATIONS);
            for n in 0..2 {
                let machine = &mut state.machines[n];
                if let Some(change) = machine.evaluate(&[action.readings[n]], now_ms) {
                    let (from, to) = (change.from, change.to);
                    state.is_violated |= from.abs_diff(to) != 1;
                    // Fewer than three steps of 20 s between two changes: less than a minute.
                    state.is_violated |= state.steps_since_change[n][from.min(to)] < 3;
                    state.steps_since_change[n][from.min(to)] = 0;
                }
                let due_message = state.machines[n].poll_message(now_ms);
                if let Some(message) = due_message.filter(|_| action.is_connected) {
                    state.machines[1 - n].handle_peer_message(n as u32, &message, now_ms);
                }
            }
        }
        state.now_ms = last.now_ms + STEP_MS;
        let all_clear = action.readings == [0.1, 0.1];
        state.clear_steps = if all_clear {
            (state.clear_steps + 1).min(RECOVERY_STEPS)
        } else {
            0
        };
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the depth changes by single steps, and no level changes twice in a minute",
                |_, s: &State| !s.is_violated,
            ),
            Property::always(
                "full service is restored after clear readings",
                |_, s: &State| {
                    s.clear_steps < RECOVERY_STEPS
                        || s.machines.iter().all(|machine| machine.depth() == 0)
                },
            ),
            Property::sometimes("the deepest level is reached", |_, s: &State| {
                s.machines[0].depth() == 3
            }),
        ]
    }
}

#[test]
fn breadth_first_search_of_states_keeps_the_invariants() {
    let checker = TwoDispatchers
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
fn depth_first_search_of_long_runs_keeps_the_invariants() {
    let checker = TwoDispatchers
        .checker()
        .threads(4)
        .target_state_count(60_000)
        .target_max_depth(60)
        .spawn_dfs()
        .join();
    checker.assert_properties();
}
