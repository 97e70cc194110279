//! Decides which engine runs which query, and when a query is better rejected.
//!
//! This package owns all decisions of the ordinary path and the state behind them, for one dispatcher. It never does
//! any input or output, reads no clock and starts no thread: a program hands in events and carries out what comes back.
//!
//! Start reading at [`control`]: it has the decisions, in the order of a query's life. `model` has the components that
//! own the state and the tuned rules. [`events`] is what a program calls the decisions with and what they write to,
//! [`settings`] the rules and limits that apply, and [`zone_plan`] the limits that zone routing sets.

pub mod control;
pub mod events;
pub mod interner;
mod model;
pub mod pcg;
pub mod peer_codec;
pub mod settings;
pub mod zone_plan;

pub use model::LevelEffects;
