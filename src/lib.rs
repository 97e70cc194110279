//! Decides which engine runs which query, and which queries are rejected.
//!
//! This package makes all decisions on the query path of one dispatcher and owns the state behind them. It does no I/O,
//! reads no clock and starts no thread: the caller passes events in and carries out the decisions.
//!
//! Start reading at [`control`], the admission controller, which makes the decisions in the order of a query's life
//! cycle. `model` has the components that own the state, with the rules and constants that apply to it. [`events`]
//! defines the input events and the sink for decisions. [`settings`] holds the rules and limits that apply, and
//! [`zone_plan`] the limits that zone routing sets.

pub mod control;
pub mod events;
pub mod interner;
mod model;
pub mod pcg;
pub mod peer_codec;
pub mod settings;
pub mod zone_plan;

pub use model::LevelEffects;
