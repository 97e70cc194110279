//! Reduced service levels: named levels in order, from full service down.
//!
//! Owns: when a level changes ([`LevelStateMachine`]), what is measured for it ([`Windows`]), what dispatchers tell each other of
//! theirs ([`message`]), and which definitions could never work ([`define::faults`]). It does no I/O, reads no clock and
//! draws no random numbers. It never refuses or moves a query: a level hands [`Degradation`] to the decisions, whose one
//! mechanism goes on deciding.
//!
//! Invariants, kept by construction and checked in `tests/`:
//! - depth changes by one step at a time; level n is on while the depth is n or more;
//! - each level changes at most once in any [`EVERY`] ms, whatever signals, peers, operators or clocks do;
//! - a level can be left whenever its conditions have cleared for their time; what is not told any more clears, too;
//! - silence of peers is no reason to change.
//!
//! Start reading at [`LevelStateMachine::look`].

pub mod define;
mod machine;
pub mod message;
mod windows;

pub use define::{Condition, Definition, Degradation, Level, Signal, Term};
pub use machine::{Change, LevelStateMachine, Shown, Why, EVERY};
pub use windows::{Ended, Windows};

/// What signals read at a moment: one value for each that a definition names, in the order of
/// [`Definition::signals`]; not a number where it is not known.
pub type Readings = [f64];
