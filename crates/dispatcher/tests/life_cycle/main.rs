//! Events that cross each other in the life cycle of the process, of connections and of queries. Each test forces the order
//! of events that its row of docs/design/life-cycle.md names, with engines and clients that send bytes on command.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

mod clients;
mod engines;
mod process;
mod support;
