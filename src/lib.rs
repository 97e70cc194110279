//! Decides which engine runs which query, and when a query is better rejected.
//!
//! This package owns all decisions of the ordinary path and the state behind them, for one dispatcher. It never does
//! any input or output, reads no clock and starts no thread: a program hands in events and carries out what comes back.
//!
//! Start reading at [`control`], which holds every decision, one concern a file. [`events`] is what it is called with
//! and writes to, `model` the records it keeps, [`settings`] what it goes by. [`zone_plan`] and [`pool_metrics`] are
//! how zone routing and service levels reach it.

pub mod control;
pub mod events;
pub mod interner;
mod model;
pub mod pcg;
pub mod peer_codec;
pub mod pool_metrics;
pub mod settings;
pub mod zone_plan;

pub use model::LevelEffects;
