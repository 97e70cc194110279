//! Engine side: runs attempts, cancellations and health checks on connections to the engines, and reports their
//! outcomes.
//!
//! This module owns the connections. The admission controller ([`Control`](tansymux::control::Control)) chooses the
//! engine of each attempt and sends an [`EngineCommand`](crate::query_registry::EngineCommand). Results return to it as
//! an [`Event`](crate::query_registry::Event). The engine side never retries and never chooses another engine.
//!
//! Start reading at [`pool`], which combines the components below:
//!
//! - [`engine_table`] and [`engine_entry`]: the engines of the endpoint list, and the connections to each.
//! - [`allocation`]: selects a connection for each attempt, within the connection limits.
//! - [`begin`]: the single check that every attempt passes before the first byte of its request is written.
//! - [`abandon`], [`close`], [`timeouts`] and [`reports`]: end attempts and connections, and report the outcomes.
//! - [`silence`], [`idle_reuse`] and [`keep_alive`]: detect and avoid connections that are lost without a reset.
//! - [`channel`]: one connection. [`channel::task`] does its I/O and reports its events to a [`channel::handler`].
//!   [`connection`] is its state machine; [`protocol`] has the commands and replies of the engine protocol.

mod abandon;
mod allocation;
mod begin;
mod channel;
mod channel_request;
mod close;
mod connection;
mod engine_entry;
mod engine_table;
mod idle_reuse;
mod keep_alive;
mod pool;
mod protocol;
mod protocol_error;
mod reports;
mod resp;
mod rows;
mod settings;
mod silence;
mod timeouts;

pub use pool::EnginePool;
pub use settings::ConnectionSettings;

#[cfg(test)]
mod tests;
