//! The states of all triggers, and the last readings of their signals.

use super::status::{Direction, TriggerStatus};
use super::SignalReading;
use crate::config::{Condition, Config};
use crate::latch::Latch;
use crate::signal::Signal;
use crate::Readings;

/// Maximum time between two evaluations (ms). A longer time counts as a pause of the process, during which nothing was
/// measured: hold times start again after it.
const MAX_EVALUATION_GAP_MS: f64 = 2000.0;

/// The state of one trigger.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TriggerState {
    /// Index of the trigger's signal among the readings.
    reading_index: usize,
    latch: Latch,
}

/// The triggers of all levels. Methods that take a level also take its condition.
#[derive(Debug, Clone)]
pub(super) struct TriggerStates {
    /// States of the triggers of each level, in the order of [`Condition::triggers`].
    by_level: Vec<Vec<TriggerState>>,
    /// The last reading of each signal, in the order of [`Config::signals`].
    readings: Vec<f64>,
}

impl TriggerStates {
    /// Creates the states of a configuration's triggers: all off, without readings.
    pub fn new(config: &Config) -> Self {
        let signals = config.signals();
        let levels = config.levels.iter();
        TriggerStates {
            by_level: levels
                .map(|level| initial_states(&level.enter, &signals))
                .collect(),
            readings: vec![f64::NAN; signals.len()],
        }
    }

    /// Updates all latches with readings taken `elapsed_ms` after the previous ones.
    pub fn update(&mut self, config: &Config, readings: &Readings, elapsed_ms: f64) {
        let was_paused = elapsed_ms > MAX_EVALUATION_GAP_MS;
        let counted_ms = if was_paused { 0.0 } else { elapsed_ms };
        for (index, reading) in self.readings.iter_mut().enumerate() {
            *reading = readings.get(index).copied().unwrap_or(f64::NAN);
        }
        for (level, states) in config.levels.iter().zip(&mut self.by_level) {
            for (trigger, state) in level.enter.triggers().zip(states) {
                if was_paused {
                    state.latch.held_ms = 0.0;
                }
                let reading = self.readings[state.reading_index];
                state.latch.update(trigger, reading, counted_ms);
            }
        }
    }

    /// Switches on all triggers of the first `levels` levels: they must clear before a level is left.
    pub fn switch_on(&mut self, levels: usize) {
        for state in self.by_level[..levels].iter_mut().flatten() {
            state.latch = Latch::ON;
        }
    }

    /// Returns whether a level's condition holds, by the latches of its triggers.
    pub fn holds(&self, level: usize, condition: &Condition) -> bool {
        let (all, any) = self.by_level[level].split_at(condition.all.len());
        all.iter().all(|state| state.latch.is_on)
            && (any.is_empty() || any.iter().any(|state| state.latch.is_on))
    }

    /// Returns whether the last readings meet a level's condition, regardless of hold times.
    pub fn is_met_by_readings(&self, level: usize, condition: &Condition) -> bool {
        let met: Vec<bool> = condition
            .triggers()
            .zip(&self.by_level[level])
            .map(|(trigger, state)| trigger.enters_at(self.readings[state.reading_index]))
            .collect();
        let (all, any) = met.split_at(condition.all.len());
        all.iter().all(|is_met| *is_met) && (any.is_empty() || any.contains(&true))
    }

    /// Returns the readings of those triggers of a level that are on (`are_on`) or off.
    pub fn readings_of(
        &self,
        level: usize,
        condition: &Condition,
        are_on: bool,
    ) -> Vec<SignalReading> {
        let mut readings = Vec::new();
        for (trigger, state) in condition.triggers().zip(&self.by_level[level]) {
            if state.latch.is_on == are_on {
                readings.push(SignalReading {
                    signal: trigger.signal.name(),
                    reading: self.readings[state.reading_index],
                });
            }
        }
        readings
    }

    /// Returns the status of each trigger of a level, with the threshold to enter or to leave.
    pub fn statuses(
        &self,
        level: usize,
        condition: &Condition,
        direction: Direction,
    ) -> Vec<TriggerStatus> {
        let mut statuses = Vec::new();
        for (trigger, state) in condition.triggers().zip(&self.by_level[level]) {
            let (threshold, required_ms) = match direction {
                Direction::Enter => (trigger.enter_threshold, trigger.enter_hold_ms),
                Direction::Leave => (trigger.leave_threshold, trigger.leave_hold_ms),
            };
            statuses.push(TriggerStatus {
                signal: trigger.signal.name(),
                reading: self.readings[state.reading_index],
                threshold,
                is_on: state.latch.is_on,
                held_ms: state.latch.held_ms,
                required_ms,
            });
        }
        statuses
    }

    /// Returns the latches of all triggers, in the order of the levels.
    pub fn latches(&self) -> impl Iterator<Item = &Latch> {
        self.by_level.iter().flatten().map(|state| &state.latch)
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
