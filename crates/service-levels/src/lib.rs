//! Service levels: graceful degradation of a fleet of dispatchers in named levels below full service.
//!
//! Implements docs/design/levels.md: graceful degradation with load shedding as in "Site Reliability Engineering"
//! (chapters 21 and 22). Schmitt triggers (two thresholds, each with a hold time) switch each level. It differs from
//! the book in three ways: the dispatchers of a fleet agree on a level by the median of the depths that they want,
//! each level changes at most once in [`MIN_CHANGE_INTERVAL_MS`], and a level rejects no queries itself but scales
//! the limits of admission control.
//!
//! Owns: the changes of level ([`LevelStateMachine`]), the counts of outcomes for two of the signals
//! ([`OutcomeWindows`]), the messages between dispatchers ([`codec`]) and the validation of configurations
//! ([`Config::validate`]). The crate does no I/O, reads no clock, draws no random numbers and makes no decisions about
//! queries: the level in force gives a [`Degradation`] to the admission controller.
//!
//! Invariants, by construction and checked in `tests/`:
//! - the depth changes by one step at a time, except for the initial depth and for a new configuration; level n is in
//!   force while the depth is n or more;
//! - each level changes at most once in any [`MIN_CHANGE_INTERVAL_MS`], regardless of signals, peers, pins and clocks;
//!   only a new configuration may change it sooner;
//! - a level can be left once its triggers have been clear for their hold times; a trigger whose signal is not reported
//!   clears after a timeout;
//! - the loss of peers alone does not change the level.
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

/// Readings of all signals at one time, in the order of [`Config::signals`]; NaN if unknown.
pub type Readings = [f64];
