//! Service levels: graceful degradation in named levels, from full service down.
//!
//! Implements docs/design/levels.md: graceful degradation with load shedding as in "Site Reliability Engineering"
//! (chapters 21 and 22), each level switched by a Schmitt trigger (two thresholds, and a time that each must hold).
//! What differs: a fleet agrees on a level by the median of what its members want, each level changes at most once in
//! [`MIN_CHANGE_INTERVAL_MS`], and a level sheds nothing itself but scales the limits of admission control.
//!
//! Owns: when the level changes ([`LevelStateMachine`]), the counts of outcomes for two of its signals
//! ([`OutcomeWindows`]), the messages between dispatchers ([`codec`]) and the validation of configurations
//! ([`Config::validate`]). It never
//! does I/O, reads no clock and draws no random numbers. It rejects or moves no query: a level hands a [`Degradation`]
//! to admission control.
//!
//! Invariants, by construction and checked in `tests/`:
//! - the depth changes by one step at a time; level n is in force while the depth is n or more;
//! - each level changes at most once in any [`MIN_CHANGE_INTERVAL_MS`], whatever signals, peers, operators or clocks
//!   do;
//! - a level can be left once its conditions have cleared for their time, and a signal that is not reported clears;
//! - silence of peers is no reason to change.
//!
//! Start reading at [`LevelStateMachine::evaluate`].

pub mod codec;
mod config;
mod latch;
mod outcome_windows;
mod signal;
mod state_machine;

pub use config::{
    ClassFraction, Condition, Config, ConfigError, Degradation, Level, Trigger, FULL_SERVICE,
};
pub use outcome_windows::{OutcomeWindows, QueryOutcome};
pub use signal::Signal;
pub use state_machine::{
    LevelChange, LevelStateMachine, Reason, SignalReading, Status, TriggerStatus,
    MIN_CHANGE_INTERVAL_MS,
};

/// The readings of all signals at one time: a value for each signal of a configuration, in the order of
/// [`Config::signals`]; NaN if unknown.
pub type Readings = [f64];
