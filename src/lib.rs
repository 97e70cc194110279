//! tansymux: decides which engine runs which query, and when a query is better rejected.
//!
//! `control` holds every decision. `interface` is what it is called with and writes to, `state` the
//! records it keeps, `ids`, `pcg` and `told` its helpers. No file but `control` decides anything.

pub mod control;
pub mod events;
pub mod interner;
pub mod pcg;
pub mod peer_codec;
pub mod pool_metrics;
pub mod settings;
pub mod state;
pub mod zone_plan;
