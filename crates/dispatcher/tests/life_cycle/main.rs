//! Races between events in the life cycle of the process, of connections and of queries. Each test forces the order of
//! events that its row of docs/design/life-cycle.md names, with engines and clients that send bytes on command.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod clients;
mod departed_clients;
mod engines;
mod process;
mod support;
