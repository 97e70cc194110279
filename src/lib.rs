//! tansymux: decides which engine runs which query, and when a query is better rejected.
//!
//! `control` holds every decision. `interface` is what it is called with and writes to, `state` the
//! records it keeps, `ids`, `pcg` and `told` its helpers. No file but `control` decides anything.

pub mod control;
pub mod ids;
pub mod interface;
pub mod pcg;
pub mod signals;
pub mod state;
pub mod talk;
pub mod tiers;
pub mod told;
