//! Events that cross each other in the life of the process, of clients' connections and of queries. Each test forces the
//! order that its row of docs/design/life-cycle.md names, with stand-ins that hold or send their bytes when told.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

mod clients;
mod engines;
mod process;
mod support;
